//! Ranks backend servers by what this host knows of them.

use super::call_context::CallContext;
use super::gateway_host::GatewayHost;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::NameKey;
use crate::placement::{RankingContext, RankingCriterion, ReadTimes, rank_servers};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use crate::stream_origins::{RunVersion, keep_established};
use std::sync::atomic::Ordering;

/// Criteria by which servers are filtered and ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServerCriteria {
    /// The required stage, if the service consists of model engines.
    pub stage: Option<ServerStage>,
    /// The measure by which servers are compared.
    pub criterion: RankingCriterion,
    /// The preferred failure domain.
    pub local_domain: NameKey,
    /// Penalty for servers in other failure domains, as a fraction of the load of a full server.
    pub remote_penalty: f64,
    /// Priority of the request: servers whose limit leaves no capacity for it at present are excluded.
    pub rank: CallRank,
    /// Whether the request may run more than once, so that it can try a server that failed.
    pub is_repeatable: bool,
    /// The software versions that may serve the request.
    pub version: RunVersion,
}

impl ServerCriteria {
    /// Whether a run is sought that begins a stream which may be taken up later.
    fn begins_resumable_stream(&self) -> bool {
        self.stage == Some(ServerStage::Decode)
            && self.is_repeatable
            && self.version == RunVersion::Any
    }
}

impl GatewayHost {
    /// Ready servers of a service that meet the criteria, from best to worst.
    pub(super) fn rank_ready_servers(
        &self,
        service: ServiceKey,
        criteria: &ServerCriteria,
    ) -> Vec<ServerEntry> {
        let now = self.now();
        let salt = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let warm = self.pool.warm_addresses();
        let features = &self.settings.features;
        let mut state = self.state();
        state.server_loads.expire(now);
        let weights = self.spread_weights(now, &state, service, criteria.criterion);
        // At an engine the first step is a hold or the reading of a prompt, after whose failure the request goes on.
        let may_try = criteria.is_repeatable || criteria.stage.is_some();
        let context = RankingContext {
            loads: &state.server_loads,
            health: &state.server_health,
            domains: &state.domain_breakers,
            stage_changes: &state.stage_changes,
            connected: &warm,
            relative_paces: features.memory_forecast.then(|| state.paces.relative_paces()),
            local_domain: criteria.local_domain,
            remote_penalty: criteria.remote_penalty,
            weights: weights.as_ref(),
            salt: salt ^ self.incarnation.0,
        };
        let in_stage =
            |server: &&ServerEntry| criteria.stage.is_none_or(|stage| server.stage == Some(stage));
        let pool = state.fleet.ready(service).filter(in_stage);
        let is_usable = |server: &ServerEntry| context.admits(now, server);
        let standings = self.server_standings(now, &state, pool, is_usable);
        let candidates = state
            .fleet
            .ready(service)
            .filter(in_stage)
            .filter(|server| criteria.version.admits(server))
            .filter(|server| state.send_control.is_open(now, server.key(), criteria.rank))
            .filter(|server| standings.admits(server.key(), may_try));
        let ranked = rank_servers(now, &context, criteria.criterion, candidates);
        let mut ranked: Vec<ServerEntry> = ranked.into_iter().cloned().collect();
        if criteria.begins_resumable_stream() {
            let history = &state.version_history;
            keep_established(&mut ranked, |server| {
                history.is_established(now, (service, server.version_key()))
            });
        }
        if !standings.is_empty() {
            standings.reorder(&mut ranked, criteria.is_repeatable, may_try);
            drop(state);
            self.metrics().add("rankings_with_suspects", 1);
        }
        ranked
    }

    /// The expected times of a prompt of `tokens` at a prefill server.
    pub(super) fn read_times(
        &self,
        service: ServiceKey,
        server: &ServerEntry,
        tokens: u32,
    ) -> ReadTimes {
        let state = self.state();
        let queue = state.server_loads.total(server.key()).prompt_tokens;
        let Some(meter) = state.work_meters.get(&service) else { return ReadTimes::default() };
        let (wait, read) = (meter.read_time(queue), meter.read_time(tokens));
        ReadTimes { wait, read, start: meter.start_time() }
    }

    /// Counts why the ready servers of a pool are not used for a request.
    fn count_passed_over(
        &self,
        service: ServiceKey,
        stage: Option<ServerStage>,
        rank: CallRank,
    ) -> PassedOver {
        let now = self.now();
        let state = self.state();
        let in_stage =
            |server: &&ServerEntry| stage.is_none_or(|stage| server.stage == Some(stage));
        let pool = || state.fleet.ready(service).filter(in_stage);
        let has_closed_breaker = |server: &ServerEntry| {
            state.server_health.get(&server.key()).is_none_or(|health| health.admits(now))
        };
        let is_usable = |server: &ServerEntry| {
            has_closed_breaker(server) && state.domain_breakers.admits(now, server.domain)
        };
        let standings = self.server_standings(now, &state, pool(), is_usable);
        let count = |is_passed_over: &dyn Fn(&ServerEntry) -> bool| {
            pool().filter(|server| is_passed_over(server)).count()
        };
        PassedOver {
            ready: pool().count(),
            own_breaker: count(&|server| !has_closed_breaker(server)),
            domain_breaker: count(&|server| !state.domain_breakers.admits(now, server.domain)),
            standing: count(&|server| !standings.admits(server.key(), true)),
            limit: count(&|server| !state.send_control.is_open(now, server.key(), rank)),
        }
    }
}

/// Number of ready servers of a pool, and how many of them each cause excludes; a server may have several.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PassedOver {
    ready: usize,
    own_breaker: usize,
    domain_breaker: usize,
    standing: usize,
    limit: usize,
}

impl CallContext {
    /// Logs why the request found no server: how many are ready, and what excludes them. `tried` servers were asked
    /// before.
    pub(super) fn log_no_server(&self, stage: Option<ServerStage>, tried: usize) {
        let passed_over = self.host.count_passed_over(self.service, stage, self.rank);
        log::info!(
            "event=no_usable_server request={} tried={tried} ready={} own_breaker={} domain_breaker={} \
             standing={} limit={}",
            self.id(),
            passed_over.ready,
            passed_over.own_breaker,
            passed_over.domain_breaker,
            passed_over.standing,
            passed_over.limit
        );
    }
}
