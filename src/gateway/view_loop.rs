use super::gateway_host::GatewayHost;
use super::role_log::RoleLog;
use super::store_contact::{FollowedKind, record_store_answer, record_store_failure};
use super::view_lag::LagLog;
use super::view_store::{list, list_unless_received, poll_changes, read_periodically, watch};
use crate::Error;
use crate::fleet::{RoleInput, WatcherRole, scaled_interval, watcher_role};
use crate::host::lock;
use crate::keys::TimePoint;
use std::sync::Arc;
use std::time::Duration;

/// Pause after a watch that returned changes. Each watch is one store call and ends at the first change:
/// with this pause, one call returns many changes while dozens of servers start or change their stage.
/// Changes have to be in force within 2 s.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// First pause after the store did not answer; it doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(1000);
/// After this pause a watcher retries as soon as it learns that the store has answered another host: the pauses in a
/// failure domain of a hundred hosts are longer than a change may take to be in force.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause of the watcher of a failure domain whose callers need keys: after an outage, callers are
/// refused until it has read the configuration again. The pause of a large domain would be 3 s.
const KEYED_PAUSE: Duration = Duration::from_millis(400);
/// A view that was last complete longer ago than this may have missed many versions of the configuration. A watch would
/// return each of them completely, and do so to each of the hundreds of hosts that resume at the same time.
const MAX_WATCH_AGE: Duration = Duration::from_millis(2000);
/// How often a host that does not watch the store checks whether it should.
const ROLE_PERIOD: Duration = Duration::from_millis(100);
/// How often expired entries are removed.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Follows the configuration and the servers in the store, and removes expired entries.
pub(super) async fn run_view(host: Arc<GatewayHost>) {
    tokio::join!(
        follow(&host, FollowedKind::Routes),
        follow(&host, FollowedKind::Servers),
        expire_entries(&host)
    );
}

/// Outcome of one query of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowStep {
    /// The view includes everything that the store held at `until`; `next` is the revision to continue from.
    Complete { next: u64, until: TimePoint },
    /// Another host sent the view before the store answered.
    ReceivedFromPeer,
    /// The store no longer has the history after the requested revision.
    HistoryLost,
}

/// Kind of the next query of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextQuery {
    /// Wait for further changes.
    Watch,
    /// Return past changes without waiting.
    Poll,
    /// Return all objects.
    List,
}

impl NextQuery {
    /// The first query of a host whose view was last complete `view_age` ago.
    fn first(view_age: Duration) -> Self {
        if view_age > MAX_WATCH_AGE { Self::Poll } else { Self::Watch }
    }

    /// The query after a failed one. After timeouts, polls and lists alternate, because an answer may be too long to arrive.
    fn after_failure(self, error: &Error) -> Self {
        match self {
            Self::Poll if matches!(error, Error::Timeout) => Self::List,
            Self::Watch | Self::Poll | Self::List => Self::Poll,
        }
    }
}

/// Outcomes of this host's own store queries about a kind.
#[derive(Debug, Clone, Copy, Default)]
struct OwnStoreContact {
    /// When the last query failed, if no later one was answered.
    refused_at: Option<TimePoint>,
    /// When a query was last answered.
    answered_at: Option<TimePoint>,
    /// Since when this host polls the store because its view may be outdated.
    polls_since: Option<TimePoint>,
}

/// Follows a kind in the store while this host has the role to do so.
async fn follow(host: &Arc<GatewayHost>, kind: FollowedKind) {
    let mut pause = FIRST_PAUSE;
    let mut query = NextQuery::Watch;
    // Revision from which this host's watch continues; `None` before the first answer.
    let mut watched = None;
    let mut contact = OwnStoreContact::default();
    let mut role_log = RoleLog::new(kind);
    loop {
        let input = host.role_input(kind, contact);
        let role = watcher_role(&input);
        role_log.update(role, &input);
        if role == WatcherRole::Follow {
            watched = None;
            query = NextQuery::Watch;
            contact.polls_since = None;
            tokio::time::sleep(ROLE_PERIOD).await;
            continue;
        }
        if role == WatcherRole::Poll {
            contact.polls_since.get_or_insert(host.now());
        }
        if watched.is_none() && query == NextQuery::Watch {
            query = NextQuery::first(input.view_age);
        }
        let from = watched.or_else(|| host.known_revision(kind));
        let step = match (from, query) {
            (None, _) => list_unless_received(host, kind).await,
            (Some(_), NextQuery::List) => list(host, kind).await,
            (Some(after), NextQuery::Poll) => poll_changes(host, kind, after).await,
            (Some(after), NextQuery::Watch) if host.reads_periodically(kind) => {
                read_periodically(host, after).await
            }
            (Some(after), NextQuery::Watch) => watch(host, kind, after).await,
        };
        match step {
            // The store did not answer this host.
            Ok(FollowStep::ReceivedFromPeer) => continue,
            Ok(FollowStep::Complete { next, until }) => {
                watched = Some(next);
                query = NextQuery::Watch;
                host.record_view_complete(kind, until, next);
                if from.is_some_and(|after| next > after) {
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            // The known view may have missed changes.
            Ok(FollowStep::HistoryLost) => {
                query = NextQuery::List;
                continue;
            }
            // Possibly only this connection has become unresponsive.
            Err(Error::Timeout) if query == NextQuery::Watch && from.is_some() => {
                query = NextQuery::Poll;
                continue;
            }
            Err(error) => {
                record_store_failure(host, kind, &error);
                contact.refused_at = Some(host.now());
                watched = None;
                query = query.after_failure(&error);
                host.pause_until_store_answers(pause).await;
                let max_pause =
                    if input.lacks_updates() { MAX_PAUSE } else { host.max_pause(kind) };
                pause = (pause * 2).min(max_pause);
                continue;
            }
        }
        pause = FIRST_PAUSE;
        contact.refused_at = None;
        contact.answered_at = Some(host.now());
        record_store_answer(host, kind);
    }
}

impl GatewayHost {
    /// The input that decides whether this host queries the store for a kind itself, or receives it from other hosts.
    fn role_input(&self, kind: FollowedKind, contact: OwnStoreContact) -> RoleInput {
        let known = self.known_revision(kind).is_some();
        let now = self.now();
        let state = self.state();
        let domain = self.domain();
        // A host that has just started gives its neighbours as long to send it news as any other.
        let uptime = now.since(TimePoint::CLOCK_START);
        let watcher = state.watcher(now, domain);
        let is_vacant = watcher.is_none_or(|host| state.refused_hosts.is_refused(now, host));
        let received_at = watcher.and_then(|host| state.members.record(host)?.received_at);
        let is_substitute = contact.polls_since.is_some_and(|since| {
            received_at.is_none_or(|at| at < since) && state.has_newest_answer(kind)
        });
        RoleInput {
            without_view_for: (!known).then_some(uptime),
            is_alone: state.members.is_alone(),
            handover_idle: lock(&self.view_fetches).last_progress_at().map(|at| now.since(at)),
            elected: watcher == Some(self.incarnation),
            store_answered_for: contact
                .answered_at
                .filter(|_| is_vacant || is_substitute)
                .map(|at| now.since(at)),
            view_age: state.view_age(now, kind).min(uptime),
            behind_for: state.behind_for(now, kind),
            silent_for: state.silent_for(now),
            config_age: match kind {
                FollowedKind::Routes => state.max_config_age().map(|_| state.config_age.age(now)),
                FollowedKind::Servers => None,
            },
            // A later answer of the store to any other query outweighs the failure.
            store_refused_for: contact
                .refused_at
                .filter(|at| *at > state.store_answered_at)
                .map(|at| now.since(at)),
            domain_hosts: state.members.living_in(domain).count(),
            salt: self.incarnation.0,
        }
    }

    /// Pauses after a failed call. A watcher ends the pause early once the store has answered another host.
    async fn pause_until_store_answers(&self, pause: Duration) {
        let began = self.now();
        tokio::time::sleep(pause.min(MIN_RETRY_PAUSE)).await;
        while self.now().since(began) < pause {
            let now = self.now();
            let store_age = self.state().fleet.store_age(now);
            let is_back = store_age.is_some_and(|age| age < now.since(began));
            if is_back && self.is_watcher() {
                return;
            }
            tokio::time::sleep(ROLE_PERIOD).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let now = self.now();
        self.state().watcher(now, self.domain()) == Some(self.incarnation)
    }

    /// Longest pause between failing store calls.
    fn max_pause(&self, kind: FollowedKind) -> Duration {
        if self.reads_periodically(kind) && self.is_watcher() {
            return KEYED_PAUSE;
        }
        scaled_interval(MAX_PAUSE, self.state().members.living_in(self.domain()).count())
    }
}

async fn expire_entries(host: &GatewayHost) {
    let mut ticker = tokio::time::interval(EXPIRE_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lag_logs = FollowedKind::ALL.map(LagLog::new);
    loop {
        ticker.tick().await;
        let now = host.now();
        for lag_log in &mut lag_logs {
            lag_log.update(now, host);
        }
        let expired = {
            let mut state = host.state();
            state.expire(now);
            state.fleet.expire(now)
        };
        for entry in expired {
            log::info!("event=server_lapsed server={}", entry.id);
        }
    }
}
