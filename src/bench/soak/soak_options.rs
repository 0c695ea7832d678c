use super::repeat_check::RETRY_BOUNDS;
use crate::retries::RetryBounds;
use crate::settings::LoadFeatures;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a soak test.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the random draws of faults and requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of daemons.
    pub hosts: usize,
    /// Number of failure domains over which the daemons are spread, at most three.
    pub domains: usize,
    /// Number of callers.
    pub callers: usize,
    /// Whether some requests crash the servers that run them.
    pub sends_crashing_requests: bool,
    /// Whether daemons are suspended. Their environment must provide a clock that stops meanwhile.
    pub suspends_hosts: bool,
    /// Whether servers announce limits.
    pub limits_servers: bool,
    /// Decisions under load that are switched on.
    pub features: LoadFeatures,
    /// Whether open connections stall. After the faults, each host is probed for the configuration in effect.
    pub stalls_connections: bool,
    /// Whether machines are partitioned from each other, with the same probes after the faults. The daemons'
    /// environment must provide a library that makes their connections come from the address of their machine.
    pub partitions_network: bool,
    /// Whether hosts lose their paths to all servers. After the faults, callers of such hosts must be served like others.
    /// The daemons' environment must provide the same library.
    pub cuts_servers: bool,
    /// Whether engines of several software versions serve side by side. After the faults, callers take their streams up
    /// at other hosts. The daemons' environment must provide the same library.
    pub mixes_versions: bool,
    /// Whether a version comes, leaves or returns beside a kill of all hosts, and callers take their streams up. The
    /// daemons' environment must provide the same library.
    pub moves_versions: bool,
    /// Whether prompts have parts that crash the servers that begin to write on them. After the faults, hosts are
    /// disturbed beside such prompts. The daemons' environment must provide the same library.
    pub crashes_parts: bool,
    /// Whether most new connections go to one host, which must serve what it reads. The daemons' environment must provide
    /// the same library.
    pub herds_connections: bool,
    /// Whether servers reject most of what arrives beside disturbed hosts. The repeats of all hosts together must stay within
    /// the retry bounds. The daemons' environment must provide the same library.
    pub sums_repeats: bool,
    /// Whether servers stand still and go on beside stopped, reloaded and killed hosts and changes of the configuration. No
    /// answer may end early meanwhile; repeats are summed as above.
    pub hushes_servers: bool,
    /// Whether hosts are restarted in turn beside streams of up to seven seconds, reloads and changes of the configuration.
    /// What is checked is the same.
    pub restarts_hosts: bool,
    /// Whether hosts are stopped beside lost answers of the lease, calls are given up beside cuts, and servers leave while hosts
    /// are cut off. The daemons' environment must provide the same library.
    pub hands_over: bool,
    /// Whether crowds of clients that do not behave come to the hosts.
    pub sends_rogues: bool,
    /// Number of routes in the configuration that no request uses.
    pub unused_routes: usize,
    /// Environment variables of the daemons.
    pub environment: Vec<(String, String)>,
    /// Folder that contains the built programs.
    pub programs: PathBuf,
}

impl SoakOptions {
    /// The retry bounds of the daemons if they are not ample.
    pub(super) fn retry_bounds(&self) -> Option<RetryBounds> {
        (self.sums_repeats || self.hushes_servers || self.restarts_hosts).then_some(RETRY_BOUNDS)
    }

    /// Whether each daemon needs a machine with an address of its own.
    pub(super) const fn needs_machines(&self) -> bool {
        self.partitions_network
            || self.cuts_servers
            || self.mixes_versions
            || self.moves_versions
            || self.crashes_parts
            || self.herds_connections
            || self.sums_repeats
            || self.hands_over
    }
}
