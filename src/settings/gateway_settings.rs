use super::LoadFeatures;
use super::SourceText;
use super::field_reader::{FieldReader, read_object};
use super::host_settings::{MIN_KEY_LENGTH, PLACEHOLDER_ADDRESS, read_log_level, read_machine};
use crate::limits::LimitBounds;
use crate::resource_plan::MachineLimits;
use crate::retries::RetryBounds;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

/// Bounds that the platform sets. A reload of the settings file applies new ones without a restart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// How long the platform waits between SIGTERM to this process and killing it.
    pub grace_period: Duration,
    /// Bounds on retries, over all hosts.
    pub retries: RetryBounds,
    /// Length of the lease of the host that gives stage orders: for this long after its last order, no
    /// other host may give one.
    pub lease: Duration,
    /// How long a caller's key may still be accepted after its revocation; `None` for no bound.
    pub max_revocation_delay: Option<Duration>,
    /// How the limits of organisations are measured, over all hosts.
    pub limits: LimitBounds,
}

/// Settings of a daemon that serves the routes of the users' platform.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this entry host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Address on which callers connect.
    pub callers_listen: SocketAddr,
    /// Address of the platform's readiness probe.
    pub ready_listen: SocketAddr,
    /// Address on which the other daemons connect (TCP) and probe (UDP).
    pub peers_listen: SocketAddr,
    /// Address that the other daemons use for this host if it differs from `peers_listen`, for example
    /// behind a port mapping.
    pub peers_advertise: Option<SocketAddr>,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other daemons to contact at the start; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: then nothing served before.
    pub bootstrap: bool,
    /// Key with which daemons authenticate each other.
    pub shared_key: String,
    /// Bounds that may change while the daemon runs.
    pub bounds: GatewayBounds,
    /// What the machine allows this process.
    pub machine: MachineLimits,
    /// Which decisions about load are switched on.
    pub features: LoadFeatures,
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
    let address_format = "an IP address with port";
    let settings = GatewaySettings {
        host: reader.string("host"),
        domain: reader.string("domain"),
        callers_listen: reader.parsed("callers_listen", address_format, PLACEHOLDER_ADDRESS),
        ready_listen: reader.parsed("ready_listen", address_format, PLACEHOLDER_ADDRESS),
        peers_listen: reader.parsed("peers_listen", address_format, PLACEHOLDER_ADDRESS),
        peers_advertise: reader.optional_parsed("peers_advertise", address_format),
        metrics_listen: reader.parsed("metrics_listen", address_format, PLACEHOLDER_ADDRESS),
        store: reader.parsed("store", address_format, PLACEHOLDER_ADDRESS),
        seeds: reader.parsed_list("seeds", "IP addresses with port"),
        bootstrap: reader.flag("bootstrap", false),
        shared_key: reader.string("shared_key"),
        bounds: read_bounds(reader),
        machine: read_machine(reader),
        features: LoadFeatures::read(reader),
        log_level: read_log_level(reader),
    };
    if !settings.shared_key.is_empty() && settings.shared_key.len() < MIN_KEY_LENGTH {
        let message = format!("shared_key must have at least {MIN_KEY_LENGTH} characters");
        reader.report("shared_key", message);
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
    /// Returns the keys whose values differ in `newer` and take effect only after a restart.
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
            ("memory_mb, max_fds, requests_ahead, answer_stall_s", self.machine != newer.machine),
            ("features of load", self.features != newer.features),
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
    for (index, (name, address)) in listeners.iter().enumerate() {
        let same = listeners[..index].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = same.filter(|_| address.port() != 0) {
            reader.report(name, format!("{name} must differ from {other}"));
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
