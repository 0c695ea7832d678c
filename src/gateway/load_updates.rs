//! Tells the other daemons this host's load, and at once what they must not wait for.

use super::gateway_host::GatewayHost;
use super::peer_messages::{GatewayDatagram, HostNotice, LoadUpdate};
use crate::fleet::ServerStage;
use crate::keys::{ServerKey, mix_hash};
use crate::membership::{MemberState, MemberUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Changes of stage that one datagram tells, at 10 bytes each; the next ones are told in the next datagram.
const MOST_CHANGES_TOLD: usize = 96;
/// Servers whose loads one datagram tells, at up to 15 bytes each: of a host with work at more servers those that it
/// loads most.
const MOST_LOADS_TOLD: usize = 96;
/// How often a host tells its load.
const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Hosts of the own failure domain told each time, beside those that may watch as this one may; in a domain of 30 each hears
/// every 1.5 s.
const LOAD_NEAR: usize = 4;
/// Hosts of other failure domains told each time; their bytes are priced.
const LOAD_ABROAD: usize = 2;
/// Unchanged loads are repeated only every so many periods.
const QUIET_REPEAT: u64 = 4;

/// Tells the load of this host in turn.
pub(super) async fn run_load_updates(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(LOAD_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut round, mut told) = (0_u64, u64::MAX);
    loop {
        ticker.tick().await;
        round += 1;
        let changes = host.state().server_loads.change_count();
        if changes == told && !round.is_multiple_of(QUIET_REPEAT) {
            continue;
        }
        told = changes;
        host.send_load_update(LOAD_NEAR, LOAD_ABROAD);
    }
}

impl GatewayHost {
    /// Takes over another host's load.
    pub(super) fn apply_load_update(self: &Arc<Self>, from_address: SocketAddr, news: LoadUpdate) {
        let now = self.now();
        self.apply_view_mark(news.view);
        self.apply_view_ages(news.view, news.ages);
        let heard = Duration::from_millis(news.store_age_ms.into());
        let from = news.notice.incarnation;
        {
            let mut state = self.state();
            state.server_loads.apply_update(
                now,
                from,
                news.version,
                news.loads.into_iter().collect(),
            );
            state.fleet.record_store_answer(now, heard);
            for (service, sums) in news.work {
                state.peer_work.insert((from, service), (now, sums));
            }
        }
        if self.state().view_mark().is_behind(news.view) {
            self.fetch_view(from_address);
        }
        self.apply_notice(news.notice);
    }

    /// Takes over what another host tells at once.
    pub(super) fn apply_notice(&self, notice: HostNotice) {
        let now = self.now();
        let mut state = self.state();
        state.refused_hosts.record(now, notice.incarnation, notice.store_refused);
        state.members.record_received(now, notice.incarnation);
        for (key, to) in notice.changing {
            state.stage_changes.record_announcement(now, key, to);
        }
    }

    /// Tells all hosts what they must not wait for: that a server changes its stage, or that the
    /// store refuses this host.
    pub fn broadcast_notices(&self) {
        let serial = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let targets = self.gossip_targets(serial, usize::MAX, usize::MAX);
        for notice in self.own_notices() {
            let notice = GatewayDatagram::Notice(notice);
            for target in &targets {
                self.send(*target, &notice);
            }
        }
    }

    fn send_load_update(&self, most_near: usize, most_abroad: usize) {
        let serial = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let news = GatewayDatagram::Load(self.own_load(serial));
        let mut targets = self.gossip_targets(serial, most_near, most_abroad);
        targets.extend(self.state().watcher_candidates());
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.send(target, &news);
        }
    }

    /// What this host tells at once, in parts that fit into a datagram each; one at least.
    fn own_notices(&self) -> Vec<HostNotice> {
        let now = self.now();
        let state = self.state();
        let store_refused = state.refused_hosts.is_refused(now, self.incarnation);
        let incarnation = self.incarnation;
        let notice =
            |changing: &[_]| HostNotice { incarnation, store_refused, changing: changing.to_vec() };
        let changing: Vec<(ServerKey, ServerStage)> = state.stage_changes.ordered().collect();
        if changing.is_empty() {
            return vec![notice(&[])];
        }
        changing.chunks(MOST_CHANGES_TOLD).map(notice).collect()
    }

    /// The news number `version` of this host's load, with any one part of its changes of stage: parts that followed each
    /// other by a number that other news count on as well could leave one out for ever.
    fn own_load(&self, version: u64) -> LoadUpdate {
        let mut notices = self.own_notices();
        let place = rand::random_range(0..notices.len());
        let notice = notices.swap_remove(place);
        let now = self.now();
        let state = self.state();
        LoadUpdate {
            notice,
            version,
            store_age_ms: u32::try_from(state.fleet.store_age(now).as_millis()).unwrap_or(u32::MAX),
            view: state.view_mark(),
            ages: state.view_ages(now),
            work: state.work_meters.iter().map(|(key, meter)| (*key, meter.sums(now))).collect(),
            loads: state.server_loads.heaviest_own(MOST_LOADS_TOLD),
        }
    }

    /// Some hosts of the own failure domain and fewer of others, other ones each round.
    pub(super) fn gossip_targets(
        &self,
        round: u64,
        most_near: usize,
        most_abroad: usize,
    ) -> Vec<SocketAddr> {
        let salt = mix_hash(self.incarnation.0, round);
        let state = self.state();
        let mut living: Vec<MemberUpdate> = state
            .members
            .records()
            .map(|record| record.update)
            .filter(|update| update.state != MemberState::Dead)
            .collect();
        living.sort_by_key(|update| mix_hash(salt, update.incarnation.0));
        let (near, abroad): (Vec<_>, Vec<_>) =
            living.into_iter().partition(|update| update.domain == self.domain());
        let near = near.into_iter().take(most_near);
        near.chain(abroad.into_iter().take(most_abroad)).map(|update| update.address).collect()
    }
}
