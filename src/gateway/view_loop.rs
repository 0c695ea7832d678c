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

/// Pause after a watch that brought changes. Each watch is a call of the store and ends with the first
/// change: while servers start or change their stage by dozens, one call brings many. Changes have to
/// be in force within 2 s.
const WATCH_REST: Duration = Duration::from_millis(200);
/// First pause after the store did not answer; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// A watcher asks again after this when it hears that the store has answered others: the pauses of a domain of a hundred
/// hosts are longer than a change may take.
const HEARD_PAUSE: Duration = Duration::from_millis(400);
/// The same for the watcher of a failure domain whose callers need keys: after an outage they are refused
/// until it has read the configuration again. With the pause of a large domain that was 3 s.
const KEYED_PAUSE: Duration = Duration::from_millis(400);
/// A view that last lacked nothing longer ago than this may lack many versions of the configuration. A watch is told each of
/// them whole, and of hundreds of hosts that wake together each would be.
const READ_AGE: Duration = Duration::from_millis(2000);
/// How often a host that does not watch looks whether it should.
const DUTY_PERIOD: Duration = Duration::from_millis(100);
/// How often entries that lapsed are looked through.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Follows the configuration and the servers in the store, and lets lapsed entries go.
pub(super) async fn run_view(host: Arc<GatewayHost>) {
    tokio::join!(
        follow(&host, FollowedKind::Routes),
        follow(&host, FollowedKind::Servers),
        expire_entries(&host)
    );
}

/// What one question to the store came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowStep {
    /// The view holds all that the store held at `until`; `next` is the revision to go on from.
    Told { next: u64, until: TimePoint },
    /// A neighbour was faster.
    Heard,
    /// The store no longer knows what came after the revision asked for.
    HistoryLost,
}

/// How the store is asked next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextQuery {
    /// What changes from now on?
    Wait,
    /// What has changed?
    Now,
    /// What is there?
    Whole,
}

impl NextQuery {
    /// The first question of a host whose view last lacked nothing so long ago.
    fn first(view_age: Duration) -> Self {
        if view_age > READ_AGE { Self::Now } else { Self::Wait }
    }

    /// The question after one that came to nothing: never the same one for ever, since an answer may be too long to
    /// arrive.
    fn after_failure(self, error: &Error) -> Self {
        match self {
            Self::Now if matches!(error, Error::Timeout) => Self::Whole,
            Self::Wait | Self::Now | Self::Whole => Self::Now,
        }
    }
}

/// What a host's own questions about a kind came to.
#[derive(Debug, Clone, Copy, Default)]
struct OwnStoreContact {
    /// When the last one failed, if that was the last one.
    refused_at: Option<TimePoint>,
    /// When the last one was answered.
    answered_at: Option<TimePoint>,
    /// Since when it asks, if it began to because it doubted its view.
    doubts_since: Option<TimePoint>,
}

/// Follows a kind while that is this host's duty.
async fn follow(host: &Arc<GatewayHost>, kind: FollowedKind) {
    let mut pause = FIRST_PAUSE;
    let mut question = NextQuery::Wait;
    // Where the own watch goes on; nothing until it has begun.
    let mut watched = None;
    let mut contact = OwnStoreContact::default();
    let mut report = RoleLog::new(kind);
    loop {
        let view = host.duty_view(kind, contact);
        let duty = watcher_role(&view);
        report.note(duty, &view);
        if duty == WatcherRole::Follow {
            watched = None;
            question = NextQuery::Wait;
            contact.doubts_since = None;
            tokio::time::sleep(DUTY_PERIOD).await;
            continue;
        }
        if duty == WatcherRole::Poll {
            contact.doubts_since.get_or_insert(host.now());
        }
        if watched.is_none() && question == NextQuery::Wait {
            question = NextQuery::first(view.view_age);
        }
        let from = watched.or_else(|| host.known_revision(kind));
        let step = match (from, question) {
            (None, _) => list_unless_received(host, kind).await,
            (Some(_), NextQuery::Whole) => list(host, kind).await,
            (Some(after), NextQuery::Now) => poll_changes(host, kind, after).await,
            (Some(after), NextQuery::Wait) if host.reads(kind) => {
                read_periodically(host, after).await
            }
            (Some(after), NextQuery::Wait) => watch(host, kind, after).await,
        };
        match step {
            // The store said nothing to this host.
            Ok(FollowStep::Heard) => continue,
            Ok(FollowStep::Told { next, until }) => {
                watched = Some(next);
                question = NextQuery::Wait;
                host.note_view_complete(kind, until, next);
                if from.is_some_and(|after| next > after) {
                    tokio::time::sleep(WATCH_REST).await;
                }
            }
            // Whatever is known may lack changes.
            Ok(FollowStep::HistoryLost) => {
                question = NextQuery::Whole;
                continue;
            }
            // Only this connection may have fallen silent.
            Err(Error::Timeout) if question == NextQuery::Wait && from.is_some() => {
                question = NextQuery::Now;
                continue;
            }
            Err(error) => {
                record_store_failure(host, kind, &error);
                contact.refused_at = Some(host.now());
                watched = None;
                question = question.after_failure(&error);
                host.pause_until_store_answers(pause).await;
                let longest =
                    if view.lacks_updates() { LONGEST_PAUSE } else { host.longest_pause(kind) };
                pause = (pause * 2).min(longest);
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
    /// What decides whether this host asks the store for a kind itself, or hears it from others.
    fn duty_view(&self, kind: FollowedKind, contact: OwnStoreContact) -> RoleInput {
        let known = self.known_revision(kind).is_some();
        let now = self.now();
        let state = self.state();
        let domain = self.domain();
        let watcher = state.watcher(now, domain);
        let is_vacant = watcher.is_none_or(|host| state.refused_hosts.is_refused(now, host));
        let heard_at = watcher.and_then(|host| state.members.record(host)?.received_at);
        let is_substitute = contact.doubts_since.is_some_and(|since| {
            heard_at.is_none_or(|at| at < since) && state.has_newest_answer(kind)
        });
        RoleInput {
            without_view_for: (!known).then(|| now.since(TimePoint::default())),
            is_alone: state.members.is_alone(),
            handover_idle: lock(&self.view_fetches).last_progress_at().map(|at| now.since(at)),
            elected: watcher == Some(self.incarnation),
            store_answered_for: contact
                .answered_at
                .filter(|_| is_vacant || is_substitute)
                .map(|at| now.since(at)),
            view_age: state.view_age(now, kind),
            behind_for: state.behind_for(now, kind),
            silent_for: state.silent_for(now),
            config_age: match kind {
                FollowedKind::Routes => state.max_config_age().map(|_| state.config_age.age(now)),
                FollowedKind::Servers => None,
            },
            // An answer to any other question since tells more.
            store_refused_for: contact
                .refused_at
                .filter(|at| *at > state.store_answered_at)
                .map(|at| now.since(at)),
            domain_hosts: state.members.owners(domain).count(),
            salt: self.incarnation.0,
        }
    }

    /// Waits after a call that failed; a watcher no longer than until the store has answered somebody else.
    async fn pause_until_store_answers(&self, pause: Duration) {
        let began = self.now();
        tokio::time::sleep(pause.min(HEARD_PAUSE)).await;
        while self.now().since(began) < pause {
            let now = self.now();
            let is_back = self.state().fleet.store_age(now) < now.since(began);
            if is_back && self.is_watcher() {
                return;
            }
            tokio::time::sleep(DUTY_PERIOD).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let now = self.now();
        self.state().watcher(now, self.domain()) == Some(self.incarnation)
    }

    /// Longest pause between calls of the store that fail.
    fn longest_pause(&self, kind: FollowedKind) -> Duration {
        if self.reads(kind) && self.is_watcher() {
            return KEYED_PAUSE;
        }
        scaled_interval(LONGEST_PAUSE, self.state().members.owners(self.domain()).count())
    }
}

async fn expire_entries(host: &GatewayHost) {
    let mut ticker = tokio::time::interval(EXPIRE_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reports = FollowedKind::ALL.map(LagLog::new);
    loop {
        ticker.tick().await;
        let now = host.now();
        for report in &mut reports {
            report.look(now, host);
        }
        let lapsed = {
            let mut state = host.state();
            state.expire(now);
            state.fleet.expire(now)
        };
        for entry in lapsed {
            log::info!("event=server_lapsed server={}", entry.id);
        }
    }
}
