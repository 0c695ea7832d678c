use serde::{Deserialize, Serialize};

/// Role of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerRole {
    /// Processes prompts into KV caches.
    Prefill,
    /// Generates tokens from KV caches.
    Decode,
}

impl ServerRole {
    /// Name in settings and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl std::str::FromStr for ServerRole {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            other => Err(format!("unknown role {other:?}; use \"prefill\" or \"decode\"")),
        }
    }
}
