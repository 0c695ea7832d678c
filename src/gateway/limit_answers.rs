//! Applies the limits that backend servers state in their answers.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::fleet::ServerEntry;
use crate::keys::TimePoint;
use crate::limits::OwnerChoice;
use crate::platform::LimitHeader;
use crate::server_limits::LimitObservation;

impl GatewayHost {
    /// Applies the limit in a server's answer to a request sent at `sent_at`. The answer is known to belong to that
    /// request.
    pub(super) fn apply_stated_limit(
        &self,
        server: &ServerEntry,
        sent_at: TimePoint,
        header: &LimitHeader,
    ) {
        let limit = match header {
            LimitHeader::Absent => None,
            LimitHeader::Valid(limit) => Some(*limit),
            LimitHeader::Malformed(text) => {
                let id = &server.id;
                log::warn!("event=server_limit_unreadable server={id} limit={text:?}");
                return;
            }
        };
        let (now, key) = (self.now(), server.key());
        let (change, report) = self.state().send_control.apply_answer(now, sent_at, key, limit);
        if let Some(change) = change {
            self.announce_limit_change(&change, "answer");
        }
        if let Some(observation) = report {
            self.send_observation(&observation);
        }
    }

    fn send_observation(&self, observation: &LimitObservation) {
        match self.send_owner(observation.update.server) {
            OwnerChoice::Own => self.receive_limit_observation(observation),
            OwnerChoice::Other(owner) => {
                self.send(owner.address, &GatewayDatagram::LimitObservation(*observation));
            }
            // A host that knows no owner sends nothing to the server; the next answer reports its limit again.
            OwnerChoice::Unknown => {}
        }
    }

    /// Handles the report of how a limited server answered this host, or another host that considers this one the
    /// server's owner.
    pub(super) fn receive_limit_observation(&self, observation: &LimitObservation) {
        let now = self.now();
        let changes = self.state().send_control.apply_observation(now, observation);
        for change in changes {
            self.announce_limit_change(&change, "owner");
        }
    }
}
