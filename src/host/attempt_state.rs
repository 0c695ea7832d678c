use crate::keys::ServerKey;
use crate::placement::SlotClaim;

/// What an attempt of this host currently holds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Decode server whose slot it holds or uses, if any.
    pub decode: Option<ServerKey>,
    /// Its claim on that slot.
    pub claim: SlotClaim,
}
