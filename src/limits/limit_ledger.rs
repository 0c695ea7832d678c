use super::{LimitAnswer, LimitAsk, LimitBucket, LimitLoan, LimitShare, LoanAsk};
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
/// An account that nobody asked for is forgotten after this long, when its bucket is full again.
const ACCOUNT_LIFE: Duration = Duration::from_secs(60);

/// One organisation's part of one failure domain.
#[derive(Debug)]
struct OrgAccount {
    bucket: LimitBucket,
    /// What each host said that it used.
    used: HashMap<IncarnationId, i64>,
    asked_at: TimePoint,
    /// The last question for a loan, and when it was asked.
    loan: Option<(u32, TimePoint)>,
}

/// What this host grants as the owner of organisations' parts.
#[derive(Debug, Default)]
pub struct LimitLedger {
    accounts: HashMap<OrgKey, OrgAccount>,
    sequence: u32,
}

impl LimitLedger {
    /// Handles a host's question, and its own.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &LimitAsk,
        share: &LimitShare,
    ) -> LimitAnswer {
        let account = self.account(now, ask, share);
        account.asked_at = now;
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
        LimitAnswer { sequence: ask.sequence, org: ask.org, refused_ms, level }
    }

    /// Whether this owner has an account of an organisation.
    pub fn has(&self, org: OrgKey) -> bool {
        self.accounts.contains_key(&org)
    }

    fn account(&mut self, now: TimePoint, ask: &LimitAsk, share: &LimitShare) -> &mut OrgAccount {
        self.accounts.entry(ask.org).or_insert_with(|| OrgAccount {
            bucket: LimitBucket::new(now, first_level(now, ask, share)),
            used: HashMap::new(),
            asked_at: now,
            loan: None,
        })
    }

    /// Asks for a loan if the organisation's bucket is low and none was asked for lately.
    pub fn loan_wanted(
        &mut self,
        now: TimePoint,
        org: OrgKey,
        share: &LimitShare,
    ) -> Option<LoanAsk> {
        let account = self.accounts.get_mut(&org)?;
        let missing = share.burst - account.bucket.level(now, share);
        let lately = account.loan.is_some_and(|(_, at)| now.since(at) < LOAN_PAUSE);
        if missing < share.burst * (1.0 - SHORT_PART) || lately {
            return None;
        }
        self.sequence = self.sequence.wrapping_add(1);
        account.loan = Some((self.sequence, now));
        Some(LoanAsk { sequence: self.sequence, org, units: missing as u32 })
    }

    /// Lends to another domain's owner what this one can spare.
    pub fn lend(&mut self, now: TimePoint, ask: &LoanAsk, share: &LimitShare) -> Option<LimitLoan> {
        let account = self.accounts.get_mut(&ask.org)?;
        let spare = account.bucket.level(now, share) - share.burst * KEPT_PART;
        let units = spare.min(f64::from(ask.units)).max(0.0) as u32;
        if units == 0 {
            return None;
        }
        account.bucket.charge(now, share, f64::from(units));
        Some(LimitLoan { sequence: ask.sequence, org: ask.org, units })
    }

    /// Takes over a loan that this owner asked for a moment ago.
    pub fn borrow(&mut self, now: TimePoint, loan: &LimitLoan, share: &LimitShare) {
        let Some(account) = self.accounts.get_mut(&loan.org) else { return };
        let asked = account.loan.filter(|(sequence, _)| *sequence == loan.sequence);
        if asked.is_some_and(|(_, at)| now.since(at) < LOAN_LIFE) {
            account.bucket.add_loan(now, share, f64::from(loan.units));
        }
    }

    /// Adapts to a changed configuration: what was saved up under a higher limit is dropped.
    pub fn cut(&mut self, now: TimePoint, share_of: impl Fn(OrgKey) -> Option<LimitShare>) {
        self.accounts.retain(|org, account| {
            let Some(share) = share_of(*org) else { return false };
            account.bucket.cut(now, &share);
            true
        });
    }

    /// Forgets accounts that nobody asks for.
    pub fn expire(&mut self, now: TimePoint) {
        self.accounts.retain(|_, account| now.since(account.asked_at) < ACCOUNT_LIFE);
    }
}

/// Hosts that take themselves for the owner of one part while all of them start together and know few
/// others: about four were seen in a domain of 30 within two seconds.
const YOUNG_OWNERS: f64 = 4.0;
/// For this long after its start a host may be one of them.
const YOUNG_AGE: Duration = Duration::from_millis(3000);

/// What a new owner begins with: what its predecessor had left, as the asking host saw it, or else what
/// the tolerance allows. What came in since then counts as used: other hosts asked there as well.
fn first_level(now: TimePoint, ask: &LimitAsk, share: &LimitShare) -> f64 {
    let is_young = now.since(TimePoint::default()) < YOUNG_AGE;
    let first = if is_young { share.first / YOUNG_OWNERS } else { share.first };
    ask.seen_level.map_or(first, |level| f64::from(level).min(first))
}
