//! Sends this host's load to other hosts periodically, and urgent notices to all of them immediately.

use super::gateway_host::GatewayHost;
use super::peer_messages::{GatewayDatagram, HostNotice, LoadUpdate};
use super::stated_age::StatedAge;
use crate::fleet::ServerStage;
use crate::keys::{ServerKey, mix_hash};
use crate::membership::{MemberState, MemberUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Most stage changes in one datagram, at 10 bytes each; further ones go into the next datagram.
const MAX_CHANGES_SENT: usize = 96;
/// Most servers whose loads go into one datagram, at up to 15 bytes each; a host with work at more servers sends those
/// that it loads most.
const MAX_LOADS_SENT: usize = 96;
/// How often a host sends its load.
const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Hosts of the same failure domain in each round, besides the other watcher candidates; in a domain of 30, each host
/// receives the load of every other one about every 1.5 s.
const LOCAL_TARGETS: usize = 4;
/// Hosts of other failure domains in each round: few, since links between domains are shared with callers and may be cut.
const REMOTE_TARGETS: usize = 2;
/// Periods after which an unchanged load is sent again.
const UNCHANGED_PERIODS: u64 = 4;

/// Sends the load of this host periodically.
pub(super) async fn run_load_updates(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(LOAD_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut round, mut sent_changes) = (0_u64, u64::MAX);
    loop {
        ticker.tick().await;
        round += 1;
        let changes = host.state().server_loads.change_count();
        if changes == sent_changes && !round.is_multiple_of(UNCHANGED_PERIODS) {
            continue;
        }
        sent_changes = changes;
        host.send_load_update(LOCAL_TARGETS, REMOTE_TARGETS);
    }
}

impl GatewayHost {
    /// Applies the load of another host.
    pub(super) fn apply_load_update(self: &Arc<Self>, address: SocketAddr, update: LoadUpdate) {
        let now = self.now();
        self.apply_view_mark(update.view);
        self.apply_view_ages(update.view, update.ages);
        let sender = update.notice.incarnation;
        {
            let mut state = self.state();
            state.server_loads.apply_update(
                now,
                sender,
                update.version,
                update.loads.into_iter().collect(),
            );
            let domain = state.members.record(sender).map(|record| record.update.domain);
            let is_local = domain.is_none_or(|domain| domain == self.domain());
            state.fleet.record_store_statement(now, update.store_age.known(), is_local);
            for (service, sums) in update.work {
                state.peer_work.insert((sender, service), (now, sums));
            }
        }
        if self.state().view_mark().is_behind(update.view) {
            self.fetch_view(address);
        }
        self.apply_notice(update.notice);
    }

    /// Applies an urgent notice from another host.
    pub(super) fn apply_notice(&self, notice: HostNotice) {
        let now = self.now();
        let mut state = self.state();
        state.refused_hosts.record(now, notice.incarnation, notice.store_refused);
        state.members.record_received(now, notice.incarnation);
        for (key, to) in notice.changing {
            state.stage_changes.record_announcement(now, key, to);
        }
    }

    /// Sends all hosts what they must learn immediately: that a server changes its stage, or that the
    /// store refuses this host.
    pub fn broadcast_notices(&self) {
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let targets = self.gossip_targets(round, usize::MAX, usize::MAX);
        for notice in self.own_notices() {
            let notice = GatewayDatagram::Notice(notice);
            for target in &targets {
                self.send(*target, &notice);
            }
        }
    }

    fn send_load_update(&self, max_local: usize, max_remote: usize) {
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let update = GatewayDatagram::Load(self.own_load(round));
        let mut targets = self.gossip_targets(round, max_local, max_remote);
        targets.extend(self.state().watcher_candidates());
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.send(target, &update);
        }
    }

    /// This host's urgent notices, split so that each fits into a datagram; at least one.
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
        changing.chunks(MAX_CHANGES_SENT).map(notice).collect()
    }

    /// The update number `version` of this host's load, with a random one of its notices. The version can't select the
    /// notice: other kinds of messages advance the same counter, and one of the notices might never be selected.
    fn own_load(&self, version: u64) -> LoadUpdate {
        let mut notices = self.own_notices();
        let index = rand::random_range(0..notices.len());
        let notice = notices.swap_remove(index);
        let now = self.now();
        let state = self.state();
        LoadUpdate {
            notice,
            version,
            store_age: StatedAge::from(state.fleet.store_age(now)),
            view: state.view_mark(),
            ages: state.view_ages(now),
            work: state.work_meters.iter().map(|(key, meter)| (*key, meter.sums(now))).collect(),
            loads: state.server_loads.heaviest_own(MAX_LOADS_SENT),
        }
    }

    /// Some hosts of the same failure domain and some of the others; a different selection in each round.
    pub(super) fn gossip_targets(
        &self,
        round: u64,
        max_local: usize,
        max_remote: usize,
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
        let (local, remote): (Vec<_>, Vec<_>) =
            living.into_iter().partition(|update| update.domain == self.domain());
        let local = local.into_iter().take(max_local);
        local.chain(remote.into_iter().take(max_remote)).map(|update| update.address).collect()
    }
}
