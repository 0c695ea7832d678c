use super::MemberState;
use crate::keys::{IncarnationId, NameKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One piece of news about a host, as it travels on probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Which life of the host.
    pub incarnation: IncarnationId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: NameKey,
    /// Raised by the host itself to refute a suspicion.
    pub version: u32,
    /// What is believed.
    pub state: MemberState,
}

impl MemberUpdate {
    /// What a host says of itself when it starts.
    pub fn started(incarnation: IncarnationId, address: SocketAddr, domain: NameKey) -> Self {
        Self { incarnation, address, domain, version: 0, state: MemberState::Alive }
    }
}
