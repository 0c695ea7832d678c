use crate::keys::{IdKey, NameKey, ServerKey, mix_hash};
use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which part of a request a model engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerStage {
    /// It reads prompts.
    Prefill,
    /// It makes tokens.
    Decode,
}

impl ServerStage {
    /// The stage that an engine of this one changes to.
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

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It ends soon and must get no new requests.
    Draining,
}

/// A backend server's entry in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its id, which it keeps when it starts again.
    pub id: String,
    /// Unix millisecond at which this life of it began; servers of older platforms do not say.
    pub started_at: Option<u64>,
    /// The service that it runs.
    pub service: ServiceKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: NameKey,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Set for model engines.
    pub stage: Option<ServerStage>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// For how many milliseconds from when it said so it bears only its service's cold limit; zero if it is warm.
    pub cold_ms: u32,
}

impl ServerEntry {
    /// Key of this life of the server; that of its id, if it does not say when it started.
    pub fn key(&self) -> ServerKey {
        let id = self.id_key();
        self.started_at.map_or(id, |started_at| NameKey(mix_hash(id.0, started_at)))
    }

    /// Key of the server's id, whichever life it is in.
    pub fn id_key(&self) -> IdKey {
        IdKey::of(&self.id)
    }
}
