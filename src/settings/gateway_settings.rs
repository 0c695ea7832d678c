use super::SourceText;
use super::field_reader::{FieldReader, read_object};
use super::host_settings::{NOWHERE, SHORTEST_KEY, read_level};
use crate::limits::LimitBounds;
use crate::retries::RetryBounds;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

/// Bounds that the platform sets; a changed settings file puts new ones in force at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// How long the platform waits between asking this process to stop and ending it.
    pub grace_period: Duration,
    /// Bounds on repeats, over all hosts.
    pub retries: RetryBounds,
    /// How long after one holder's last order no other may give one.
    pub lease: Duration,
    /// How long after it was taken away a caller's key may still be served; `None` for no bound.
    pub max_revocation_delay: Option<Duration>,
    /// How limits of organisations are measured, over all hosts.
    pub limits: LimitBounds,
}

/// Settings of one daemon on the users' platform.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this entry host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers_listen: SocketAddr,
    /// Where the platform asks whether this host takes callers.
    pub ready_listen: SocketAddr,
    /// Where the other daemons connect (TCP) and probe (UDP).
    pub peers_listen: SocketAddr,
    /// Where they reach this host, if not at `peers_listen`, as behind a port mapping.
    pub peers_advertise: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where other daemons are reached, to begin with; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Proves daemons to each other.
    pub shared_key: String,
    /// Bounds that may change while the daemon runs.
    pub bounds: GatewayBounds,
    /// `error`, `warn`, `info` or `debug`.
    pub log_level: log::LevelFilter,
}

impl TryFrom<&SourceText> for GatewaySettings {
    type Error = Error;

    fn try_from(source: &SourceText) -> Result<Self> {
        read_object(source, "gateway", read_gateway)
    }
}

fn read_gateway(reader: &mut FieldReader<'_, '_>) -> GatewaySettings {
    let address = "an IP address with port";
    let settings = GatewaySettings {
        host: reader.string("host"),
        domain: reader.string("domain"),
        callers_listen: reader.parsed("callers_listen", address, NOWHERE),
        ready_listen: reader.parsed("ready_listen", address, NOWHERE),
        peers_listen: reader.parsed("peers_listen", address, NOWHERE),
        peers_advertise: reader.optional_parsed("peers_advertise", address),
        metrics_listen: reader.parsed("metrics_listen", address, NOWHERE),
        store: reader.parsed("store", address, NOWHERE),
        seeds: reader.parsed_list("seeds", "IP addresses with port"),
        shared_key: reader.string("shared_key"),
        bounds: read_bounds(reader),
        log_level: read_level(reader),
    };
    if !settings.shared_key.is_empty() && settings.shared_key.len() < SHORTEST_KEY {
        let message = format!("shared_key must have at least {SHORTEST_KEY} characters");
        reader.find("shared_key", message);
    }
    check_ports(reader, &settings);
    settings
}

fn read_bounds(reader: &mut FieldReader<'_, '_>) -> GatewayBounds {
    let domains = reader.strings("domains").len().max(1);
    GatewayBounds {
        grace_period: seconds(reader.decimal("grace_s", 0.0..=600.0, 8.0)),
        retries: RetryBounds {
            ratio: reader.decimal("retry_ratio", 0.0..=10.0, 0.1),
            slack: reader.decimal("retry_slack", 0.0..=1e6, 10.0),
            window: seconds(reader.decimal("retry_window_s", 1.0..=600.0, 10.0)),
            domains,
        },
        lease: Duration::from_millis(reader.number("lease_ms", 0..=600_000, Some(3000))),
        max_revocation_delay: reader
            .optional_number("revocation_ms", 1000..=600_000)
            .map(Duration::from_millis),
        limits: LimitBounds {
            window: seconds(reader.decimal("limit_window_s", 0.1..=3600.0, 10.0)),
            over: reader.decimal("limit_over", 0.0..=10.0, 0.0),
            slack: reader.decimal("limit_slack", 0.0..=1e12, 0.0),
            domains,
        },
    }
}

impl GatewaySettings {
    /// Names of the keys that differ from `newer` and need a restart.
    pub fn changes_needing_restart(&self, newer: &Self) -> Vec<&'static str> {
        let changed = [
            ("host", self.host != newer.host),
            ("domain", self.domain != newer.domain),
            ("callers_listen", self.callers_listen != newer.callers_listen),
            ("ready_listen", self.ready_listen != newer.ready_listen),
            ("peers_listen", self.peers_listen != newer.peers_listen),
            ("peers_advertise", self.peers_advertise != newer.peers_advertise),
            ("metrics_listen", self.metrics_listen != newer.metrics_listen),
            ("store", self.store != newer.store),
            ("shared_key", self.shared_key != newer.shared_key),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

fn check_ports(reader: &mut FieldReader<'_, '_>, settings: &GatewaySettings) {
    let listeners = [
        ("callers_listen", settings.callers_listen),
        ("ready_listen", settings.ready_listen),
        ("peers_listen", settings.peers_listen),
        ("metrics_listen", settings.metrics_listen),
    ];
    for (place, (name, address)) in listeners.iter().enumerate() {
        let same = listeners[..place].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = same.filter(|_| address.port() != 0) {
            reader.find(name, format!("{name} must differ from {other}"));
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
