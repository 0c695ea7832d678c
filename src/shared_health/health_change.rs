use crate::keys::ServerKey;
use std::time::Duration;

/// A change of a server's standing that affects requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthChange {
    /// The server incarnation.
    pub server: ServerKey,
    /// What changed.
    pub kind: HealthChangeKind,
}

/// Kinds of [`HealthChange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChangeKind {
    /// Enough hosts reported a failure.
    Excluded {
        /// Number of hosts that reported it.
        reporters: usize,
        /// Time until the first trial.
        pause: Duration,
        /// Whether only hosts of this host's failure domain, in which the server is not, reported it.
        is_own_domain_only: bool,
    },
    /// This host sent a request on trial.
    TrialSent,
    /// A trial failed.
    TrialFailed {
        /// Time until the next trial.
        pause: Duration,
    },
    /// A host was served by the server.
    Readmitted,
    /// The reports were withdrawn.
    Withdrawn,
    /// No host reported the result of a trial in time.
    Lapsed,
}

impl HealthChangeKind {
    /// Name of the event in logs and of the metric that counts it.
    pub const fn names(self) -> (&'static str, &'static str) {
        match self {
            Self::Excluded { .. } => ("server_excluded", "servers_excluded"),
            Self::TrialSent => ("server_trial_sent", "server_trials_sent"),
            Self::TrialFailed { .. } => ("server_trial_failed", "server_trials_failed"),
            Self::Readmitted => ("server_readmitted", "servers_readmitted"),
            Self::Withdrawn => ("server_exclusion_withdrawn", "server_exclusions_withdrawn"),
            Self::Lapsed => ("server_exclusion_lapsed", "server_exclusions_lapsed"),
        }
    }
}
