use crate::fleet::ServerStage;
use crate::keys::TimePoint;
use crate::placement::RequestWork;
use std::time::Duration;

/// Factor by which the prefill pool exceeds its share of the work. Its queue must stay short for
/// the first event to be in time, whereas a full decode pool only refuses requests.
const PREFILL_MARGIN: f64 = 1.12;
/// Surplus of prefill servers at which one changes to decoding. It is large enough that the change
/// is not reverted immediately (see `MIN_DEFICIT`). A larger surplus is not needed as a reserve for
/// failures, during which decode servers process prompts themselves (see `choose_reader`).
const MIN_SURPLUS: f64 = 0.6;
/// Deficit of prefill servers at which a decode server changes to prefill. It is a whole server,
/// since decode servers can process prompts but prefill servers can't decode, and each change
/// removes a decode server for seconds. With a smaller value, the pools oscillate with each burst.
const MIN_DEFICIT: f64 = 1.0;
/// Minimum number of prefill servers, so that one of them may fail.
const MIN_PREFILLS: usize = 2;
/// Minimum number of decode servers.
const MIN_DECODES: usize = 2;
/// Minimum duration of a surplus of prefill servers, equal to two consecutive checks. Acting early
/// costs little, since the surplus servers are idle, and provides a decode server sooner.
const SURPLUS_DWELL: Duration = Duration::from_millis(500);
/// Minimum duration of a deficit. Most crashed servers are back in two to five seconds.
const DEFICIT_DWELL: Duration = Duration::from_millis(4500);
/// Fraction of a deficit that is corrected in one step. The target is an estimate that is too high
/// during a burst; halving the difference reaches it in a few steps even with many servers.
const DEFICIT_FRACTION: f64 = 0.5;
/// Largest fraction of the prefill pool that changes to decoding in one step. The surplus is idle,
/// but the target is inaccurate in the first seconds, and servers that change too early have to
/// change back.
const MAX_SURPLUS_FRACTION: f64 = 0.3;
/// Pause between two changes of a service, so that the first one can take effect.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// Utilisation below which a pool receives no servers from the other one, since it can absorb a
/// burst of four times the load. Rebalancing an idle pool would cost orders in proportion to the
/// number of servers, each order is announced to all hosts, and servers are unavailable while they
/// change.
const LOW_UTILISATION: f64 = 0.25;

/// Minimum age of a host that issues orders. Hosts that start together may each consider themselves
/// the oldest for a moment, and they know only the first requests, all of which had to wait. The
/// pools were sized correctly before the restart.
const MIN_HOST_AGE: Duration = Duration::from_secs(8);

/// Sizes of the two pools of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSizes {
    /// Prefill servers that accept work.
    pub prefills: usize,
    /// Decode servers that accept work.
    pub decodes: usize,
}

/// Decides when servers of a service should change their stage.
#[derive(Debug, Clone, Default)]
pub struct StagePlanner {
    imbalanced_since: Option<(ServerStage, TimePoint)>,
    changed_at: Option<TimePoint>,
}

/// Whether a host that started `age` ago has observed enough requests to resize the pools.
pub fn may_issue_orders(age: Duration) -> bool {
    age >= MIN_HOST_AGE
}

/// The fractional number of prefill servers for which both pools have the same utilisation,
/// including the margin for prefill.
pub fn target_prefills(sizes: PoolSizes, work: RequestWork) -> f64 {
    let total = sizes.prefills + sizes.decodes;
    let request_seconds = work.read_seconds + work.decode_seconds;
    if request_seconds <= 0.0 || total < MIN_PREFILLS + MIN_DECODES {
        return sizes.prefills as f64;
    }
    let target = work.read_seconds / request_seconds * PREFILL_MARGIN * total as f64;
    target.clamp(MIN_PREFILLS as f64, (total - MIN_DECODES) as f64)
}

/// Whether the utilisation of the pool of `stage` is so low that more servers would not help, at a
/// total of `requests_per_second` over all hosts.
pub fn has_spare_capacity(
    stage: ServerStage,
    sizes: PoolSizes,
    work: RequestWork,
    requests_per_second: f64,
) -> bool {
    let (servers, seconds) = match stage {
        ServerStage::Prefill => (sizes.prefills, work.read_seconds),
        ServerStage::Decode => (sizes.decodes, work.decode_seconds),
    };
    requests_per_second * seconds < servers as f64 * LOW_UTILISATION
}

/// Number of servers that should change together; at least one.
pub fn change_batch_size(sizes: PoolSizes, work: RequestWork) -> usize {
    let surplus = sizes.prefills as f64 - target_prefills(sizes, work);
    let step = if surplus > 0.0 {
        surplus.min(sizes.prefills as f64 * MAX_SURPLUS_FRACTION)
    } else {
        -surplus * DEFICIT_FRACTION
    };
    (step as usize).max(1)
}

impl StagePlanner {
    /// The stage that servers should change to, if any.
    ///
    /// A change must be a clear improvement, or the next change would revert it.
    pub fn decide(
        &mut self,
        now: TimePoint,
        sizes: PoolSizes,
        work: RequestWork,
    ) -> Option<ServerStage> {
        let surplus = sizes.prefills as f64 - target_prefills(sizes, work);
        let (to, dwell) = if surplus >= MIN_SURPLUS {
            (ServerStage::Decode, SURPLUS_DWELL)
        } else if surplus <= -MIN_DEFICIT || sizes.prefills == 0 {
            (ServerStage::Prefill, DEFICIT_DWELL)
        } else {
            self.imbalanced_since = None;
            return None;
        };
        let since = match self.imbalanced_since {
            Some((stage, since)) if stage == to => since,
            _ => now,
        };
        self.imbalanced_since = Some((to, since));
        let is_pause_over = self.changed_at.is_none_or(|at| now.since(at) >= CHANGE_PAUSE);
        (is_pause_over && now.since(since) >= dwell).then_some(to)
    }

    /// Records that a change was ordered, or that the order failed.
    pub fn record_attempt(&mut self, now: TimePoint) {
        self.changed_at = Some(now);
        self.imbalanced_since = None;
    }
}
