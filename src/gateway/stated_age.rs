use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An age that one host states to another, in milliseconds rounded up; the largest number stands for an unknown one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatedAge(u32);

impl StatedAge {
    const UNKNOWN: Self = Self(u32::MAX);

    /// The age, if the sender knew it.
    pub fn known(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| Duration::from_millis(self.0.into()))
    }
}

impl From<Duration> for StatedAge {
    fn from(age: Duration) -> Self {
        u32::try_from(age.as_millis().saturating_add(1)).map_or(Self::UNKNOWN, Self)
    }
}

impl From<Option<Duration>> for StatedAge {
    fn from(age: Option<Duration>) -> Self {
        age.map_or(Self::UNKNOWN, Self::from)
    }
}
