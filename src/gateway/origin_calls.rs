//! Tells other hosts which software version began a stream, and finds the version for a stream that a caller takes up.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::origin_upkeep::other_members;
use super::peer_messages::GatewayDatagram;
use super::store_contact::FollowedKind;
use super::version_store::read_past_versions;
use crate::fleet::ServerEntry;
use crate::keys::{TimePoint, VersionKey};
use crate::membership::MemberUpdate;
use crate::stream_origins::{
    ORIGIN_HOLDERS, OriginReply, OriginRequest, OriginUpdate, RunVersion, StreamKey, UnknownOrigin,
    origin_holders, version_of_unknown,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after the deadline of a stream's answer within which its caller may take the stream up.
const TAKE_UP_TIME: Duration = Duration::from_secs(10);
/// Hosts that are asked for the origin of a stream at first: twice its holders, since members may have come or gone since
/// the holders were told.
const FIRST_ASKED: usize = 2 * ORIGIN_HOLDERS;
/// Hosts that are asked in all. Up to this number of hosts, every one is asked.
const MOST_ASKED: usize = 24;

/// A host that has heard nobody for this long does not know what others know. Each host hears others several times a
/// second.
const MAX_SILENCE: Duration = Duration::from_millis(1000);
/// Time that an answer of the store to one host takes to become part of the others' views.
const NEWS_DELAY: Duration = Duration::from_millis(1000);

impl CallContext {
    /// The software versions at which the request may run. A request that continues a stream may run only at the version
    /// that began the stream.
    ///
    /// # Errors
    /// If the stream's version is not known: it is not guessed.
    pub(super) async fn run_version(&self) -> Result<RunVersion, NotRunReason> {
        if !self.head.is_resumption {
            return Ok(RunVersion::Any);
        }
        let known = match self.continued_stream() {
            Some(stream) => self.host.find_origin(stream).await,
            None => None,
        };
        let (version, source) = match known {
            Some(version) => (Some(version), "told"),
            None => (self.proved_version().await, "proved"),
        };
        let (id, host) = (self.id(), &self.host);
        match version {
            Some(version) => {
                log::info!(
                    "event=stream_version_found request={id} version={:016x} source={source}",
                    version.0
                );
                host.metrics().add("stream_versions_found", 1);
                Ok(RunVersion::Only(version))
            }
            None => {
                host.metrics().add("stream_versions_unknown", 1);
                Err(NotRunReason::VersionUnknown)
            }
        }
    }

    /// Records that the run at `server` sent the first event of an answer, and tells the holders, before the event is
    /// relayed.
    pub(super) fn record_origin(&self, server: &ServerEntry) {
        if !self.route.is_retryable() {
            return;
        }
        let valid = self.time_left() + TAKE_UP_TIME;
        let valid_ms = u32::try_from(valid.as_millis()).unwrap_or(u32::MAX);
        let version = server.version_key();
        // An answer from the first event on may be named by its own attempt, even if it also continues a stream.
        let own = self.head.last_event.is_none().then(|| self.stream_of(self.id()));
        for stream in own.into_iter().chain(self.continued_stream()) {
            self.host.tell_origin(OriginUpdate { stream, version, valid_ms });
        }
    }

    fn continued_stream(&self) -> Option<StreamKey> {
        self.head.first_attempt.as_deref().map(|first| self.stream_of(first))
    }

    fn stream_of(&self, first_attempt: &str) -> StreamKey {
        StreamKey::of(self.service, self.contents, first_attempt)
    }

    /// The version of a stream that no host knows, if this host can prove it.
    async fn proved_version(&self) -> Option<VersionKey> {
        let host = &self.host;
        if !host.is_version_history_settled() && host.recent_versions(self.service).len() < 2 {
            read_past_versions(host).await;
        }
        let now = host.now();
        let recent = host.recent_versions(self.service);
        let state = host.state();
        let origin = UnknownOrigin {
            recent: &recent,
            is_only_service: self.route.targets.len() == 1 && state.target_history.is_settled(now),
            is_settled: state.version_history.is_settled(now),
            view_age: state.view_age(now, FollowedKind::Servers),
            is_common_outage: is_common_outage(now, &state),
        };
        log::info!(
            "event=stream_origin_unknown request={} versions={} settled={} view_age_ms={} \
             common_outage={}",
            self.id(),
            recent.len(),
            origin.is_settled,
            origin.view_age.as_millis(),
            origin.is_common_outage
        );
        version_of_unknown(&origin)
    }
}

/// Whether this host hears all failure domains and none of their hosts has had an answer of the store that is newer than
/// this host's view. Then none of them knows a server that this host does not know.
fn is_common_outage(now: TimePoint, state: &GatewayState) -> bool {
    let members = &state.members;
    let hears_domains = members.reachable(now).count() == members.living().count();
    let hears_hosts = match members.silent_for(now, |_| true) {
        Some(silent_for) => silent_for <= MAX_SILENCE,
        // A host without others, not one that has lost or not yet met them.
        None => members.records().next().is_none() && !members.is_alone(),
    };
    let view_age = state.view_age(now, FollowedKind::Servers);
    let knows_no_answer = |age: Duration| age.saturating_add(NEWS_DELAY) >= view_age;
    hears_domains && hears_hosts && state.fleet.store_age(now).is_some_and(knows_no_answer)
}

impl GatewayHost {
    /// Records a stream and tells its holders.
    fn tell_origin(&self, update: OriginUpdate) {
        let holders = self.origin_holders(update.stream);
        let now = self.now();
        self.state().stream_origins.record_own(now, update, &holders);
        let message = GatewayDatagram::Origins(vec![update]);
        for holder in holders.iter().take(ORIGIN_HOLDERS) {
            self.send(holder.address, &message);
        }
    }

    /// The other hosts that hold the origin of a stream, best first.
    fn origin_holders(&self, stream: StreamKey) -> Vec<MemberUpdate> {
        origin_holders(stream, other_members(&self.state(), self.incarnation).into_iter())
    }

    /// Records what another host stated of streams.
    pub(super) fn receive_origins(&self, updates: &[OriginUpdate]) {
        let now = self.now();
        let mut state = self.state();
        for update in updates {
            state.stream_origins.record_received(now, *update);
        }
    }

    /// Answers another host's question for the origin of a stream.
    pub(super) fn receive_origin_request(&self, from: SocketAddr, request: OriginRequest) {
        let now = self.now();
        let origin = self.state().stream_origins.find(now, request.stream);
        let reply = OriginReply { sequence: request.sequence, origin };
        self.send(from, &GatewayDatagram::OriginReply(reply));
    }

    /// The version that began a stream, as this host knows it or another one that it asks.
    async fn find_origin(&self, stream: StreamKey) -> Option<VersionKey> {
        let now = self.now();
        if let Some(origin) = self.state().stream_origins.find(now, stream) {
            return Some(origin.version);
        }
        let holders = self.origin_holders(stream);
        let (first, others) = holders.split_at(holders.len().min(FIRST_ASKED));
        if let Some(version) = self.ask_holders(stream, first).await {
            return Some(version);
        }
        let others = &others[..others.len().min(MOST_ASKED - FIRST_ASKED)];
        self.ask_holders(stream, others).await
    }

    /// Asks hosts at the same time; the first one that knows the stream decides.
    async fn ask_holders(&self, stream: StreamKey, holders: &[MemberUpdate]) -> Option<VersionKey> {
        let mut questions: FuturesUnordered<_> =
            holders.iter().map(|holder| self.ask_origin(stream, *holder)).collect();
        while let Some(reply) = questions.next().await {
            if let Some(origin) = reply.and_then(|reply| reply.origin) {
                let now = self.now();
                self.state().stream_origins.record_received(now, origin);
                return Some(origin.version);
            }
        }
        None
    }

    async fn ask_origin(&self, stream: StreamKey, holder: MemberUpdate) -> Option<OriginReply> {
        let sequence = self.next_serial.fetch_add(1, Ordering::Relaxed) as u32;
        let question = GatewayDatagram::OriginRequest(OriginRequest { sequence, stream });
        self.exchange_datagrams(&self.origin_replies, sequence, holder, &question).await
    }
}
