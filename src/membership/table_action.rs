use super::ProbeMessage;
use crate::keys::IncarnationId;
use std::net::SocketAddr;

/// An action that the member table requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableAction {
    /// Send a datagram.
    Send(SocketAddr, ProbeMessage),
    /// Fetch the view of a host, since it is newer.
    FetchView(SocketAddr),
    /// Compare whole tables with a host, since its digest differs.
    Compare(SocketAddr),
    /// A host died: release its claims and reassign what it owned.
    Died(IncarnationId),
}
