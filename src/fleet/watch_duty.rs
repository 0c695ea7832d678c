use std::time::Duration;

/// When neither this host nor any that it heard of has been answered by the store for this long,
/// the watcher may be cut off: a watch answers every second, and news of it spreads within 0.7 s.
const DOUBT_AGE: Duration = Duration::from_millis(2300);
/// Hosts begin to ask themselves spread over this time, so that one answer spares the others.
const DOUBT_SPREAD: Duration = Duration::from_millis(2000);

/// A host that the store refused, and that is not elected therefore, asks again this long after its
/// last call. One call of each such host in this time is below a tenth of the store's rates.
const REFUSED_PAUSE: Duration = Duration::from_millis(2000);

/// Whether a host asks the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchDuty {
    /// It watches for its failure domain.
    Watch,
    /// It asks because nobody else seems to be answered, or to learn whether it is answered again.
    Doubt,
    /// It hears changes from others.
    Hear,
}

/// What the duty depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyView {
    /// The host has a first view; without one it asks whatever others do.
    pub informed: bool,
    /// The host is its failure domain's watcher.
    pub elected: bool,
    /// Time since the store last answered any host that this one heard of.
    pub store_age: Duration,
    /// Time since its own last call, if that was refused or not answered.
    pub refused_for: Option<Duration>,
    /// Differs between hosts.
    pub salt: u64,
}

/// Decides who watches: one host a failure domain among those that the store answers, and any host
/// whose watcher seems cut off.
pub fn watch_duty(view: &DutyView) -> WatchDuty {
    if view.elected || !view.informed {
        return WatchDuty::Watch;
    }
    if view.refused_for.is_some_and(|time| time >= REFUSED_PAUSE) {
        return WatchDuty::Doubt;
    }
    let spread = u64::try_from(DOUBT_SPREAD.as_millis()).unwrap_or(u64::MAX);
    let own_doubt = DOUBT_AGE + Duration::from_millis(view.salt % spread);
    if view.store_age > own_doubt { WatchDuty::Doubt } else { WatchDuty::Hear }
}
