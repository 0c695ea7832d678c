use super::{LimitBucket, LimitLoan, LimitReply, LimitRequest, LimitShare, LoanRequest, OwnerTerm};
use crate::keys::{IncarnationId, OrgKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// An owner whose level is at or below this fraction of its burst requests loans from the other owners.
const LOW_LEVEL: f64 = 0.5;
/// Fraction of its burst that a lender keeps for its own domain.
const LENDER_RESERVE: f64 = 0.5;
/// Minimum interval between loan requests for one organisation.
const LOAN_INTERVAL: Duration = Duration::from_millis(200);
/// A loan that arrives later than this is dropped, because the borrower may have been suspended in the meantime.
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Within this time, hosts that sent requests to the previous owner have reported the level it had left.
const LEARN_TIME: Duration = Duration::from_millis(500);
/// An account without requests expires after this long, when its bucket is full again.
const ACCOUNT_TIMEOUT: Duration = Duration::from_secs(60);

/// One organisation's share of its limit in one failure domain.
#[derive(Debug)]
struct OrgAccount {
    bucket: LimitBucket,
    opened_at: TimePoint,
    /// Units that each host reported as used.
    used: HashMap<IncarnationId, i64>,
    requested_at: TimePoint,
    /// Sequence numbers of pending loan requests, and when they were sent.
    open_loans: Vec<(u32, TimePoint)>,
    loans_requested_at: Option<TimePoint>,
}

/// The accounts from which this host grants units as the owner of organisations' shares.
#[derive(Debug, Default)]
pub struct LimitLedger {
    accounts: HashMap<OrgKey, OrgAccount>,
    /// How long this host has been checking its ownership without a gap.
    term: OwnerTerm,
    sequence: u32,
}

impl LimitLedger {
    /// Handles a request for units, of another host or of this one. `is_settled` means that the set of hosts has not
    /// changed for the whole window of the limit, so this host has been the owner all that time.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        request: &LimitRequest,
        share: &LimitShare,
        is_settled: bool,
    ) -> LimitReply {
        // The first request after a suspension may arrive before the periodic check.
        if self.term.is_broken(now) {
            self.check_ownership(now, |_| false);
        }
        let account = self.account(now, request, share, is_settled);
        account.requested_at = now;
        account.adopt_seen_level(now, request, share);
        let units = f64::from(request.units);
        // What a new host used under previous owners is already part of the level that it last saw there.
        let before = request.used - i64::from(request.units);
        let known = account.used.insert(from, request.used).unwrap_or(before);
        account.bucket.charge(now, share, (before - known) as f64);
        let granted = request.units == 0 || account.bucket.try_take(now, share, units);
        let refused_ms = (!granted).then(|| {
            account.used.insert(from, before);
            u32::try_from(account.bucket.wait_for(now, share, units).as_millis())
                .unwrap_or(u32::MAX)
        });
        let level = account.bucket.level(now, share) as i32;
        LimitReply { sequence: request.sequence, org: request.org, refused_ms, level }
    }

    /// Whether this owner has an account of an organisation.
    pub fn has_account(&self, org: OrgKey) -> bool {
        self.accounts.contains_key(&org)
    }

    fn account(
        &mut self,
        now: TimePoint,
        request: &LimitRequest,
        share: &LimitShare,
        is_settled: bool,
    ) -> &mut OrgAccount {
        self.accounts.entry(request.org).or_insert_with(|| OrgAccount {
            bucket: LimitBucket::new(now, initial_level(request, share, is_settled)),
            opened_at: now,
            used: HashMap::new(),
            requested_at: now,
            open_loans: Vec::new(),
            loans_requested_at: None,
        })
    }

    /// Whether an organisation's bucket is low and no loan was requested for it recently.
    pub fn wants_loan(&mut self, now: TimePoint, org: OrgKey, share: &LimitShare) -> bool {
        let Some(account) = self.accounts.get_mut(&org) else { return false };
        let is_recent = account.loans_requested_at.is_some_and(|at| now.since(at) < LOAN_INTERVAL);
        !is_recent && account.bucket.level(now, share) <= share.burst * LOW_LEVEL
    }

    /// Creates one loan request for each of `lenders` other domains, which together fill the bucket up to its burst.
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
        account.open_loans.retain(|(_, at)| now.since(*at) < LOAN_TIMEOUT);
        let units = (missing / lenders as f64) as u32;
        let mut requests = Vec::new();
        for _ in 0..lenders {
            self.sequence = self.sequence.wrapping_add(1);
            account.open_loans.push((self.sequence, now));
            requests.push(LoanRequest { sequence: self.sequence, org, units });
        }
        requests
    }

    /// Lends the owner in another domain what this one can spare.
    pub fn lend(
        &mut self,
        now: TimePoint,
        request: &LoanRequest,
        share: &LimitShare,
    ) -> Option<LimitLoan> {
        let account = self.accounts.get_mut(&request.org)?;
        let spare = account.bucket.level(now, share) - share.burst * LENDER_RESERVE;
        let units = spare.min(f64::from(request.units)).max(0.0) as u32;
        if units == 0 {
            return None;
        }
        account.bucket.charge(now, share, f64::from(units));
        Some(LimitLoan { sequence: request.sequence, org: request.org, units })
    }

    /// Adds a loan that this owner requested recently. Each request accepts one loan.
    pub fn accept_loan(&mut self, now: TimePoint, loan: &LimitLoan, share: &LimitShare) {
        let Some(account) = self.accounts.get_mut(&loan.org) else { return };
        let open = &mut account.open_loans;
        let index = open.iter().position(|(sequence, _)| *sequence == loan.sequence);
        let requested_at = index.map(|index| open.swap_remove(index).1);
        if requested_at.is_some_and(|at| now.since(at) < LOAN_TIMEOUT) {
            account.bucket.add_loan(now, share, f64::from(loan.units));
        }
    }

    /// Adapts to a changed configuration: levels above the burst of a lower limit are cut.
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

    /// The term for which this host has been checking its ownership without a gap.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Drops the accounts that this host has not owned ever since the last check, and all of them if it was suspended.
    /// Must be called several times a second.
    pub fn check_ownership(&mut self, now: TimePoint, has_owned: impl Fn(OrgKey) -> bool) {
        let is_unbroken = self.term.renew(now);
        self.retain(|org| is_unbroken && has_owned(org));
    }

    /// Drops accounts that another host owns now. Its grants are unknown here, so units that refill in these accounts
    /// would be granted twice if the ownership came back.
    pub fn retain(&mut self, is_owned: impl Fn(OrgKey) -> bool) {
        self.accounts.retain(|org, _| is_owned(*org));
    }

    /// Drops accounts that have had no requests for a long time.
    pub fn expire(&mut self, now: TimePoint) {
        self.accounts.retain(|_, account| now.since(account.requested_at) < ACCOUNT_TIMEOUT);
    }
}

impl OrgAccount {
    /// While the account is new, lowers its level to what a host saw at the previous owner, which may be more recent than
    /// what the first host saw.
    fn adopt_seen_level(&mut self, now: TimePoint, request: &LimitRequest, share: &LimitShare) {
        let Some(level) = request.seen_level else { return };
        let excess = self.bucket.level(now, share) - f64::from(level);
        if now.since(self.opened_at) < LEARN_TIME && excess > 0.0 {
            self.bucket.charge(now, share, excess);
        }
    }
}

/// The initial level of a new owner's account: what the previous owner had left, as the requesting host last saw it.
/// Without such a level, the bucket starts full if the set of hosts is settled, because then no previous owner granted
/// anything. Otherwise one may have, and the bucket starts with the small initial level of the share.
fn initial_level(request: &LimitRequest, share: &LimitShare, is_settled: bool) -> f64 {
    let default_level = if is_settled { share.burst } else { share.initial };
    request.seen_level.map_or(default_level, |level| f64::from(level).min(share.burst))
}
