use serde::{Deserialize, Serialize};

/// How requests are placed; every policy but the first two is a baseline to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum PlacementPolicy {
    /// One book for each server, the decode slot and the link held before prefill starts.
    #[default]
    Reserve,
    /// The book's prefill queue is used, but no decode slot is held.
    NoReservation,
    /// Servers in turn.
    RoundRobin,
    /// A server by chance.
    Random,
    /// The server with the least load by the lagged report.
    LeastLoad,
    /// The less loaded of two by chance, by the lagged report.
    BestOfTwo,
    /// Best of two; refused at once when the lagged report says the target can't be met.
    BestOfTwoRefuse,
}

impl PlacementPolicy {
    /// All policies, in the order of the comparison table.
    pub const ALL: [Self; 7] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastLoad,
        Self::BestOfTwo,
        Self::BestOfTwoRefuse,
        Self::NoReservation,
        Self::Reserve,
    ];

    /// The name used in settings and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Reserve => "reserve",
            Self::NoReservation => "no-reservation",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastLoad => "least-load",
            Self::BestOfTwo => "best-of-two",
            Self::BestOfTwoRefuse => "best-of-two-refuse",
        }
    }

    /// Whether the policy asks the owners of the books.
    pub const fn queries_owners(self) -> bool {
        matches!(self, Self::Reserve | Self::NoReservation)
    }
}

impl std::str::FromStr for PlacementPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.name() == text)
            .ok_or_else(|| format!("unknown policy {text:?}"))
    }
}
