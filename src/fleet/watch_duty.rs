use std::time::Duration;

/// When neither this host nor any that it heard of has been answered by the store for this long,
/// the watcher may be cut off: a watch answers every 1.5 s, and news of it spreads within 0.7 s.
const DOUBT_AGE: Duration = Duration::from_millis(2300);
/// Hosts begin to ask themselves spread over this time, so that one answer spares the others.
const DOUBT_SPREAD: Duration = Duration::from_millis(2000);

/// Whether a host asks the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchDuty {
    /// It watches for its failure domain.
    Watch,
    /// It watches because nobody else seems to be answered.
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
    /// Differs between hosts.
    pub salt: u64,
}

/// Decides who watches: one host a failure domain, and any host whose watcher seems cut off.
pub fn watch_duty(view: &DutyView) -> WatchDuty {
    if view.elected || !view.informed {
        return WatchDuty::Watch;
    }
    let spread = u64::try_from(DOUBT_SPREAD.as_millis()).unwrap_or(u64::MAX);
    let own_doubt = DOUBT_AGE + Duration::from_millis(view.salt % spread);
    if view.store_age > own_doubt { WatchDuty::Doubt } else { WatchDuty::Hear }
}
