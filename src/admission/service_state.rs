use super::reserved_part::MAX_RESERVED;
use super::{
    AdmissionRefusal, AdmissionRequest, DecodePool, OrgPressure, PressureLevel, RankPressure,
    RefusalCause, ServicePressure, fair_share, reserve_order, reserve_tokens,
};
use crate::keys::{ServerKey, TimePoint};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Memory is short when this fraction of searches finds none. A single large request finds none now and then although
/// memory is left; the fraction is below what [`SLACK`] lets remain, so that a shortage lasts as long as its cause.
const SHORT_FRACTION: f64 = 0.05;
/// Fewest refused searches that count as a shortage.
const MIN_REFUSED: u32 = 2;
/// A shortage ends this long after its last sign, so that it does not end between two requests of a quiet second.
const SHORT_HOLD: Duration = Duration::from_millis(500);
/// The pool is nearly full at this fraction of the use at which searches find no memory. Runs in a part that is newly
/// reserved take about 3 s to end, so it is reserved before the shortage begins.
const TIGHT_FRACTION: f64 = 0.85;
/// The pool stays nearly full for this long, so that the part does not vanish between two bursts.
const TIGHT_HOLD: Duration = Duration::from_secs(2);
/// Use at which searches find no memory, as a fraction of the memory, until it is measured.
const DEFAULT_FULL: f64 = 0.9;
/// Time constant with which that measured use declines to the present one.
const FULL_DECLINE: Duration = Duration::from_secs(10);
/// Time constant with which a reserved part shrinks. Urgent requests arrive a few times a second, so their number varies
/// by half within a second or two.
const RESERVE_DECLINE: Duration = Duration::from_secs(2);
/// Requests admitted beyond the share, as a fraction of it. The figures are about half a second old; the excess keeps
/// memory from staying free when the share is estimated too low.
const SLACK: f64 = 0.12;
/// Below this fraction of its share, a rank is not restricted: memory has become free.
const FREE_FRACTION: f64 = 0.95;
/// A request that needs more than this multiple of the mean is large: about the largest three tenths.
const LARGE_MULTIPLE: f64 = 1.2;

/// How scarce the memory of one service is, and what is reserved there.
#[derive(Debug, Clone)]
pub(super) struct ServiceState {
    updated_at: TimePoint,
    short_until: TimePoint,
    tight_until: TimePoint,
    /// Use at which searches find no memory, as a fraction of the memory.
    full: f64,
    /// Tokens reserved against each rank.
    reserved: HashMap<u8, f64>,
    level: PressureLevel,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            updated_at: TimePoint::default(),
            short_until: TimePoint::default(),
            tight_until: TimePoint::default(),
            full: DEFAULT_FULL,
            reserved: HashMap::new(),
            level: PressureLevel::Calm,
        }
    }
}

impl ServiceState {
    /// Updates the state with the demand over all hosts; returns the new level if it has changed.
    pub fn update(
        &mut self,
        now: TimePoint,
        total: &ServicePressure,
        pool: &DecodePool,
    ) -> Option<PressureLevel> {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        let (refused, searches) = total.searches();
        let used = total.tokens() / pool.capacity().max(1.0);
        let is_short =
            refused >= MIN_REFUSED && f64::from(refused) >= f64::from(searches) * SHORT_FRACTION;
        if is_short {
            self.short_until = now + SHORT_HOLD;
            self.full = declined(self.full, used, elapsed, FULL_DECLINE);
        }
        if is_short || used >= self.full * TIGHT_FRACTION {
            self.tight_until = now + TIGHT_HOLD;
        }
        for rank in pool.ranks.iter().skip(1) {
            let target = reserve_tokens(total, *rank);
            let reserved = self.reserved.entry(*rank).or_default();
            *reserved = declined(*reserved, target, elapsed, RESERVE_DECLINE);
        }
        let level = if now < self.short_until {
            PressureLevel::Short
        } else if now < self.tight_until {
            PressureLevel::Tight
        } else {
            PressureLevel::Calm
        };
        let changed = level != self.level;
        self.level = level;
        changed.then_some(level)
    }

    /// The present level.
    pub const fn level(&self) -> PressureLevel {
        self.level
    }

    /// Servers that are reserved for ranks more urgent than `rank`.
    pub fn reserved_against(&self, pool: &DecodePool, rank: u8) -> HashSet<ServerKey> {
        let tokens = self.reserved.get(&rank).copied().unwrap_or_default();
        let per_server = self.full * f64::from(pool.memory_tokens);
        let wanted = (tokens / per_server.max(1.0)).ceil() as usize;
        let limit = (pool.servers.len() as f64 * MAX_RESERVED).floor() as usize;
        reserve_order(&pool.servers).into_iter().take(wanted.min(limit)).collect()
    }

    /// Refuses a request whose rank or organisation demands more than its share, with a probability that brings the
    /// demand down to the share and [`SLACK`].
    ///
    /// The refusals are spread over all sizes: where the memory alone decides, a free gap is taken by the first small
    /// request, and large ones find none.
    pub fn refusal(
        &self,
        total: &ServicePressure,
        pool: &DecodePool,
        request: &AdmissionRequest,
    ) -> Option<AdmissionRefusal> {
        let rank = total.rank(request.rank)?;
        if self.level != PressureLevel::Short || rank.refused_fraction() < SHORT_FRACTION {
            return None;
        }
        let capacity = self.rank_capacity(pool, request.rank).max(f64::from(rank.tokens));
        if f64::from(rank.tokens) < capacity * FREE_FRACTION {
            return None;
        }
        let (cause, demand, share) = share_of(rank, capacity, request);
        let is_large = f64::from(request.tokens) > rank.mean_tokens() * LARGE_MULTIPLE;
        let admitted = if is_large { 1.0 } else { share * (1.0 + SLACK) / demand.max(1.0) };
        (!request.is_return && request.draw > admitted).then_some(AdmissionRefusal {
            cause,
            demand,
            share,
        })
    }

    /// Memory tokens that the requests of a rank may use: what is not reserved for more urgent ones, and a quarter less
    /// if there are less urgent ones.
    fn rank_capacity(&self, pool: &DecodePool, rank: u8) -> f64 {
        let full = self.full * pool.capacity();
        let reserved = self.reserved.get(&rank).copied().unwrap_or_default();
        let left = if pool.ranks.last() == Some(&rank) { 0.0 } else { 1.0 - MAX_RESERVED };
        full * (1.0 - left) - reserved.min(full * MAX_RESERVED)
    }
}

/// What a request's organisation demands and may use; if it has none, its rank.
fn share_of(
    rank: &RankPressure,
    capacity: f64,
    request: &AdmissionRequest,
) -> (RefusalCause, f64, f64) {
    let demand = |org: &OrgPressure| rank.demand_tokens(org.tokens, org.unmet_tokens);
    let Some(key) = request.org.map(OrgPressure::short_key) else {
        let demand = rank.demand_tokens(rank.tokens, rank.unmet_tokens);
        return (RefusalCause::RankOverCapacity, demand, capacity);
    };
    let share = fair_share(capacity, rank.orgs.iter().map(demand));
    let own = rank.orgs.iter().find(|org| org.org == key).map_or(0.0, demand);
    (RefusalCause::OrgOverShare, own, share)
}

/// A value that follows a larger target at once and declines to a smaller one.
fn declined(value: f64, target: f64, elapsed: Duration, constant: Duration) -> f64 {
    if target >= value {
        return target;
    }
    let kept = (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp();
    target + (value - target) * kept
}
