/// Fraction of the hosts whose loads must be known for a server to count as emptier than full. Below it the known loads
/// say little; about half of the hosts are known at a time.
const MIN_KNOWN_HOSTS: f64 = 0.25;
/// Standard deviations by which the number of runs may exceed its expectation. A count that is too high costs only the
/// headroom of holds until their runs start; one that is too low costs preemptions.
const DEVIATIONS: f64 = 2.0;

/// What is known of the number of runs at a decode server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunCount {
    /// Runs there as far as this host knows.
    pub known: u32,
    /// Mean of the known runs over the decode servers.
    pub mean_known: f64,
    /// Other hosts whose loads are known.
    pub known_hosts: usize,
    /// Other hosts that are alive.
    pub hosts: usize,
}

impl RunCount {
    /// Upper estimate of the number of runs there, or `None` if too few hosts are known. Runs of the other hosts are
    /// taken to be spread as the known ones are on average.
    pub fn upper(&self) -> Option<u32> {
        let hosts = self.hosts.max(self.known_hosts) as f64 + 1.0;
        let fraction = (self.known_hosts as f64 + 1.0) / hosts;
        if fraction < MIN_KNOWN_HOSTS {
            return None;
        }
        let unknown = self.mean_known * (1.0 - fraction) / fraction;
        let upper = f64::from(self.known) + unknown + DEVIATIONS * unknown.sqrt();
        Some(upper.ceil() as u32)
    }
}
