use super::{MemberUpdate, ViewMark};
use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeKind {
    /// Asks the receiver for a [`ProbeKind::Ack`].
    Ping,
    /// Answers a [`ProbeKind::Ping`].
    Ack,
    /// Asks the receiver to probe this host on the sender's behalf.
    PingFor(IncarnationId),
    /// Answers a [`ProbeKind::PingFor`]: this host acknowledged the probe.
    AckFor(IncarnationId),
}

/// One datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeMessage {
    /// Current update of the sender itself.
    pub sender: MemberUpdate,
    /// Matches an acknowledgement to its probe.
    pub sequence: u32,
    /// Purpose of the datagram.
    pub kind: ProbeKind,
    /// Versions of the sender's view.
    pub view: ViewMark,
    /// Digest of the hosts that the sender does not consider dead; a receiver with another digest compares tables.
    pub digest: u64,
    /// Updates of other hosts.
    pub updates: Vec<MemberUpdate>,
}
