/// One thing handled wrongly on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedBug {
    /// Everything as shipped.
    #[default]
    None,
    /// A write whose answer was lost is taken as done, without reading it back.
    AssumeWriteSucceeded,
    /// A repeat that finds another's claim is told "not run" without asking the claimant.
    SkipClaimantCheck,
    /// Orphans are never cancelled.
    KeepOrphans,
    /// Engine reports are not compared with the book.
    IgnoreReports,
    /// Tokens of given-up attempts are written.
    AcceptStaleTokens,
    /// A resumed stream restarts at index one after the open (the paper's July fault).
    CountOpenAsToken,
    /// Older configurations are adopted too.
    AdoptOlderConfig,
    /// Suspected hosts never hear of it.
    BlockRefutation,
    /// An owner hands out its domain's whole part, however few of the domain's hosts it sees.
    GrantWholeShare,
    /// An owner keeps what it saved up while others own its organisations, or while it is suspended.
    KeepStaleAccounts,
    /// Limits that servers name are not read.
    IgnoreServerLimits,
    /// Each host grants itself what a server's limit allows.
    GrantLocally,
    /// Hosts do not tell owners what they sent.
    OmitSendHistory,
}

/// What a world saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorldReport {
    /// Steps taken.
    pub steps: u64,
    /// Things tried: requests, streams, or messages.
    pub tried: u64,
    /// Things that came to the wanted end.
    pub done: u64,
    /// Faults that struck.
    pub faults: u64,
    /// What was used of what servers' limits allowed, in thousandths.
    pub used_permille: u64,
    /// Broken promises, each in a line.
    pub violations: Vec<String>,
}

impl WorldReport {
    /// Notes a broken promise.
    pub fn record_violation(&mut self, line: String) {
        if self.violations.len() < 20 {
            self.violations.push(line);
        }
    }
}
