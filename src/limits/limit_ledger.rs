use super::{LimitBucket, LimitLoan, LimitReply, LimitRequest, LimitShare, LoanRequest, OwnerTerm};
use crate::keys::{IncarnationId, OrgKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// An owner that has less than this part of its burst asks the others for a loan.
const SHORT_PART: f64 = 0.5;
/// A lender keeps this part of its burst for its own domain.
const KEPT_PART: f64 = 0.5;
/// Pause between two questions for a loan for one organisation.
const LOAN_PAUSE: Duration = Duration::from_millis(200);
/// A loan that comes later than this is not used: its owner may have been suspended meanwhile.
const LOAN_LIFE: Duration = Duration::from_millis(500);
/// Hosts that asked the last owner tell what it had left within this time.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// An account that nobody asked for is forgotten after this long, when its bucket is full again.
const ACCOUNT_LIFE: Duration = Duration::from_secs(60);

/// One organisation's part of one failure domain.
#[derive(Debug)]
struct OrgAccount {
    bucket: LimitBucket,
    opened_at: TimePoint,
    /// What each host said that it used.
    used: HashMap<IncarnationId, i64>,
    requested_at: TimePoint,
    /// Questions for loans that are not answered yet, and when they were asked.
    open_loans: Vec<(u32, TimePoint)>,
    loans_requested_at: Option<TimePoint>,
}

/// What this host grants as the owner of organisations' parts.
#[derive(Debug, Default)]
pub struct LimitLedger {
    accounts: HashMap<OrgKey, OrgAccount>,
    /// How long it has been kept without a break.
    term: OwnerTerm,
    sequence: u32,
}

impl LimitLedger {
    /// Handles a host's question, and its own. `is_settled` tells that hosts have neither come nor gone for
    /// the whole window of the limit: then this one has been the owner all the time.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &LimitRequest,
        share: &LimitShare,
        is_settled: bool,
    ) -> LimitReply {
        // The first question after a suspension may come before the host has looked.
        if self.term.is_broken(now) {
            self.check_ownership(now, |_| false);
        }
        let account = self.account(now, ask, share, is_settled);
        account.requested_at = now;
        account.learn(now, ask, share);
        let units = f64::from(ask.units);
        // A host not heard of before tells what it used of former owners: that is in the level seen there.
        let before = ask.used - i64::from(ask.units);
        let known = account.used.insert(from, ask.used).unwrap_or(before);
        account.bucket.charge(now, share, (before - known) as f64);
        let granted = ask.units == 0 || account.bucket.try_take(now, share, units);
        let refused_ms = (!granted).then(|| {
            account.used.insert(from, before);
            u32::try_from(account.bucket.wait_for(now, share, units).as_millis())
                .unwrap_or(u32::MAX)
        });
        let level = account.bucket.level(now, share) as i32;
        LimitReply { sequence: ask.sequence, org: ask.org, refused_ms, level }
    }

    /// Whether this owner has an account of an organisation.
    pub fn has_account(&self, org: OrgKey) -> bool {
        self.accounts.contains_key(&org)
    }

    fn account(
        &mut self,
        now: TimePoint,
        ask: &LimitRequest,
        share: &LimitShare,
        is_settled: bool,
    ) -> &mut OrgAccount {
        self.accounts.entry(ask.org).or_insert_with(|| OrgAccount {
            bucket: LimitBucket::new(now, first_level(ask, share, is_settled)),
            opened_at: now,
            used: HashMap::new(),
            requested_at: now,
            open_loans: Vec::new(),
            loans_requested_at: None,
        })
    }

    /// Whether an organisation's bucket is low and no other domain was asked for a loan lately.
    pub fn wants_loan(&mut self, now: TimePoint, org: OrgKey, share: &LimitShare) -> bool {
        let Some(account) = self.accounts.get_mut(&org) else { return false };
        let lately = account.loans_requested_at.is_some_and(|at| now.since(at) < LOAN_PAUSE);
        !lately && account.bucket.level(now, share) <= share.burst * SHORT_PART
    }

    /// Asks each of `lenders` other domains for a part of what is missing to the burst.
    pub fn request_loans(
        &mut self,
        now: TimePoint,
        org: OrgKey,
        share: &LimitShare,
        lenders: usize,
    ) -> Vec<LoanRequest> {
        let Some(account) = self.accounts.get_mut(&org) else { return Vec::new() };
        if lenders == 0 {
            return Vec::new();
        }
        let missing = share.burst - account.bucket.level(now, share);
        account.loans_requested_at = Some(now);
        account.open_loans.retain(|(_, at)| now.since(*at) < LOAN_LIFE);
        let units = (missing / lenders as f64) as u32;
        let mut asks = Vec::new();
        for _ in 0..lenders {
            self.sequence = self.sequence.wrapping_add(1);
            account.open_loans.push((self.sequence, now));
            asks.push(LoanRequest { sequence: self.sequence, org, units });
        }
        asks
    }

    /// Lends to another domain's owner what this one can spare.
    pub fn lend(
        &mut self,
        now: TimePoint,
        ask: &LoanRequest,
        share: &LimitShare,
    ) -> Option<LimitLoan> {
        let account = self.accounts.get_mut(&ask.org)?;
        let spare = account.bucket.level(now, share) - share.burst * KEPT_PART;
        let units = spare.min(f64::from(ask.units)).max(0.0) as u32;
        if units == 0 {
            return None;
        }
        account.bucket.charge(now, share, f64::from(units));
        Some(LimitLoan { sequence: ask.sequence, org: ask.org, units })
    }

    /// Takes over a loan that this owner asked for a moment ago, once.
    pub fn accept_loan(&mut self, now: TimePoint, loan: &LimitLoan, share: &LimitShare) {
        let Some(account) = self.accounts.get_mut(&loan.org) else { return };
        let open = &mut account.open_loans;
        let place = open.iter().position(|(sequence, _)| *sequence == loan.sequence);
        let asked_at = place.map(|place| open.swap_remove(place).1);
        if asked_at.is_some_and(|at| now.since(at) < LOAN_LIFE) {
            account.bucket.add_loan(now, share, f64::from(loan.units));
        }
    }

    /// Adapts to a changed configuration: what was saved up under a higher limit is dropped.
    pub fn clamp_levels(
        &mut self,
        now: TimePoint,
        share_of: impl Fn(OrgKey) -> Option<LimitShare>,
    ) {
        self.accounts.retain(|org, account| {
            let Some(share) = share_of(*org) else { return false };
            account.bucket.clamp(now, &share);
            true
        });
    }

    /// How long this owner has looked after its accounts.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Forgets accounts of which this host has not been the owner ever since the last look, and all of them if it was
    /// suspended. Called several times a second.
    pub fn check_ownership(&mut self, now: TimePoint, has_owned: impl Fn(OrgKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.retain(|org| is_unbroken && has_owned(org));
    }

    /// Forgets accounts that another host owns now: what it grants is not known here, so that what fills up in them would
    /// be granted twice if they came back.
    pub fn retain(&mut self, is_owned: impl Fn(OrgKey) -> bool) {
        self.accounts.retain(|org, _| is_owned(*org));
    }

    /// Forgets accounts that nobody asks for.
    pub fn expire(&mut self, now: TimePoint) {
        self.accounts.retain(|_, account| now.since(account.requested_at) < ACCOUNT_LIFE);
    }
}

impl OrgAccount {
    /// While the account is young, a host may know better what the last owner had left than the first one
    /// that asked.
    fn learn(&mut self, now: TimePoint, ask: &LimitRequest, share: &LimitShare) {
        let Some(level) = ask.seen_level else { return };
        let excess = self.bucket.level(now, share) - f64::from(level);
        if now.since(self.opened_at) < LEARNING_TIME && excess > 0.0 {
            self.bucket.charge(now, share, excess);
        }
    }
}

/// What a new owner begins with: what its predecessor had left, as the asking host saw it a moment ago. If
/// nobody saw any, nobody asked one if hosts have not come or gone for long, and otherwise somebody may
/// have, a moment ago.
fn first_level(ask: &LimitRequest, share: &LimitShare, is_settled: bool) -> f64 {
    let unseen = if is_settled { share.burst } else { share.initial };
    ask.seen_level.map_or(unseen, |level| f64::from(level).min(share.burst))
}
