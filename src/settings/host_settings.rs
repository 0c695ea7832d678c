use super::SourceText;
use super::field_reader::{FieldReader, read_object};
use crate::placement::PlacementPolicy;
use crate::resource_plan::MachineLimits;
use crate::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Placeholder for an address that is missing or invalid; the finding about it makes the read fail.
pub(super) const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
pub(super) const MIN_KEY_LENGTH: usize = 16;

/// Settings of a daemon that serves the project's own interface.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Name of this entry host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Address on which callers connect.
    pub callers_listen: SocketAddr,
    /// Address on which the other daemons connect (TCP) and probe (UDP).
    pub peers_listen: SocketAddr,
    /// Address on which operators connect.
    pub operators_listen: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// `peers_listen` addresses of other daemons to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Key with which daemons authenticate each other.
    pub shared_key: String,
    /// Key with which operators authenticate.
    pub operator_key: String,
    /// Policy that assigns requests to servers.
    pub policy: PlacementPolicy,
    /// Largest request body that a caller may send.
    pub body_limit_bytes: usize,
    /// How long a planned stop waits for running streams.
    pub drain_limit: Duration,
    /// What the machine allows this process.
    pub machine: MachineLimits,
    /// `error`, `warn`, `info` or `debug`.
    pub log_level: log::LevelFilter,
}

impl TryFrom<&SourceText> for HostSettings {
    type Error = Error;

    fn try_from(source: &SourceText) -> Result<Self> {
        read_object(source, "host", read_host)
    }
}

fn read_host(reader: &mut FieldReader<'_, '_>) -> HostSettings {
    let address_format = "an IP address with port";
    let settings = HostSettings {
        host: reader.string("host"),
        domain: reader.string("domain"),
        callers_listen: reader.parsed("callers_listen", address_format, PLACEHOLDER_ADDRESS),
        peers_listen: reader.parsed("peers_listen", address_format, PLACEHOLDER_ADDRESS),
        operators_listen: reader.parsed("operators_listen", address_format, PLACEHOLDER_ADDRESS),
        platform: reader.parsed("platform", address_format, PLACEHOLDER_ADDRESS),
        seeds: reader.parsed_list("seeds", "IP addresses with port"),
        shared_key: reader.string("shared_key"),
        operator_key: reader.string("operator_key"),
        policy: read_policy(reader),
        body_limit_bytes: reader.number("body_limit_bytes", 1024..=64 << 20, Some(4 << 20))
            as usize,
        drain_limit: Duration::from_millis(reader.number(
            "drain_limit_ms",
            0..=600_000,
            Some(30_000),
        )),
        machine: read_machine(reader),
        log_level: read_log_level(reader),
    };
    check_keys(reader, &settings);
    check_ports(reader, &settings);
    settings
}

fn read_policy(reader: &mut FieldReader<'_, '_>) -> PlacementPolicy {
    let Some(text) = reader.optional_string("policy") else {
        return PlacementPolicy::default();
    };
    text.parse().unwrap_or_else(|_error: String| {
        let names: Vec<&str> = PlacementPolicy::ALL.iter().map(|policy| policy.name()).collect();
        reader.report("policy", format!("policy must be one of {}", names.join(", ")));
        PlacementPolicy::default()
    })
}

pub(super) fn read_log_level(reader: &mut FieldReader<'_, '_>) -> log::LevelFilter {
    let Some(text) = reader.optional_string("log_level") else {
        return log::LevelFilter::Info;
    };
    text.parse().unwrap_or_else(|_error| {
        reader.report("log_level", "log_level must be error, warn, info or debug".to_owned());
        log::LevelFilter::Info
    })
}

/// Reads what the machine allows this process.
pub(super) fn read_machine(reader: &mut FieldReader<'_, '_>) -> MachineLimits {
    let defaults = MachineLimits::default();
    MachineLimits {
        memory_mb: reader.number("memory_mb", 64..=1 << 20, Some(defaults.memory_mb)),
        max_fds: reader.number("max_fds", 512..=1 << 24, Some(defaults.max_fds)),
        requests_ahead: reader.number(
            "requests_ahead",
            1..=1 << 16,
            Some(defaults.requests_ahead as u64),
        ) as usize,
        answer_stall: Duration::from_secs(reader.number(
            "answer_stall_s",
            1..=3600,
            Some(defaults.answer_stall.as_secs()),
        )),
    }
}

fn check_keys(reader: &mut FieldReader<'_, '_>, settings: &HostSettings) {
    for (name, key) in
        [("shared_key", &settings.shared_key), ("operator_key", &settings.operator_key)]
    {
        if !key.is_empty() && key.len() < MIN_KEY_LENGTH {
            reader.report(name, format!("{name} must have at least {MIN_KEY_LENGTH} characters"));
        }
    }
    if !settings.shared_key.is_empty() && settings.shared_key == settings.operator_key {
        reader.report("operator_key", "operator_key must differ from shared_key".to_owned());
    }
}

fn check_ports(reader: &mut FieldReader<'_, '_>, settings: &HostSettings) {
    let has_port = |address: SocketAddr| address.port() != 0;
    if has_port(settings.operators_listen) && settings.operators_listen == settings.callers_listen {
        reader.report(
            "operators_listen",
            "operators_listen must differ from callers_listen".to_owned(),
        );
    }
    if has_port(settings.peers_listen) && settings.peers_listen == settings.callers_listen {
        reader.report("peers_listen", "peers_listen must differ from callers_listen".to_owned());
    }
}
