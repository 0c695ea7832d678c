use super::MemberUpdate;
use crate::keys::TimePoint;

/// One host in the table.
#[derive(Debug, Clone, Copy)]
pub struct MemberRecord {
    /// The newest news.
    pub update: MemberUpdate,
    /// Since when it has its state.
    pub since: TimePoint,
    /// When a datagram of it last arrived here.
    pub received_at: Option<TimePoint>,
    /// A refused connection makes the suspicion short.
    pub(super) quick: bool,
    /// How often the news is still to be repeated.
    pub(super) sends_left: u32,
}
