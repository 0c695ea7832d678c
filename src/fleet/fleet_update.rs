use super::ServerEntry;
use crate::keys::IdKey;
use serde::{Deserialize, Serialize};

/// A change of one server, from a watch or a listing of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// Its entry is new or has changed.
    Updated(ServerEntry),
    /// Its entry was removed, whichever incarnation it described.
    Removed(IdKey),
    /// Its entry exists but does not describe a usable server.
    Unusable(IdKey),
}

/// The state of one server, as one host sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The server's entry in the store.
    pub entry: ServerEntry,
    /// Store revision at which the entry last changed.
    pub changed_at: u64,
    /// Milliseconds until the server is dropped, if its entry has expired.
    pub expires_in_ms: Option<u64>,
    /// Milliseconds for which the server remains cold.
    pub cold_left_ms: u32,
}

/// An update of the backend servers from one host to another: the changes since a revision, or all servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Revision of the newest change included.
    pub revision: u64,
    /// If set, servers not listed are unchanged since the requesting host's revision; otherwise
    /// servers not listed are gone.
    pub is_partial: bool,
    /// The changed servers, or all servers.
    pub servers: Vec<ServerUpdate>,
    /// Servers removed and the revision of each removal; used by partial updates only.
    pub removed: Vec<(IdKey, u64)>,
}
