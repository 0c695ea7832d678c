use crate::fleet::ServerEntry;
use crate::keys::VersionKey;

/// The software versions at which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunVersion {
    /// Any: no event of its stream has been sent yet.
    #[default]
    Any,
    /// Only the one that began its stream.
    Only(VersionKey),
}

impl RunVersion {
    /// Whether `server` may run the request.
    pub fn admits(self, server: &ServerEntry) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => server.version_key() == version,
        }
    }
}
