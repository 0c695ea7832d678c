use crate::keys::{IdKey, NameKey, ServerKey, VersionKey, mix_hash};
use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which part of a request a model engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerStage {
    /// It processes prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

impl ServerStage {
    /// The stage that an engine changes to from this one.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Prefill => Self::Decode,
            Self::Decode => Self::Prefill,
        }
    }

    /// The name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// State of a backend server, as reported by the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It is shutting down and must get no new requests.
    Draining,
}

/// A backend server's entry in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its id, which stays the same across restarts.
    pub id: String,
    /// Unix time in milliseconds at which this incarnation started; older platforms do not report it.
    pub started_at: Option<u64>,
    /// Version of its software. Servers of several versions may serve at the same time.
    pub version: String,
    /// Service that the server runs.
    pub service: ServiceKey,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: NameKey,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Stage of a model engine; `None` for other servers.
    pub stage: Option<ServerStage>,
    /// Number of requests that the server handles concurrently.
    pub slots: u32,
    /// Milliseconds, counted from the report, during which the server handles only its service's cold limit; zero if it
    /// is warm.
    pub cold_ms: u32,
}

impl ServerEntry {
    /// Key of this incarnation of the server; equal to [`Self::id_key`] if its start time is unknown.
    pub fn key(&self) -> ServerKey {
        let id = self.id_key();
        self.started_at.map_or(id, |started_at| NameKey(mix_hash(id.0, started_at)))
    }

    /// Key of the server's id, shared by all of its incarnations.
    pub fn id_key(&self) -> IdKey {
        IdKey::of(&self.id)
    }
    /// Key of the version of its software.
    pub fn version_key(&self) -> VersionKey {
        NameKey::of(&self.version)
    }
}
