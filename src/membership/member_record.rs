use super::MemberUpdate;
use crate::keys::TimePoint;

/// A host's record of another host.
#[derive(Debug, Clone, Copy)]
pub struct MemberRecord {
    /// Latest update of the host.
    pub update: MemberUpdate,
    /// Time since which the host has its state.
    pub since: TimePoint,
    /// Arrival time of the last datagram from the host.
    pub received_at: Option<TimePoint>,
    /// Whether a refused connection shortens the suspicion.
    pub(super) fast_suspicion: bool,
    /// How many more times the update is sent to others.
    pub(super) sends_left: u32,
}
