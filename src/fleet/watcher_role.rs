use std::time::Duration;

/// When neither this host nor any whose view it holds has been answered by the store for this long,
/// the watcher may be cut off: a watch answers every second, and news of it spreads within 0.7 s.
const DOUBT_AGE: Duration = Duration::from_millis(2300);
/// Hosts of a small failure domain begin to ask themselves spread over this time, so that one answer
/// spares the others.
const DOUBT_SPREAD: Duration = Duration::from_millis(2000);

/// A host whose configuration may be older than this asks for it itself: keys of callers are believed for
/// 4.9 s, and neighbours know a younger one unless their watcher is gone.
const UNSURE_AGE: Duration = Duration::from_millis(2500);
/// Such hosts begin to ask spread over this time; the answers reach the others within half a second.
const UNSURE_SPREAD: Duration = Duration::from_millis(1000);

/// A host that knows for this long that others have a newer view, and has not got it from them, asks the store:
/// they hand it over within some milliseconds, or, if a connection is found silent first, half a second.
const BEHIND_LIMIT: Duration = Duration::from_millis(600);
/// Such hosts begin to ask spread over this time: those that are answered first hand their view on.
const BEHIND_SPREAD: Duration = Duration::from_millis(400);

/// A host that does not hear those that would tell it of news for this long gets none: silence says nothing of the store.
/// Even in a calm fleet a host hears ten datagrams a second, and those that are next in the watcher's office one of its
/// each 0.8 s.
const UNHEARD_LIMIT: Duration = Duration::from_millis(1000);
/// How often a host that lacks news asks a store that refuses it: waiting for others does not help it.
const LACKING_PAUSE: Duration = Duration::from_millis(1000);

/// A host that the store answers watches while it refuses the watcher and all hosts that could be elected in its place, and
/// as long as neither that one nor a newer answer is heard: if it only asked when in doubt, its failure domain would hear
/// of a change 2.3 s later, or more.
const STAND_IN_TIME: Duration = Duration::from_millis(1500);

/// A host that the store refused, and that is not elected therefore, asks again this long after its
/// last call, in a small failure domain.
const REFUSED_PAUSE: Duration = Duration::from_millis(2000);

/// Hosts of a failure domain that may ask in the times above. A larger domain stretches them, so that
/// an outage costs the store as many calls a second from 59 hosts as from 8: without it, 295 hosts
/// that each ask once a second for two kinds make 600 (reckoned).
const ASKING_HOSTS: usize = 8;

/// A host without a view leaves its neighbours this time to begin to hand it theirs: a connection and two
/// calls. Callers are refused meanwhile.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(20);
/// A host that has met no other one yet knows nothing of the size of its failure domain, and waits this long for its seeds:
/// of a thousand hosts that start together each asks the same few. They answer a single host within milliseconds.
const SEED_WAIT: Duration = Duration::from_millis(500);
/// A host to which a neighbour is handing its view leaves it to that one as long as pieces come at least this often.
/// What is handed over grows with the fleet, and no fixed wait from the start on fits: 600 kB for 10,000 servers take a
/// quarter of a second on a link of 20 Mbit/s, and each host that did not wait for them began to list them in 50 pages.
const HANDOVER_PAUSE: Duration = Duration::from_millis(150);
/// A neighbour that needs longer than this serves too many others; a listing takes some three times the bytes, but of
/// the store's link.
const LONGEST_HANDOVER: Duration = Duration::from_millis(3000);
/// Hosts of a small failure domain that start together and find no neighbour with a view list the servers spread over
/// this time. In a larger one it is stretched like other times between calls: the first that have listed hand their
/// view on, and those that list meanwhile are as many whatever the size of the domain.
const LISTING_SPREAD: Duration = Duration::from_millis(60);

/// Whether a host asks the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherRole {
    /// It watches for its failure domain, or has no view and heard of none.
    Watch,
    /// It asks because nobody else is heard or seems to be answered, because it cannot get from others what they have,
    /// or to learn whether it is answered again.
    Poll,
    /// It hears changes from others.
    Follow,
}

impl WatcherRole {
    /// As logs say it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Poll => "doubt",
            Self::Follow => "hear",
        }
    }
}

/// What the duty depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleInput {
    /// Time since the host's start, as long as it has no view.
    pub without_view_for: Option<Duration>,
    /// It has seeds and has met no other host.
    pub is_alone: bool,
    /// Time since something last came of a view that another host is handing over, if one is.
    pub handover_idle: Option<Duration>,
    /// The host is its failure domain's watcher.
    pub elected: bool,
    /// Time since the store answered its own last call, if it refuses the watcher, or if the host had asked in doubt and
    /// heard neither the watcher nor of a newer answer since.
    pub store_answered_for: Option<Duration>,
    /// Time since the view was last known to lack nothing, by an answer of the store to this host or to one that had
    /// no newer view.
    pub view_age: Duration,
    /// For how long this host has known that others have a newer view.
    pub behind_for: Option<Duration>,
    /// Time since it heard anything of the hosts that would tell it of news, if there are others: the one that watches, for
    /// those that are next in that office, and any other host for the rest.
    pub silent_for: Option<Duration>,
    /// How old its configuration may be, if keys of callers depend on that.
    pub config_age: Option<Duration>,
    /// Time since its own last call, if that was refused or not answered.
    pub store_refused_for: Option<Duration>,
    /// Hosts of its failure domain, as far as it knows, itself included.
    pub domain_hosts: usize,
    /// Differs between hosts.
    pub salt: u64,
}

impl RoleInput {
    /// Whether the host does not hear those that would tell it of news, or cannot get from them what they have.
    pub fn lacks_updates(&self) -> bool {
        let patience = BEHIND_LIMIT + part_of(BEHIND_SPREAD, self.salt);
        self.silent_for.is_some_and(|time| time >= UNHEARD_LIMIT)
            || self.behind_for.is_some_and(|time| time > patience)
    }
}

/// Decides who watches: one host a failure domain among those that the store answers, and any host whose watcher
/// seems cut off, that hears no other host or that cannot get from others what they have.
pub fn watcher_role(view: &RoleInput) -> WatcherRole {
    if let Some(time) = view.without_view_for {
        let spread = scaled_interval(LISTING_SPREAD, view.domain_hosts);
        let others = if view.is_alone { SEED_WAIT } else { NEIGHBOUR_WAIT };
        let wait = others + part_of(spread, view.salt);
        let is_moving = view.handover_idle.is_some_and(|idle| idle < HANDOVER_PAUSE);
        let is_served = is_moving && time < LONGEST_HANDOVER;
        return if time >= wait && !is_served { WatcherRole::Watch } else { WatcherRole::Follow };
    }
    if view.elected || view.store_answered_for.is_some_and(|time| time < STAND_IN_TIME) {
        return WatcherRole::Watch;
    }
    let asks = match view.store_refused_for {
        Some(time) if view.lacks_updates() => time >= LACKING_PAUSE,
        Some(time) => time >= scaled_interval(REFUSED_PAUSE, view.domain_hosts),
        None => {
            let spread = scaled_interval(DOUBT_SPREAD, view.domain_hosts);
            let unsure = UNSURE_AGE + part_of(UNSURE_SPREAD, view.salt);
            view.lacks_updates()
                || view.view_age > DOUBT_AGE + part_of(spread, view.salt)
                || view.config_age.is_some_and(|age| age > unsure)
        }
    };
    if asks { WatcherRole::Poll } else { WatcherRole::Follow }
}

/// A time between calls of each host, stretched so that a large domain calls no more often.
pub fn scaled_interval(time: Duration, domain_hosts: usize) -> Duration {
    time.mul_f64((domain_hosts as f64 / ASKING_HOSTS as f64).max(1.0))
}

fn part_of(spread: Duration, salt: u64) -> Duration {
    let millis = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX).max(1);
    Duration::from_millis(salt % millis)
}
