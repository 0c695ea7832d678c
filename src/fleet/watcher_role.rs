use std::time::Duration;

/// If for this long the store has answered neither this host nor a host without a newer view, the watcher
/// may be cut off: a watch is answered every second, and gossip spreads the answer within 0.7 s.
const POLL_AGE: Duration = Duration::from_millis(2300);
/// Hosts of a small failure domain start to poll spread over this time, so that one answer makes the
/// other polls unnecessary.
const POLL_SPREAD: Duration = Duration::from_millis(2000);

/// A host whose configuration may be older than this polls the store itself: caller keys are accepted for
/// 4.9 s, and neighbours have a newer configuration unless their watcher is down.
const CONFIG_POLL_AGE: Duration = Duration::from_millis(2500);
/// Such hosts start to poll spread over this time; an answer reaches the other hosts within half a second.
const CONFIG_POLL_SPREAD: Duration = Duration::from_millis(1000);

/// A host that has been behind for this long, and has not got the newer view from other hosts, polls the store.
/// Other hosts hand it over within milliseconds, or within half a second if a kept connection turns out to be silent.
const BEHIND_LIMIT: Duration = Duration::from_millis(600);
/// Such hosts start to poll spread over this time: the first ones to get an answer hand their view to the others.
const BEHIND_SPREAD: Duration = Duration::from_millis(400);

/// A host that receives nothing for this long from the hosts that would send it updates misses updates: their silence
/// does not mean that the store is unchanged. Even in a calm fleet a host receives ten datagrams a second, and the next
/// candidates for the watcher role receive one from the watcher every 0.8 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);
/// Pause between two calls of a host that misses updates to a store that refuses it: waiting for other hosts does not
/// help it.
const SILENT_RETRY_PAUSE: Duration = Duration::from_millis(1000);

/// A host that the store answers keeps watching for this long after each answer, while the store refuses the watcher
/// and all hosts that could replace it, or while the host receives nothing from the watcher and no other host reports a
/// newer answer. If such a host only polled, its failure domain would learn of a change 2.3 s later or more.
const SUBSTITUTE_TIME: Duration = Duration::from_millis(1500);

/// A host that the store refused, and that is therefore not elected, calls it again this long after its
/// last call, in a small failure domain.
const REFUSED_PAUSE: Duration = Duration::from_millis(2000);

/// Size of a failure domain up to which the times above apply unscaled. They grow with a larger domain, so
/// that an outage costs the store as many calls a second from 59 hosts as from 8. Without scaling, 295
/// hosts that each make one call a second for each of two kinds would make about 600.
const UNSCALED_HOSTS: usize = 8;

/// How long a host without a view waits for its neighbours to start handing over theirs: the time of a connection and
/// two calls. The host rejects callers meanwhile.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(20);
/// How long a host that has not met any other host waits for its seeds. Such a host does not know the size of its
/// failure domain, and if a thousand hosts start together, each of them calls the same few seeds. Seeds answer a single
/// host within milliseconds.
const SEED_WAIT: Duration = Duration::from_millis(500);
/// A host keeps waiting for a view that a neighbour is handing over as long as pieces arrive at least this often.
/// The size of a view grows with the fleet, so no fixed wait from the start fits: 600 kB for 10,000 servers take a
/// quarter of a second on a 20 Mbit/s link, and a host that does not wait for them starts to list them in 50 pages.
const HANDOVER_PAUSE: Duration = Duration::from_millis(150);
/// A neighbour that takes longer than this serves too many other hosts. A listing transfers about three times the bytes,
/// but over the store's link.
const MAX_HANDOVER: Duration = Duration::from_millis(3000);
/// Hosts of a small failure domain that start together and find no neighbour with a view list the servers spread over
/// this time. It grows with the domain like the other intervals: the first hosts to finish hand their view on, so that
/// the number of hosts that list does not depend on the size of the domain.
const LISTING_SPREAD: Duration = Duration::from_millis(60);

/// How a host follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherRole {
    /// It watches the store for its failure domain, or because it has no view and was offered none.
    Watch,
    /// It calls the store at intervals: it receives nothing from other hosts, they seem to get no answers of the store,
    /// it cannot get a newer view from them, or it checks whether the store answers it again.
    Poll,
    /// It receives changes from other hosts only.
    Follow,
}

impl WatcherRole {
    /// The name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Poll => "doubt",
            Self::Follow => "hear",
        }
    }
}

/// The facts that decide a host's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleInput {
    /// Time since the host started, as long as it has no view.
    pub without_view_for: Option<Duration>,
    /// Whether the host has seeds but has not met any other host.
    pub is_alone: bool,
    /// Time since the last piece of a view that another host is handing over, if one is.
    pub handover_idle: Option<Duration>,
    /// Whether the host is the elected watcher of its failure domain.
    pub elected: bool,
    /// Time since the store answered this host's last call. Set if the store refuses the watcher, or if since the host
    /// began to poll it has received nothing from the watcher and no other host has reported a newer answer.
    pub store_answered_for: Option<Duration>,
    /// Time since the view was last known to be complete, by an answer of the store to this host or to a host without a
    /// newer view, or since this host started if that is less.
    pub view_age: Duration,
    /// For how long this host has known that other hosts have a newer view.
    pub behind_for: Option<Duration>,
    /// Time since the host received anything from the hosts that would send it updates, if there are other hosts. These
    /// are the hosts ahead of it in the election if it is a candidate for the watcher role, and any other host otherwise.
    pub silent_for: Option<Duration>,
    /// Maximum age of the host's configuration, if the validity of caller keys depends on it.
    pub config_age: Option<Duration>,
    /// Time since the host's last call to the store, if that was refused or not answered.
    pub store_refused_for: Option<Duration>,
    /// Known hosts of the failure domain, including this one.
    pub domain_hosts: usize,
    /// Random value that differs between hosts.
    pub salt: u64,
}

impl RoleInput {
    /// Whether the host receives nothing from the hosts that would send it updates, or cannot get a newer view from
    /// them.
    pub fn lacks_updates(&self) -> bool {
        let behind_limit = BEHIND_LIMIT + offset_within(BEHIND_SPREAD, self.salt);
        self.silent_for.is_some_and(|time| time >= SILENCE_LIMIT)
            || self.behind_for.is_some_and(|time| time > behind_limit)
    }
}

/// Decides the role of a host. One host of each failure domain watches, chosen among those that the store answers. A
/// host polls if its watcher seems cut off, if it receives nothing from other hosts, or if it cannot get a newer view
/// from them.
pub fn watcher_role(input: &RoleInput) -> WatcherRole {
    if let Some(time) = input.without_view_for {
        let spread = scaled_interval(LISTING_SPREAD, input.domain_hosts);
        let neighbour_wait = if input.is_alone { SEED_WAIT } else { NEIGHBOUR_WAIT };
        let wait = neighbour_wait + offset_within(spread, input.salt);
        let is_arriving = input.handover_idle.is_some_and(|idle| idle < HANDOVER_PAUSE);
        let is_waiting = is_arriving && time < MAX_HANDOVER;
        return if time >= wait && !is_waiting { WatcherRole::Watch } else { WatcherRole::Follow };
    }
    if input.elected || input.store_answered_for.is_some_and(|time| time < SUBSTITUTE_TIME) {
        return WatcherRole::Watch;
    }
    let polls = match input.store_refused_for {
        Some(time) if input.lacks_updates() => time >= SILENT_RETRY_PAUSE,
        Some(time) => time >= scaled_interval(REFUSED_PAUSE, input.domain_hosts),
        None => {
            let spread = scaled_interval(POLL_SPREAD, input.domain_hosts);
            let config_limit = CONFIG_POLL_AGE + offset_within(CONFIG_POLL_SPREAD, input.salt);
            input.lacks_updates()
                || input.view_age > POLL_AGE + offset_within(spread, input.salt)
                || input.config_age.is_some_and(|age| age > config_limit)
        }
    };
    if polls { WatcherRole::Poll } else { WatcherRole::Follow }
}

/// Scales a host's interval between calls so that a large domain makes no more calls a second than a small one.
pub fn scaled_interval(interval: Duration, domain_hosts: usize) -> Duration {
    interval.mul_f64((domain_hosts as f64 / UNSCALED_HOSTS as f64).max(1.0))
}

fn offset_within(spread: Duration, salt: u64) -> Duration {
    let millis = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX).max(1);
    Duration::from_millis(salt % millis)
}
