use crate::{Error, Result};
use serde::{Deserialize, Serialize};

/// Maximum length of a text that is parsed as a limit.
const MAX_TEXT_LENGTH: usize = 32;

/// Requests a second that a backend server accepts from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServerLimit(f64);

impl ServerLimit {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Whether the limit allows no requests.
    pub fn is_zero(self) -> bool {
        self.0 <= 0.0
    }

    /// The smaller of this limit and another one.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// The larger of this limit and `least` requests a second.
    #[must_use]
    pub fn at_least(self, least: f64) -> Self {
        Self(self.0.max(least))
    }

    /// This limit, doubled `times` times.
    #[must_use]
    pub fn doubled(self, times: u32) -> Self {
        Self(self.0 * f64::from(times).exp2())
    }
}

impl TryFrom<f64> for ServerLimit {
    type Error = Error;

    /// Converts a number of requests a second, which must be finite and not negative.
    fn try_from(per_second: f64) -> Result<Self> {
        let invalid =
            || Error::Protocol(format!("{per_second} is not a valid limit in requests a second"));
        (per_second.is_finite() && per_second >= 0.0)
            .then_some(Self(per_second))
            .ok_or_else(invalid)
    }
}

impl TryFrom<&str> for ServerLimit {
    type Error = Error;

    /// Parses a number in decimal notation: digits with an optional fraction. Signs, exponents and special values such
    /// as `NaN` are rejected.
    fn try_from(text: &str) -> Result<Self> {
        let invalid =
            || Error::Protocol(format!("{text:?} is not a valid limit in requests a second"));
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let are_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
        let is_decimal = !whole.is_empty() && !fraction.is_empty();
        if text.len() > MAX_TEXT_LENGTH
            || !is_decimal
            || !are_digits(whole)
            || !are_digits(fraction)
        {
            return Err(invalid());
        }
        text.parse().map(Self).map_err(|_error| invalid())
    }
}

impl std::fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
