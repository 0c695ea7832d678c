//! Failure domains of a test site's servers.

use super::TestSite;

impl TestSite {
    /// Spreads the servers over failure domains and rewrites their entries.
    pub fn spread_over_domains(&mut self, domains: &'static [&'static str]) {
        self.domains = domains;
        for server in &self.servers {
            self.write_entry(&server.id, server.service, server.address, server.stage, "ready");
        }
    }

    /// The failure domain of a server, chosen by the number at the end of its id.
    pub(super) fn domain(&self, id: &str) -> &'static str {
        let index = id.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        self.domains[index.unwrap_or_default() % self.domains.len()]
    }
}
