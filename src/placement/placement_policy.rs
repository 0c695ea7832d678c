use serde::{Deserialize, Serialize};

/// How requests are placed. All policies except the first two are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum PlacementPolicy {
    /// The owner of each server reserves the decode slot and the link before prefill starts.
    #[default]
    Reserve,
    /// The owner's prefill queue is used, but no decode slot is reserved.
    NoReservation,
    /// Servers in cyclic order.
    RoundRobin,
    /// A random server.
    Random,
    /// The server with the least load according to the last report, which lags behind.
    LeastLoad,
    /// The less loaded of two random servers according to their last reports.
    BestOfTwo,
    /// Like `BestOfTwo`, but refuses the request if the last report shows that it would be late.
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

    /// Whether the policy requests quotes from the owners of the servers.
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
