use super::gateway_host::GatewayHost;
use super::store_contact::{FollowedKind, note_heard, note_lost};
use super::view_lag::LagReport;
use super::view_store::{list, list_or_hear, read_config, watch};
use crate::fleet::{DutyView, WatchDuty, stretched, watch_duty};
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
/// The same for the watcher of a failure domain whose callers need keys: after an outage they are refused
/// until it has read the configuration again. With the pause of a large domain that was 3 s.
const KEYED_PAUSE: Duration = Duration::from_millis(400);
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

/// Follows a kind while that is this host's duty.
async fn follow(host: &Arc<GatewayHost>, kind: FollowedKind) {
    let mut pause = FIRST_PAUSE;
    // Where the own watch goes on; nothing until it has begun.
    let mut watched = None;
    let mut refused_at = None;
    loop {
        if host.watch_duty(kind, refused_at) == WatchDuty::Hear {
            watched = None;
            tokio::time::sleep(DUTY_PERIOD).await;
            continue;
        }
        let from = watched.or_else(|| host.known_revision(kind));
        let asked_at = host.now();
        let step = match from {
            None => list_or_hear(host, kind).await,
            Some(_) if host.reads(kind) => {
                read_config(host).await.map(|next| FollowStep::Told { next, until: asked_at })
            }
            Some(after) => watch(host, kind, after).await,
        };
        match step {
            // The store said nothing to this host.
            Ok(FollowStep::Heard) => continue,
            Ok(FollowStep::Told { next, until }) => {
                watched = Some(next);
                host.note_view_complete(kind, until, next);
                if from.is_some_and(|after| next > after) {
                    tokio::time::sleep(WATCH_REST).await;
                }
            }
            // Whatever is known may lack changes.
            Ok(FollowStep::HistoryLost) => watched = list(host, kind).await.ok(),
            Err(error) => {
                note_lost(host, kind, &error);
                refused_at = Some(host.now());
                watched = None;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(host.longest_pause(kind));
                continue;
            }
        }
        pause = FIRST_PAUSE;
        refused_at = None;
        note_heard(host, kind);
    }
}

impl GatewayHost {
    /// Whether this host asks the store for a kind itself, or hears it from others.
    ///
    /// `refused_at` is the time of its own last call, if that failed.
    fn watch_duty(&self, kind: FollowedKind, refused_at: Option<TimePoint>) -> WatchDuty {
        let known = self.known_revision(kind).is_some();
        let now = self.now();
        let state = self.state();
        let domain = self.domain();
        watch_duty(&DutyView {
            uninformed_for: (!known).then(|| now.since(TimePoint::default())),
            elected: state.watcher(now, domain) == Some(self.incarnation),
            view_age: state.freshness(kind).age(now),
            behind_for: state.behind_for(now, kind),
            config_age: match kind {
                FollowedKind::Routes => {
                    state.longest_config_age().map(|_| state.config_age.age(now))
                }
                FollowedKind::Servers => None,
            },
            refused_for: refused_at.map(|at| now.since(at)),
            domain_hosts: state.members.owners(domain).count(),
            salt: self.incarnation.0,
        })
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
        stretched(LONGEST_PAUSE, self.state().members.owners(self.domain()).count())
    }
}

async fn expire_entries(host: &GatewayHost) {
    let mut ticker = tokio::time::interval(EXPIRE_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reports = FollowedKind::ALL.map(LagReport::new);
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
