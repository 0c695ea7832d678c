use super::{LimitBucket, LimitReply, LimitRequest, LimitShare};
use crate::keys::{OrgKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// What an owner had left is told to its successor for this long; others use it up meanwhile.
const SEEN_LIFE: Duration = Duration::from_millis(1000);
/// For this long it tells whether the organisation was near its limit.
const PLENTY_LIFE: Duration = Duration::from_secs(8);
/// An owner that had this part of its burst left had plenty.
const PLENTY_PART: f64 = 0.5;
/// Units that were given back, or used without an owner, are told after this long at the latest.
const TELL_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct OrgUse {
    /// Units used since this host started.
    used: i64,
    /// What the owner was last told of that.
    sent: i64,
    sent_at: TimePoint,
    /// What the owner had left, and when it said so.
    last_level: Option<(i32, TimePoint)>,
    /// What may be used while no owner answers.
    fallback: LimitBucket,
}

/// What this host uses on account of organisations.
#[derive(Debug, Default)]
pub struct LimitMeter {
    uses: HashMap<OrgKey, OrgUse>,
    sequence: u32,
}

impl LimitMeter {
    /// The question for `units`, which count as used until the owner refuses them.
    pub fn request_units(&mut self, now: TimePoint, org: OrgKey, units: u32) -> LimitRequest {
        self.sequence = self.sequence.wrapping_add(1).max(1);
        let sequence = self.sequence;
        let account = self.account(now, org);
        account.used += i64::from(units);
        account.message(now, org, sequence, units)
    }

    /// The owner answered a question for `units`.
    pub fn apply_reply(&mut self, now: TimePoint, answer: &LimitReply, units: u32) {
        let account = self.account(now, answer.org);
        account.last_level = Some((answer.level, now));
        if answer.refused_ms.is_some() {
            account.used -= i64::from(units);
            account.sent = account.used;
        }
    }

    /// No owner answered a question for `units`: whether they may be used all the same, from what one of the
    /// `hosts` of a domain has of its `share`. If not, they count as not used.
    ///
    /// One request is more than a host's part of several seconds. It goes in advance only if the owner had
    /// plenty left a moment ago: of a third of the hosts cut off, each let in one request of an organisation
    /// at its limit.
    pub fn use_without_owner(
        &mut self,
        now: TimePoint,
        org: OrgKey,
        units: u32,
        share: &LimitShare,
        hosts: usize,
    ) -> bool {
        let account = self.account(now, org);
        let had_plenty = account
            .level_within(now, PLENTY_LIFE)
            .is_some_and(|level| f64::from(level) >= share.burst * PLENTY_PART);
        let own = share.for_host(hosts);
        let allowed = had_plenty && account.fallback.try_take(now, &own, f64::from(units));
        if !allowed {
            account.used -= i64::from(units);
        }
        allowed
    }

    /// Units that were granted and not used, since their request did not run.
    pub fn release(&mut self, now: TimePoint, org: OrgKey, units: u32) {
        self.account(now, org).used -= i64::from(units);
    }

    /// Messages about use that owners do not know of yet.
    pub fn unsent(&mut self, now: TimePoint) -> Vec<LimitRequest> {
        let due = |account: &OrgUse| {
            account.used != account.sent && now.since(account.sent_at) >= TELL_PERIOD
        };
        let accounts = self.uses.iter_mut().filter(|(_, account)| due(account));
        accounts.map(|(org, account)| account.message(now, *org, 0, 0)).collect()
    }

    fn account(&mut self, now: TimePoint, org: OrgKey) -> &mut OrgUse {
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
    /// What the owner had left when this host heard of it no longer than `life` ago.
    fn level_within(&self, now: TimePoint, life: Duration) -> Option<i32> {
        self.last_level.filter(|(_, at)| now.since(*at) < life).map(|(level, _)| level)
    }

    fn message(&mut self, now: TimePoint, org: OrgKey, sequence: u32, units: u32) -> LimitRequest {
        self.sent = self.used;
        self.sent_at = now;
        let seen_level = self.level_within(now, SEEN_LIFE);
        LimitRequest { sequence, org, used: self.used, units, seen_level }
    }
}
