//! Forecasts the tokens that a hold at a decode server must name.

use super::call_context::CallContext;
use super::decode_reservation::needed_tokens;
use crate::fleet::ServerStage;
use crate::keys::{NameKey, ServerKey};
use crate::membership::MemberState;
use crate::memory_forecast::{AnswerSize, EngineMemory, GrowthForecast, HoldNeed, RunCount};
use crate::platform::TokenCounts;
use crate::routes::EngineSpec;

/// What the holds of one search are forecast from.
#[derive(Debug)]
pub(super) struct HoldForecast {
    /// The need without a forecast.
    fixed: HoldNeed,
    /// `None` if the feature is off.
    growth: Option<GrowthForecast>,
    engine: EngineMemory,
    /// Memory with which the run starts.
    start: u32,
    /// Tokens that it is expected to generate.
    output: u32,
    /// The known runs, of which those at a server are added for each server.
    count: RunCount,
}

impl HoldForecast {
    /// The forecast for a run that continues after the event `after`.
    pub fn new(context: &CallContext, engine: &EngineSpec, after: Option<u64>) -> Self {
        let fixed = HoldNeed { need: needed_tokens(context, engine, after), headroom: 0, runs: 0 };
        let engine_memory = EngineMemory { tokens: engine.memory_tokens, slots: engine.slots };
        let (size, reached) = (answer_size(&context.head.tokens), generated_tokens(engine, after));
        let start = context.head.tokens.prompt.saturating_add(reached);
        let mut forecast = Self {
            fixed,
            growth: None,
            engine: engine_memory,
            start,
            output: 0,
            count: RunCount { known: 0, mean_known: 0.0, known_hosts: 0, hosts: 0 },
        };
        if !context.host.settings.features.memory_forecast {
            return forecast;
        }
        let state = context.host.state();
        let route = NameKey::of(&context.route.name);
        forecast.output = state.output_forecast.remaining(route, size, reached);
        forecast.growth = Some(state.output_forecast.growth(context.service, start, size));
        let (mut servers, mut runs) = (0_u32, 0_u32);
        for server in state.fleet.ready_in_stage(context.service, ServerStage::Decode) {
            servers += 1;
            runs = runs.saturating_add(state.server_loads.total(server.key()).requests);
        }
        let members = state.members.records().map(|record| record.update);
        forecast.count = RunCount {
            known: 0,
            mean_known: f64::from(runs) / f64::from(servers.max(1)),
            known_hosts: state.server_loads.known_hosts(),
            hosts: members.filter(|member| member.state != MemberState::Dead).count(),
        };
        forecast
    }

    /// The tokens that a hold at `server` must name.
    pub fn need(&self, context: &CallContext, server: ServerKey) -> HoldNeed {
        let Some(growth) = &self.growth else {
            return self.fixed;
        };
        let known = context.host.state().server_loads.total(server).requests;
        let count = RunCount { known, ..self.count };
        HoldNeed::new(growth, self.engine, self.start, self.output, count)
    }

    /// Counts a hold that is requested, and its headroom.
    pub fn count_hold(&self, context: &CallContext, need: HoldNeed) {
        if self.growth.is_some() {
            let mut metrics = context.host.metrics();
            metrics.add("forecast_holds", 1);
            metrics.add("forecast_headroom_tokens", need.headroom.into());
        }
    }

    /// The need without a forecast.
    pub fn fixed(&self) -> HoldNeed {
        self.fixed
    }

    /// Fields of a log line about a hold that was refused; empty if the feature is off.
    pub fn log_fields(&self, need: HoldNeed) -> String {
        match self.growth {
            Some(_) => {
                let HoldNeed { need, headroom, runs } = need;
                format!(" need={need} headroom={headroom} runs={runs}")
            }
            None => String::new(),
        }
    }
}

/// What the caller states about the length of its answer.
pub(super) fn answer_size(tokens: &TokenCounts) -> AnswerSize {
    AnswerSize { estimate: tokens.output_hint, max: tokens.max_output }
}

/// Tokens that were generated up to the event `after`.
pub(super) fn generated_tokens(engine: &EngineSpec, after: Option<u64>) -> u32 {
    after.map_or(0, |event| {
        u32::try_from(event + 1).unwrap_or(u32::MAX).saturating_mul(engine.tokens_per_event)
    })
}
