use super::{MemberUpdate, ViewMark};
use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeKind {
    /// Are you alive?
    Ping,
    /// I am.
    Ack,
    /// Ask this host for me.
    PingFor(IncarnationId),
    /// This host answered me; you asked.
    AckFor(IncarnationId),
}

/// One datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeMessage {
    /// The sender's own news, always fresh.
    pub sender: MemberUpdate,
    /// Pairs an answer with its question.
    pub sequence: u32,
    /// What the datagram is for.
    pub kind: ProbeKind,
    /// How new the sender's view is.
    pub view: ViewMark,
    /// Digest of the hosts that the sender believes in; a differing one calls for a comparison.
    pub digest: u64,
    /// News about others.
    pub updates: Vec<MemberUpdate>,
}
