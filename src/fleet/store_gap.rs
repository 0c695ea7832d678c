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

/// Contact with other hosts without a gap.
#[derive(Debug, Clone, Copy)]
struct PeerContact {
    since: TimePoint,
    until: TimePoint,
}

/// Tells outages of the store from gaps in this host's own contact.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreGap {
    /// When the store last answered any host, as far as this host knows.
    answered_at: TimePoint,
    /// Time of the store's first answer after an outage.
    recovered_at: Option<TimePoint>,
    /// `None` if no other host has ever been heard: the own gaps are all that is known then.
    contact: Option<PeerContact>,
}

impl StoreGap {
    /// Records that the store answered this host now if `age` is zero, or that another host states that the store last
    /// answered some host `age` ago.
    ///
    /// Only a gap without answers to any host is an outage: while the store refuses some hosts, servers still reach it and
    /// their entries do not expire. A host that was cut off from the other hosts cannot tell, and counts its gap as its own.
    pub fn record_answer(&mut self, now: TimePoint, age: Duration) {
        let has_contact = self.has_contact(now);
        if !age.is_zero() {
            self.record_contact(now);
        }
        let answered_at = now - age;
        if answered_at <= self.answered_at {
            return;
        }
        if has_contact && answered_at.since(self.answered_at) >= OUTAGE_GAP {
            self.recovered_at = Some(answered_at);
        }
        self.answered_at = answered_at;
    }

    /// Time since the store last answered any host, as far as this host knows.
    pub fn age(&self, now: TimePoint) -> Duration {
        now.since(self.answered_at)
    }

    /// End of the time during which an entry that is missing may come back; `None` if there was no outage just now.
    pub fn grace_end(&self, now: TimePoint) -> Option<TimePoint> {
        self.recovered_at.map(|at| at + RECOVERY_GRACE).filter(|end| now < *end)
    }

    /// Whether this host has heard other hosts all the time since the store's last answer.
    fn has_contact(&self, now: TimePoint) -> bool {
        self.contact.is_none_or(|contact| {
            now.since(contact.until) < CONTACT_GAP
                && contact.since <= self.answered_at + CONTACT_GAP
        })
    }

    fn record_contact(&mut self, now: TimePoint) {
        let unbroken = self.contact.filter(|contact| now.since(contact.until) < CONTACT_GAP);
        let since = unbroken.map_or(now, |contact| contact.since);
        self.contact = Some(PeerContact { since, until: now });
    }
}
