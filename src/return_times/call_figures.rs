use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Requests of one service and rank in the last second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallFigures {
    /// Requests that arrived without having been promised a return, which is counted as a promise already.
    pub fresh: u32,
    /// Requests that were granted memory, or answered by a server of a plain service.
    pub granted: u32,
    /// Requests that were refused for lack of memory or places.
    pub refused: u32,
}

impl CallFigures {
    /// Whether all figures are zero, and need not be sent.
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

impl AddAssign for CallFigures {
    fn add_assign(&mut self, rhs: Self) {
        self.fresh = self.fresh.saturating_add(rhs.fresh);
        self.granted = self.granted.saturating_add(rhs.granted);
        self.refused = self.refused.saturating_add(rhs.refused);
    }
}
