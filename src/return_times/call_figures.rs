use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Requests of one service and rank in the last second, and their mean rate over a longer time.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct CallFigures {
    /// Requests that arrived for the first time.
    pub fresh: u32,
    /// Requests that were granted memory, or answered by a server of a plain service.
    pub granted: u32,
    /// Requests that were refused for lack of memory or places.
    pub refused: u32,
    /// Mean rate of requests that arrive for the first time, per second.
    pub mean_fresh: f32,
}

impl CallFigures {
    /// Whether all figures are zero or nearly so, and need not be sent.
    pub fn is_idle(&self) -> bool {
        self.fresh == 0 && self.granted == 0 && self.refused == 0 && self.mean_fresh < 0.01
    }
}

impl AddAssign for CallFigures {
    fn add_assign(&mut self, rhs: Self) {
        self.fresh = self.fresh.saturating_add(rhs.fresh);
        self.granted = self.granted.saturating_add(rhs.granted);
        self.refused = self.refused.saturating_add(rhs.refused);
        // A broken mean of another host must not make the sum unusable.
        if rhs.mean_fresh.is_finite() {
            self.mean_fresh += rhs.mean_fresh.max(0.0);
        }
    }
}
