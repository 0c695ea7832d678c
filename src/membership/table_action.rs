use super::ProbeMessage;
use crate::keys::IncarnationId;
use std::net::SocketAddr;

/// What the table wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAction {
    /// Send a datagram.
    Send(SocketAddr, ProbeMessage),
    /// A host has a newer view: fetch it.
    FetchView(SocketAddr),
    /// A host believes in other hosts than this one: compare whole tables with it.
    Compare(SocketAddr),
    /// A host died: its claims lapse and its books move.
    Died(IncarnationId),
}
