use super::{LimitBucket, LimitReply, LimitRequest, LimitShare};
use crate::keys::{OrgKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long the last level of an owner is reported to its successor. After that, other hosts may have used it up.
const LEVEL_LIFETIME: Duration = Duration::from_millis(1000);
/// How long the last level of an owner indicates whether the organisation was near its limit.
const AMPLE_LIFETIME: Duration = Duration::from_secs(8);
/// An owner that had at least this fraction of its burst left was far from its limit.
const AMPLE_LEVEL: f64 = 0.5;
/// Units that were released, or used without an owner, are reported at most this long after the last message.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct OrgUse {
    /// Units used since this host started.
    used: i64,
    /// The value of `used` that was last sent to the owner.
    sent: i64,
    sent_at: TimePoint,
    /// The level in the owner's last reply, and when that arrived.
    last_level: Option<(i32, TimePoint)>,
    /// The bucket used while no owner answers.
    fallback: LimitBucket,
}

/// The units that this host uses on behalf of organisations.
#[derive(Debug, Default)]
pub struct LimitMeter {
    uses: HashMap<OrgKey, OrgUse>,
    sequence: u32,
}

impl LimitMeter {
    /// Creates the request for `units`, which count as used until the owner refuses them.
    pub fn request_units(&mut self, now: TimePoint, org: OrgKey, units: u32) -> LimitRequest {
        self.sequence = self.sequence.wrapping_add(1).max(1);
        let sequence = self.sequence;
        let org_use = self.org_use(now, org);
        org_use.used += i64::from(units);
        org_use.message(now, org, sequence, units)
    }

    /// Applies the owner's reply to a request for `units`.
    pub fn apply_reply(&mut self, now: TimePoint, reply: &LimitReply, units: u32) {
        let org_use = self.org_use(now, reply.org);
        org_use.last_level = Some((reply.level, now));
        if reply.refused_ms.is_some() {
            org_use.used -= i64::from(units);
            org_use.sent = org_use.used;
        }
    }

    /// Decides whether `units` may be used although no owner answered the request for them. They are taken from this
    /// host's part of the domain's `share`, which is divided among `hosts`. If they are refused, they count as not
    /// used.
    ///
    /// One request costs more than a host's part of several seconds, so granting it means an advance. The advance is
    /// given only if the owner recently had ample units left. Without this rule, when a third of the hosts were cut
    /// off, each of them admitted one request of an organisation that was already at its limit.
    pub fn use_without_owner(
        &mut self,
        now: TimePoint,
        org: OrgKey,
        units: u32,
        share: &LimitShare,
        hosts: usize,
    ) -> bool {
        let org_use = self.org_use(now, org);
        let had_ample = org_use
            .level_within(now, AMPLE_LIFETIME)
            .is_some_and(|level| f64::from(level) >= share.burst * AMPLE_LEVEL);
        let host_share = share.for_host(hosts);
        let is_allowed = had_ample && org_use.fallback.try_take(now, &host_share, f64::from(units));
        if !is_allowed {
            org_use.used -= i64::from(units);
        }
        is_allowed
    }

    /// Releases units that were granted but not used because their request did not run.
    pub fn release(&mut self, now: TimePoint, org: OrgKey, units: u32) {
        self.org_use(now, org).used -= i64::from(units);
    }

    /// Messages that report use which owners do not know of yet.
    pub fn unsent(&mut self, now: TimePoint) -> Vec<LimitRequest> {
        let due = |org_use: &OrgUse| {
            org_use.used != org_use.sent && now.since(org_use.sent_at) >= REPORT_PERIOD
        };
        let uses = self.uses.iter_mut().filter(|(_, org_use)| due(org_use));
        uses.map(|(org, org_use)| org_use.message(now, *org, 0, 0)).collect()
    }

    fn org_use(&mut self, now: TimePoint, org: OrgKey) -> &mut OrgUse {
        self.uses.entry(org).or_insert_with(|| OrgUse {
            used: 0,
            sent: 0,
            sent_at: now,
            last_level: None,
            fallback: LimitBucket::new(now, 0.0),
        })
    }
}

impl OrgUse {
    /// The owner's last level if it arrived less than `max_age` ago.
    fn level_within(&self, now: TimePoint, max_age: Duration) -> Option<i32> {
        self.last_level.filter(|(_, at)| now.since(*at) < max_age).map(|(level, _)| level)
    }

    fn message(&mut self, now: TimePoint, org: OrgKey, sequence: u32, units: u32) -> LimitRequest {
        self.sent = self.used;
        self.sent_at = now;
        let seen_level = self.level_within(now, LEVEL_LIFETIME);
        LimitRequest { sequence, org, used: self.used, units, seen_level }
    }
}
