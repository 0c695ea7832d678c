//! Requests places at contended plain servers from their owners, and grants them as an owner.

use super::gateway_host::GatewayHost;
use crate::server_slots::SlotMessage;
use std::net::SocketAddr;

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_slot_message(&self, from: SocketAddr, message: &SlotMessage) {
        drop(self.state());
        log::debug!("event=slot_message peer={from} from={}", message.from);
    }
}
