use crate::keys::TimePoint;
use std::time::Duration;

/// Entries that expire during a store outage come back within about two seconds of its recovery, as the
/// platform's specification states; an entry that is still missing then is gone.
const RECOVERY_GRACE: Duration = Duration::from_millis(2200);
/// A gap of this length without an answer of the store to any host counts as an outage. Entries expire
/// after three missed heartbeats of 1.2 s, at the earliest 2.4 s after the outage began.
const OUTAGE_GAP: Duration = Duration::from_millis(2000);
/// A host that hears nothing from other hosts for this long does not know whether the store answers them. Each host repeats
/// the age of the store's last answer every 0.8 s, also if nothing has changed.
const CONTACT_GAP: Duration = Duration::from_millis(1500);
/// The same for hosts of other failure domains, which send to fewer hosts of this one.
const OUTSIDE_CONTACT_GAP: Duration = Duration::from_millis(3000);

/// Who states when the store last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerSource {
    /// The store answered this host.
    Own,
    /// Another host of the same failure domain.
    SameDomain,
    /// A host of another failure domain.
    OtherDomain,
}

/// Contact with some hosts.
#[derive(Debug, Clone, Copy)]
struct PeerContact {
    /// The longest time without a message within one contact.
    max_gap: Duration,
    /// Begin and end of the contact without a longer gap; `None` if these hosts were never heard.
    span: Option<(TimePoint, TimePoint)>,
}

impl PeerContact {
    const fn new(max_gap: Duration) -> Self {
        Self { max_gap, span: None }
    }

    fn record(&mut self, now: TimePoint) {
        let unbroken = self.span.filter(|(_, until)| now.since(*until) < self.max_gap);
        self.span = Some((unbroken.map_or(now, |(since, _)| since), now));
    }

    /// Whether the hosts were heard all the time from `from` to `now`; `None` if they were never heard.
    fn is_unbroken(&self, from: TimePoint, now: TimePoint) -> Option<bool> {
        let (since, until) = self.span?;
        Some(now.since(until) < self.max_gap && since <= from + self.max_gap)
    }
}

/// Tells outages of the store from gaps in this host's own contact.
#[derive(Debug, Clone)]
pub(super) struct StoreGap {
    /// When the store last answered any host, as far as this host knows; `None` if it knows of no answer.
    answered_at: Option<TimePoint>,
    /// Time of the store's first answer after an outage.
    recovered_at: Option<TimePoint>,
    /// Time of the store's first answer after a gap of this host's failure domain, which other domains may not have had.
    domain_recovered_at: Option<TimePoint>,
    /// Contact with hosts of the same failure domain.
    domain: PeerContact,
    /// Contact with hosts of other failure domains.
    outside: PeerContact,
}

impl Default for StoreGap {
    fn default() -> Self {
        Self {
            answered_at: None,
            recovered_at: None,
            domain_recovered_at: None,
            domain: PeerContact::new(CONTACT_GAP),
            outside: PeerContact::new(OUTSIDE_CONTACT_GAP),
        }
    }
}

/// Whose gap it was that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GapScope {
    /// The store answered no host.
    All,
    /// It answered none of this host's failure domain, which was cut off together.
    Domain,
    /// It did not answer this host, which was cut off from the others.
    Own,
}

impl StoreGap {
    /// Records that the store answered some host `age` ago, as `source` states; `None` if it knows of no answer.
    ///
    /// Only a gap without answers to any host is an outage: while the store refuses some hosts, servers still reach it and
    /// their entries do not expire. A host that was cut off from the other hosts cannot tell, and counts its gap as its own.
    /// If its whole domain was cut off, the entries of the servers there expired with it, and those of others did not.
    pub fn record_answer(&mut self, now: TimePoint, age: Option<Duration>, source: AnswerSource) {
        let scope = self.scope(now);
        match source {
            AnswerSource::Own => {}
            AnswerSource::SameDomain => self.domain.record(now),
            AnswerSource::OtherDomain => self.outside.record(now),
        }
        let Some(answered_at) = age.map(|age| now - age) else { return };
        if self.answered_at >= Some(answered_at) {
            return;
        }
        if answered_at.since(self.gap_start()) >= OUTAGE_GAP {
            match scope {
                GapScope::All => self.recovered_at = Some(answered_at),
                GapScope::Domain => self.domain_recovered_at = Some(answered_at),
                GapScope::Own => {}
            }
        }
        self.answered_at = Some(answered_at);
    }

    /// Time since the store last answered any host, as far as this host knows; `None` if it knows of no answer.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.answered_at.map(|at| now.since(at))
    }

    /// Begin of the time without an answer: a host that knows of none counts from its start.
    fn gap_start(&self) -> TimePoint {
        self.answered_at.unwrap_or(TimePoint::CLOCK_START)
    }

    /// End of the time during which a missing entry may come back, of a server of this host's failure domain if `is_local`;
    /// `None` if there was no outage just now.
    pub fn grace_end(&self, now: TimePoint, is_local: bool) -> Option<TimePoint> {
        let domain_recovered_at = self.domain_recovered_at.filter(|_| is_local);
        let recovered_at = self.recovered_at.max(domain_recovered_at);
        recovered_at.map(|at| at + RECOVERY_GRACE).filter(|end| now < *end)
    }

    /// Whose gap it is that lasts since the store's last answer. A host that has never heard another domain, or no other host
    /// at all, goes by what it has.
    fn scope(&self, now: TimePoint) -> GapScope {
        // What others state covers the time before this host started.
        let from = self.gap_start().max(TimePoint::CLOCK_START);
        let outside = self.outside.is_unbroken(from, now);
        let domain = self.domain.is_unbroken(from, now);
        match (outside, domain) {
            (Some(true), _) | (None, Some(true) | None) => GapScope::All,
            (Some(false), Some(true)) => GapScope::Domain,
            (Some(false), Some(false) | None) | (None, Some(false)) => GapScope::Own,
        }
    }
}
