/// A bug that a world injects on purpose, to show that it detects the resulting violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedBug {
    /// No bug: everything runs as shipped.
    #[default]
    None,
    /// A write whose answer was lost counts as successful and is not read back.
    AssumeWriteSucceeded,
    /// A retry that finds the claim of another host is answered "not run" without asking that host.
    SkipClaimantCheck,
    /// Orphans are never cancelled.
    KeepOrphans,
    /// Engine reports are not compared with the slot table.
    IgnoreReports,
    /// Tokens of abandoned attempts are written.
    AcceptStaleTokens,
    /// A resumed stream counts its open as a token and restarts one index too high, which loses a token (the fault
    /// that the paper describes).
    CountOpenAsToken,
    /// Configurations older than the current one are adopted.
    AdoptOlderConfig,
    /// Hosts never learn that they are suspected, so they cannot refute it.
    BlockRefutation,
    /// An owner grants the whole share of its domain, however few of the domain's hosts it sees.
    GrantWholeShare,
    /// An owner keeps its accumulated units while other hosts own its organisations, or while it is suspended.
    KeepStaleAccounts,
    /// Limits that servers name in their answers are ignored.
    IgnoreServerLimits,
    /// Each host grants itself everything that a server's limit allows.
    GrantLocally,
    /// Hosts do not report their sends to the owners of the limits.
    OmitSendHistory,
}

/// Result of one run of a world.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorldReport {
    /// Steps that were run.
    pub steps: u64,
    /// Requests, units, streams or messages that were attempted.
    pub tried: u64,
    /// Those that ended as intended, or checks that were made.
    pub done: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Used part of what the servers' limits allowed, in thousandths.
    pub used_permille: u64,
    /// Violated guarantees, one line each, at most 20.
    pub violations: Vec<String>,
}

impl WorldReport {
    /// Records a violated guarantee; drops those beyond the first 20.
    pub fn record_violation(&mut self, line: String) {
        if self.violations.len() < 20 {
            self.violations.push(line);
        }
    }
}
