use super::ServerEntry;
use crate::keys::IdKey;
use serde::{Deserialize, Serialize};

/// What a watch or a listing says of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// Its entry is new or has changed.
    Updated(ServerEntry),
    /// Its entry is gone, whichever life it was of.
    Removed(IdKey),
    /// Its entry is there, but names no server to use.
    Unusable(IdKey),
}

/// One server as one host hands it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// What the server says of itself.
    pub entry: ServerEntry,
    /// Revision of the store at which that last changed.
    pub changed_at: u64,
    /// In how many milliseconds it is dropped, if its entry has lapsed.
    pub expires_in_ms: Option<u64>,
    /// For how many milliseconds more it is cold.
    pub cold_left_ms: u32,
}

/// What one host tells another of the backend servers: what changed since a revision, or all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Revision of the newest change in it.
    pub revision: u64,
    /// Servers that it lacks stay as they are, since they have not changed after the revision that
    /// the asking host had; without this they are gone.
    pub is_partial: bool,
    /// The servers that changed, or all of them.
    pub servers: Vec<ServerUpdate>,
    /// Servers that went, if it is partial.
    pub removed: Vec<(IdKey, u64)>,
}
