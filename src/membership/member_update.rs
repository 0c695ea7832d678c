use super::MemberState;
use crate::keys::{IncarnationId, NameKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An update of one host's state, as carried by probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Incarnation of the host.
    pub incarnation: IncarnationId,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: NameKey,
    /// Version of the state; the host itself raises it to refute a suspicion.
    pub version: u32,
    /// State of the host.
    pub state: MemberState,
}

impl MemberUpdate {
    /// The update that a host sends about itself when it starts.
    pub fn started(incarnation: IncarnationId, address: SocketAddr, domain: NameKey) -> Self {
        Self { incarnation, address, domain, version: 0, state: MemberState::Alive }
    }
}
