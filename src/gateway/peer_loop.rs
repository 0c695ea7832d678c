//! Talks to the other daemons: membership, each host's load, and views that are newer.

use super::gateway_host::GatewayHost;
use super::peer_messages::{GatewayDatagram, GatewayReply, GatewayRequest, HostNotice, LoadNews};
use crate::fleet::ServerStage;
use crate::keys::{ServerKey, mix_hash};
use crate::membership::{MemberState, MemberUpdate, TableOrder};
use crate::peers::{PeerHandler, open_datagram, seal_datagram};
use crate::routes::RouteNews;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;

const TICK: Duration = Duration::from_millis(50);
/// The longest datagram that is read; of a longer one the end is lost, and with it the proof of its sender.
const LONGEST_DATAGRAM: usize = 4096;
/// Changes of stage that one datagram tells, at 10 bytes each; the next ones are told in the next datagram.
const MOST_CHANGES_TOLD: usize = 96;
/// Servers whose loads one datagram tells, at up to 15 bytes each: of a host with work at more servers those that it
/// loads most.
const MOST_LOADS_TOLD: usize = 96;
const COMPARE_LIMIT: Duration = Duration::from_secs(2);
/// How often a host tells its load.
const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Hosts of the own failure domain told each time, beside those that may watch as this one may; in a domain of 30 each hears
/// every 1.5 s.
const LOAD_NEAR: usize = 4;
/// Hosts of other failure domains told each time; their bytes are priced.
const LOAD_ABROAD: usize = 2;
/// Unchanged loads are repeated only every so many periods.
const QUIET_REPEAT: u64 = 4;

/// Runs everything between daemons.
pub(super) async fn run_peers(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    tokio::join!(
        receive(Arc::clone(&host), Arc::clone(&socket)),
        tick_members(Arc::clone(&host)),
        tell_loads(host)
    );
}

async fn receive(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; LONGEST_DATAGRAM];
    loop {
        // An earlier datagram to a closed port may surface here as an error; it means nothing.
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match open_datagram(&host.settings.shared_key, &buffer[..length]) {
            Ok(GatewayDatagram::Probe(message)) => {
                host.hear_mark(message.view);
                let now = host.now();
                let orders = host.state().members.receive(now, &message);
                host.carry_out(orders);
            }
            Ok(GatewayDatagram::Load(news)) => host.hear_load(address, news),
            Ok(GatewayDatagram::Notice(notice)) => host.hear_notice(notice),
            Ok(GatewayDatagram::AgeQuestion(question)) => host.answer_age(address, question),
            Ok(GatewayDatagram::AgeAnswer(answer)) => host.hear_age(address, answer),
            Ok(GatewayDatagram::LimitAsk(from, ask)) => host.hear_limit_ask(address, from, &ask),
            Ok(GatewayDatagram::LimitAnswer(answer)) => {
                // Nobody waits for one that comes late; the next question tells what was used.
                host.limit_waits.end(answer.sequence, answer);
            }
            Ok(GatewayDatagram::LoanAsk(ask)) => host.hear_loan_ask(address, &ask),
            Ok(GatewayDatagram::LimitLoan(loan)) => host.hear_loan(&loan),
            Ok(GatewayDatagram::Crashes(report)) => host.hear_crashes(&report),
            Ok(GatewayDatagram::ServerLimits(news)) => host.hear_server_limits(&news),
            Ok(GatewayDatagram::SendAsk(from, ask)) => host.hear_send_ask(address, from, &ask),
            Ok(GatewayDatagram::SendReply(reply)) => host.send_waits.end(reply.sequence, reply),
            Ok(GatewayDatagram::LimitAnswered(answered)) => host.hear_answered(&answered),
            Ok(GatewayDatagram::RetryAsk(ask)) => host.hear_retry_ask(address, &ask),
            Ok(GatewayDatagram::RetryReply(reply)) => host.retry_waits.end(reply.sequence, reply),
            Err(error) => {
                log::warn!("event=datagram_refused peer={address} cause=\"{error}\"");
            }
        }
    }
}

async fn tick_members(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    join_peers(&host).await;
    loop {
        ticker.tick().await;
        let now = host.now();
        let orders = host.state().members.tick(now);
        host.carry_out(orders);
    }
}

/// Learns the members from the first seed that answers, and their view from one of the own failure
/// domain: it is 270 KB for 3,000 servers. Each host begins with another seed: hosts that start together
/// have the same few.
async fn join_peers(host: &Arc<GatewayHost>) {
    let mut seeds = host.settings.seeds.clone();
    let first = usize::try_from(host.incarnation.0).unwrap_or_default() % seeds.len().max(1);
    seeds.rotate_left(first);
    for seed in seeds {
        if seed != host.peers_address && compare(host, seed).await {
            host.fetch_first_view(seed);
            return;
        }
    }
}

async fn compare(host: &Arc<GatewayHost>, address: SocketAddr) -> bool {
    let request = {
        let now = host.now();
        let state = host.state();
        let (members, crashes) = (state.members.full_news(), state.crashes.whole_report(now));
        GatewayRequest::Sync { members, crashes, limits: state.sends.book.all() }
    };
    let reply = host.peers.call(address, &request, COMPARE_LIMIT).await;
    let Ok(GatewayReply::Members { members, crashes, limits }) = reply else {
        return false;
    };
    let now = host.now();
    let orders = host.state().members.merge_all(now, &members);
    host.carry_out(orders);
    host.hear_crashes(&crashes);
    host.hear_server_limits(&limits);
    true
}

async fn tell_loads(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(LOAD_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut round, mut told) = (0_u64, u64::MAX);
    loop {
        ticker.tick().await;
        round += 1;
        let changes = host.state().board.changes();
        if changes == told && !round.is_multiple_of(QUIET_REPEAT) {
            continue;
        }
        told = changes;
        host.tell_load(LOAD_NEAR, LOAD_ABROAD);
    }
}

impl GatewayHost {
    /// Carries out what the membership table wants done.
    pub(super) fn carry_out(self: &Arc<Self>, orders: Vec<TableOrder>) {
        for order in orders {
            match order {
                TableOrder::Send(address, message) => {
                    self.send(address, &GatewayDatagram::Probe(message));
                }
                TableOrder::FetchView(address) => self.fetch_view(address),
                TableOrder::Compare(address) => {
                    let host = Arc::clone(self);
                    tokio::spawn(async move { compare(&host, address).await });
                }
                TableOrder::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                }
            }
        }
    }

    pub(super) fn send(&self, address: SocketAddr, message: &GatewayDatagram) {
        match seal_datagram(&self.settings.shared_key, message) {
            Ok(bytes) if bytes.len() > LONGEST_DATAGRAM => {
                log::error!("event=datagram_too_long peer={address} bytes={}", bytes.len());
            }
            Ok(bytes) => {
                let (sent, sent_bytes) = message.counters();
                let mut metrics = self.metrics();
                metrics.add("gossip_sent_bytes", bytes.len() as u64);
                metrics.add(sent, 1);
                metrics.add(sent_bytes, bytes.len() as u64);
                drop(metrics);
                // A full socket buffer loses a datagram as the network may; each is repeated.
                drop(self.socket.try_send_to(&bytes, address));
            }
            Err(error) => log::warn!("event=datagram_unsendable cause=\"{error}\""),
        }
    }

    fn hear_load(self: &Arc<Self>, from_address: SocketAddr, news: LoadNews) {
        let now = self.now();
        self.hear_mark(news.view);
        self.hear_ages(news.view, news.ages);
        let heard = Duration::from_millis(news.store_age_ms.into());
        let from = news.notice.incarnation;
        {
            let mut state = self.state();
            state.board.hear(now, from, news.version, news.loads.into_iter().collect());
            state.fleet.note_store_heard(now, heard);
            for (service, sums) in news.work {
                state.heard_work.insert((from, service), (now, sums));
            }
        }
        if self.state().view_mark().is_behind(news.view) {
            self.fetch_view(from_address);
        }
        self.hear_notice(news.notice);
    }

    fn hear_notice(&self, notice: HostNotice) {
        let now = self.now();
        let mut state = self.state();
        state.refused.note(now, notice.incarnation, notice.store_refused);
        state.members.note_heard(now, notice.incarnation);
        for (key, to) in notice.changing {
            state.changes.note_heard(now, key, to);
        }
    }

    /// Tells all hosts what they must not wait for: that a server changes its stage, or that the
    /// store refuses this host.
    pub fn tell_everyone(&self) {
        let serial = self.load_serial.fetch_add(1, Ordering::Relaxed);
        let targets = self.load_targets(serial, usize::MAX, usize::MAX);
        for notice in self.own_notices() {
            let notice = GatewayDatagram::Notice(notice);
            for target in &targets {
                self.send(*target, &notice);
            }
        }
    }

    fn tell_load(&self, most_near: usize, most_abroad: usize) {
        let serial = self.load_serial.fetch_add(1, Ordering::Relaxed);
        let news = GatewayDatagram::Load(self.own_load(serial));
        let mut targets = self.load_targets(serial, most_near, most_abroad);
        targets.extend(self.state().fellow_watchers());
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
        let store_refused = state.refused.is_refused(now, self.incarnation);
        let incarnation = self.incarnation;
        let notice =
            |changing: &[_]| HostNotice { incarnation, store_refused, changing: changing.to_vec() };
        let changing: Vec<(ServerKey, ServerStage)> = state.changes.ordered().collect();
        if changing.is_empty() {
            return vec![notice(&[])];
        }
        changing.chunks(MOST_CHANGES_TOLD).map(notice).collect()
    }

    /// The news number `version` of this host's load, with any one part of its changes of stage: parts that followed each
    /// other by a number that other news count on as well could leave one out for ever.
    fn own_load(&self, version: u64) -> LoadNews {
        let mut notices = self.own_notices();
        let place = rand::random_range(0..notices.len());
        let notice = notices.swap_remove(place);
        let now = self.now();
        let state = self.state();
        LoadNews {
            notice,
            version,
            store_age_ms: u32::try_from(state.fleet.store_age(now).as_millis()).unwrap_or(u32::MAX),
            view: state.view_mark(),
            ages: state.view_ages(now),
            work: state.work.iter().map(|(key, meter)| (*key, meter.sums(now))).collect(),
            loads: state.board.own_heaviest(MOST_LOADS_TOLD),
        }
    }

    /// Some hosts of the own failure domain and fewer of others, other ones each round.
    pub(super) fn load_targets(
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

impl PeerHandler for GatewayHost {
    type Request = GatewayRequest;
    type Reply = GatewayReply;

    async fn handle(self: Arc<Self>, request: GatewayRequest) -> GatewayReply {
        match request {
            GatewayRequest::Sync { members, crashes, limits } => {
                let now = self.now();
                self.hear_crashes(&crashes);
                self.hear_server_limits(&limits);
                let mut state = self.state();
                let orders = state.members.merge_all(now, &members);
                let (members, crashes) =
                    (state.members.full_news(), state.crashes.whole_report(now));
                let limits = state.sends.book.all();
                drop(state);
                self.carry_out(orders);
                GatewayReply::Members { members, crashes, limits }
            }
            GatewayRequest::View { routes_version, known, fleet_revision, age } => {
                let age = self.own_age(age);
                let now = self.now();
                let state = self.state();
                let routes = (state.routes.version() > routes_version)
                    .then(|| RouteNews::of(&state.routes, state.routes_revision, known.as_ref()));
                let fleet = (state.fleet.revision() > fleet_revision)
                    .then(|| state.fleet.news_since(now, fleet_revision));
                GatewayReply::View { routes, fleet, age }
            }
        }
    }
}
