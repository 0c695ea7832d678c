use super::pressure_table::FIGURES_LIFETIME;
use super::reserved_part::MAX_RESERVED;
use super::{
    AdmissionRefusal, AdmissionRequest, DecodePool, OrgPressure, PressureLevel, RankPressure,
    SearchParts, ServicePressure, WeightedDemand, fair_share, reserve_order, reserve_tokens,
};
use crate::keys::TimePoint;
use std::collections::HashMap;
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
/// The pool counts as nearly full for this long after the last sign: as long as hosts decide by figures of that time.
const TIGHT_HOLD: Duration = FIGURES_LIFETIME;
/// Use at which searches find no memory, as a fraction of the memory, until it is measured.
const DEFAULT_FULL: f64 = 0.9;
/// Bounds of that use. Servers that refuse for another reason would make it seem small, and requests count with what
/// they need in the end, which is up to a fifth more than what they use at a time.
const FULL_BOUNDS: (f64, f64) = (0.5, 1.2);
/// Time constant with which that measured use declines to the present one.
const FULL_DECLINE: Duration = Duration::from_secs(10);
/// Time constant with which a reserved part shrinks. Urgent requests arrive a few times a second, so their number varies
/// by half within a second or two.
const RESERVE_DECLINE: Duration = Duration::from_secs(1);
/// Requests admitted beyond the share, as a fraction of it. The figures are about half a second old and the demand of
/// an organisation varies by a third at random; with less, organisations of equal demand are refused although memory is
/// free.
const SLACK: f64 = 0.6;
/// Below this fraction of its share, a rank is not restricted: memory has become free.
const FREE_FRACTION: f64 = 0.98;

/// Below this fraction of the use at which searches find no memory, a burst of the load takes a second or more to fill
/// the pool, so that figures are sent rarely.
const QUIET_FRACTION: f64 = 0.6;
/// How often a host sends its figures below [`QUIET_FRACTION`].
const QUIET_SEND_PERIOD: Duration = Duration::from_millis(1000);
/// How often a host sends its figures above [`QUIET_FRACTION`] while the level is calm. A burst may fill the pool
/// within a second, and hosts that receive figures less often learn of the shortage later.
const CALM_SEND_PERIOD: Duration = Duration::from_millis(400);
/// How often a host sends its figures while servers are reserved by them.
pub const MIN_SEND_PERIOD: Duration = Duration::from_millis(200);

/// How scarce the memory of one service is, and what is reserved there.
#[derive(Debug, Clone)]
pub(super) struct ServiceState {
    updated_at: TimePoint,
    short_until: TimePoint,
    tight_until: TimePoint,
    /// Use at which searches find no memory, as a fraction of the memory.
    full: f64,
    /// Whether the use is below [`QUIET_FRACTION`].
    is_quiet: bool,
    /// Tokens reserved against each rank.
    reserved: HashMap<u8, f64>,
    level: PressureLevel,
    /// The level that was reported last.
    reported: PressureLevel,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            updated_at: TimePoint::CLOCK_START,
            short_until: TimePoint::CLOCK_START,
            tight_until: TimePoint::CLOCK_START,
            full: DEFAULT_FULL,
            is_quiet: true,
            reserved: HashMap::new(),
            level: PressureLevel::Calm,
            reported: PressureLevel::Calm,
        }
    }
}

impl ServiceState {
    /// Updates the state with the demand over all hosts.
    pub fn update(&mut self, now: TimePoint, total: &ServicePressure, pool: &DecodePool) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        let (refused, searches) = total.searches();
        let used = total.tokens() / pool.capacity().max(1.0);
        let is_short =
            refused >= MIN_REFUSED && f64::from(refused) >= f64::from(searches) * SHORT_FRACTION;
        if is_short {
            self.short_until = now + SHORT_HOLD;
            let full = declined(self.full, used, elapsed, FULL_DECLINE);
            self.full = full.clamp(FULL_BOUNDS.0, FULL_BOUNDS.1);
        }
        self.is_quiet = used < self.full * QUIET_FRACTION;
        if is_short || used >= self.full * TIGHT_FRACTION {
            self.tight_until = now + TIGHT_HOLD;
        }
        for rank in pool.ranks.iter().skip(1) {
            let target = reserve_tokens(total, *rank);
            let reserved = self.reserved.entry(*rank).or_default();
            *reserved = declined(*reserved, target, elapsed, RESERVE_DECLINE);
        }
        self.level = if now < self.short_until {
            PressureLevel::Short
        } else if now < self.tight_until {
            PressureLevel::Tight
        } else {
            PressureLevel::Calm
        };
    }

    /// The level, if it differs from the one that was reported last.
    pub fn take_change(&mut self) -> Option<PressureLevel> {
        let is_new = self.level != self.reported;
        self.reported = self.level;
        is_new.then_some(self.level)
    }

    /// The present level.
    pub const fn level(&self) -> PressureLevel {
        self.level
    }

    /// How often a host sends its figures.
    pub const fn send_period(&self) -> Duration {
        match self.level {
            PressureLevel::Calm if self.is_quiet => QUIET_SEND_PERIOD,
            PressureLevel::Calm => CALM_SEND_PERIOD,
            PressureLevel::Tight | PressureLevel::Short => MIN_SEND_PERIOD,
        }
    }

    /// The parts of the servers that are set aside, as requests of `rank` see them: servers are reserved for urgent ranks
    /// from the start of the common order.
    pub fn search_parts(&self, pool: &DecodePool, rank: u8) -> SearchParts {
        let order = reserve_order(&pool.servers);
        let inner = self.reserved_count(pool, rank);
        let without = order.iter().take(inner).copied().collect();
        let next = pool.ranks.iter().copied().find(|other| *other > rank);
        let outer = next.map_or(inner, |next| self.reserved_count(pool, next));
        let first = order.iter().take(outer).skip(inner).copied().collect();
        SearchParts { first, without, is_urgent: next.is_some() }
    }

    /// Number of servers that are reserved for ranks more urgent than `rank`.
    pub fn reserved_count(&self, pool: &DecodePool, rank: u8) -> usize {
        let tokens = self.reserved.get(&rank).copied().unwrap_or_default();
        let limit = (pool.servers.len() as f64 * MAX_RESERVED).floor() as usize;
        (self.server_count(pool, tokens).round() as usize).min(limit)
    }

    /// Number of servers that hold `tokens` when full.
    fn server_count(&self, pool: &DecodePool, tokens: f64) -> f64 {
        tokens / (self.full * f64::from(pool.memory_tokens)).max(1.0)
    }

    /// Refuses a request whose organisation demands more than its share of what the rank may use, with a probability
    /// that brings the demand down to the share and [`SLACK`].
    ///
    /// A fixed bound on what an organisation may use would refuse organisations of equal demand in random peaks although
    /// memory is free, or be too high for one whose demand is far above the others'.
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
        let used = f64::from(rank.tokens);
        let capacity = self.rank_capacity(pool, request.rank).max(used);
        if used < capacity * FREE_FRACTION {
            return None;
        }
        let key = OrgPressure::short_key(request.org?);
        let run_seconds = rank.run_seconds(pool.longest_run);
        let weighted = |org: &OrgPressure| WeightedDemand {
            demand: RankPressure::demand_tokens(org.tokens, org.unmet_tokens, run_seconds),
            weight: pool.org_weight(org),
        };
        let mut demands: Vec<WeightedDemand> = rank.orgs.iter().map(weighted).collect();
        demands.sort_by(|left, right| left.per_weight().total_cmp(&right.per_weight()));
        // Where most organisations demand more than the share, the rank as a whole demands too much. Refusing the one
        // that demands most at the moment would leave memory idle and help no other.
        let median = demands.get(demands.len().saturating_sub(1) / 2)?.per_weight();
        let own = rank.orgs.iter().find(|org| org.org == key).map(weighted)?;
        let share = fair_share(capacity, demands.into_iter()).max(median) * own.weight;
        let demand = own.demand;
        let admitted = share * (1.0 + SLACK) / demand.max(1.0);
        (request.draw > admitted).then_some(AdmissionRefusal { demand, share })
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

/// A value that follows a larger target at once and declines to a smaller one.
fn declined(value: f64, target: f64, elapsed: Duration, constant: Duration) -> f64 {
    if target >= value {
        return target;
    }
    let kept = (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp();
    target + (value - target) * kept
}
