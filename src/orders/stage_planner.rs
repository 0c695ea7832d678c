use crate::fleet::ServerStage;
use crate::keys::TimePoint;
use crate::placement::RequestWork;
use std::time::Duration;

/// Prefill gets this much more than its share of the work: its queue must stay short for the first
/// event to be in time, while a full decode pool only refuses.
const PREFILL_MARGIN: f64 = 1.12;
/// Prefill servers beyond those wanted before one is given away: enough that what is left is not
/// taken back at once (`LACK_STEP`). A larger step kept servers in reserve for losses; decode
/// servers read prompts themselves meanwhile (`choose_reader`).
const SURPLUS_STEP: f64 = 0.6;
/// Prefill servers below those wanted before one is taken back: a whole one, since decode servers
/// can read prompts but not the reverse, and each change takes one away from them for seconds. With
/// less, pools swing with each burst.
const LACK_STEP: f64 = 1.0;
/// Prefill servers that stay in any case, so that one may be lost.
const LEAST_PREFILLS: usize = 2;
/// Decode servers that stay in any case.
const LEAST_DECODES: usize = 2;
/// How long a surplus of prefill servers must last: two looks in a row. What changes is idle, so
/// haste costs little; each second of it is one more with a decode server.
const SURPLUS_DWELL: Duration = Duration::from_millis(500);
/// How long a lack must last: servers that crashed are mostly back in two to five seconds.
const LACK_DWELL: Duration = Duration::from_millis(4500);
/// Part of a lack that changes at once. What is wanted is an estimate, and in a burst too high: half
/// of the way at a time reaches it in a few steps also among many servers.
const LACK_PART: f64 = 0.5;
/// Part of the prefill pool that changes at once if it is too many. The surplus itself is idle; but what is
/// wanted is known badly in the first seconds, and servers that went too soon have to come back.
const LARGEST_STEP: f64 = 0.3;
/// Pause between two changes of a service, so that the first shows its effect.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// A pool that is in use for less than this part of its time needs no server of the other one: it bears a burst of
/// four times the load as it is. Orders to set it right would grow with the servers, each is told to all hosts, and
/// servers are away while they change.
const SPARE_USE: f64 = 0.25;

/// A host younger than this gives no orders. Hosts that start together each believe for a moment to be the
/// oldest, and know only the first requests, which all waited. The pools fitted before.
const YOUNG_GIVER: Duration = Duration::from_secs(8);

/// How many servers each pool of a service has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSizes {
    /// Prefill servers that take work.
    pub prefills: usize,
    /// Decode servers that take work.
    pub decodes: usize,
}

/// Decides when a server of a service should change its stage.
#[derive(Debug, Clone, Default)]
pub struct StagePlanner {
    off_since: Option<(ServerStage, TimePoint)>,
    changed_at: Option<TimePoint>,
}

/// Whether a host that started `age` ago knows enough of the work to change the pools.
pub fn may_issue_orders(age: Duration) -> bool {
    age >= YOUNG_GIVER
}

/// Prefill servers that a service should have for both pools to be loaded alike, as a fraction.
pub fn wanted_prefills(sizes: PoolSizes, work: RequestWork) -> f64 {
    let total = sizes.prefills + sizes.decodes;
    let whole = work.read_seconds + work.decode_seconds;
    if whole <= 0.0 || total < LEAST_PREFILLS + LEAST_DECODES {
        return sizes.prefills as f64;
    }
    let wanted = work.read_seconds / whole * PREFILL_MARGIN * total as f64;
    wanted.clamp(LEAST_PREFILLS as f64, (total - LEAST_DECODES) as f64)
}

/// Whether the pool of `stage` has so much room that a change to it would serve nobody, at `requests_per_second` over all
/// hosts.
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
    requests_per_second * seconds < servers as f64 * SPARE_USE
}

/// How many servers should change together; at least one.
pub fn change_batch_size(sizes: PoolSizes, work: RequestWork) -> usize {
    let surplus = sizes.prefills as f64 - wanted_prefills(sizes, work);
    let step = if surplus > 0.0 {
        surplus.min(sizes.prefills as f64 * LARGEST_STEP)
    } else {
        -surplus * LACK_PART
    };
    (step as usize).max(1)
}

impl StagePlanner {
    /// The stage that one server should change to, if any.
    ///
    /// A change must bring the pools nearer to what is wanted by a clear step, or the next one
    /// would undo it.
    pub fn decide(
        &mut self,
        now: TimePoint,
        sizes: PoolSizes,
        work: RequestWork,
    ) -> Option<ServerStage> {
        let surplus = sizes.prefills as f64 - wanted_prefills(sizes, work);
        let (to, dwell) = if surplus >= SURPLUS_STEP {
            (ServerStage::Decode, SURPLUS_DWELL)
        } else if surplus <= -LACK_STEP || sizes.prefills == 0 {
            (ServerStage::Prefill, LACK_DWELL)
        } else {
            self.off_since = None;
            return None;
        };
        let since = match self.off_since {
            Some((stage, since)) if stage == to => since,
            _ => now,
        };
        self.off_since = Some((to, since));
        let rested = self.changed_at.is_none_or(|at| now.since(at) >= CHANGE_PAUSE);
        (rested && now.since(since) >= dwell).then_some(to)
    }

    /// A change was ordered, or could not be.
    pub fn record_attempt(&mut self, now: TimePoint) {
        self.changed_at = Some(now);
        self.off_since = None;
    }
}
