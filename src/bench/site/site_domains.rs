//! Failure domains of a site's servers.

use super::TestSite;

impl TestSite {
    /// Spreads the servers over failure domains.
    pub fn spread_over_domains(&mut self, domains: &'static [&'static str]) {
        self.domains = domains;
        for server in &self.servers {
            self.write_entry(&server.id, server.service, server.address, server.stage, "ready");
        }
    }

    /// The failure domain of a server; ids end with a number.
    pub(super) fn zone(&self, id: &str) -> &'static str {
        let place = id.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        self.domains[place.unwrap_or_default() % self.domains.len()]
    }
}
