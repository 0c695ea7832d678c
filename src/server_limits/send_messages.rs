use super::{CallRank, LimitNews, SendTrail};
use serde::{Deserialize, Serialize};

/// What a host wants of a server's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskPurpose {
    /// To send a request.
    Send,
    /// To know when a caller may come back that is refused now.
    ComeBack,
    /// Nothing: a request that was granted did not go.
    GiveBack,
    /// Nothing: it tells what it sent.
    Tell,
}

impl AskPurpose {
    /// Whether a reply is waited for.
    pub fn wants_reply(self) -> bool {
        matches!(self, Self::Send | Self::ComeBack)
    }
}

/// A host asks the owner of a server that has a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SendAsk {
    /// Rises with each question of the host.
    pub sequence: u32,
    /// What the host knows of the limit.
    pub news: LimitNews,
    /// What it wants.
    pub purpose: AskPurpose,
    /// How urgent the request is.
    pub rank: CallRank,
    /// What it sent to the server lately.
    pub trail: SendTrail,
}

/// What an owner decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendDecision {
    /// The request may go.
    Granted,
    /// It may not; another one may be asked for after so many milliseconds.
    Refused {
        /// Milliseconds.
        wait_ms: u32,
    },
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SendReply {
    /// Sequence of the question.
    pub sequence: u32,
    /// What the owner knows of the limit.
    pub news: LimitNews,
    /// What it decided.
    pub decision: SendDecision,
}

/// A server that has a limit answered a request; told to its owner, who counts answers without it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswered {
    /// What the host knows of the limit.
    pub news: LimitNews,
    /// The answer named it.
    pub is_named: bool,
}
