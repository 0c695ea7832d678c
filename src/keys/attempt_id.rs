use super::IncarnationId;
use serde::{Deserialize, Serialize};

/// One attempt to run one request, unique across hosts and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the host that made the attempt.
    pub owner: IncarnationId,
    /// Serial number of the attempt within that incarnation.
    pub serial: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:x}", self.owner, self.serial)
    }
}

impl std::str::FromStr for AttemptId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (owner, serial) = text.split_once('-').ok_or_else(|| format!("no dash in {text:?}"))?;
        let parse = |part: &str| u64::from_str_radix(part, 16).map_err(|error| error.to_string());
        Ok(Self { owner: IncarnationId(parse(owner)?), serial: parse(serial)? })
    }
}
