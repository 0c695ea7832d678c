//! Goes on with a request whose run is silent: the run is kept, and another one is opened beside it where that is of use.
//! Whichever sends the next event first goes on, and the connection of the other one is closed.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::pending_run::OpenRun;
use super::run_send::send_at_best;
use super::run_start::{FIRST_EVENT_TIMEOUT, FURTHER_RUN_SILENT, OpenFailure, RunRecord};
use crate::fleet::{ServerEntry, ServerStage};
use crate::in_flight::RequestWait;
use crate::keys::{ServerKey, TimePoint};
use crate::placement::ServerEvent;
use crate::routes::EngineSpec;
use crate::silent_runs::{FurtherStep, HearingTable, PoolStanding, SILENT_AFTER, WaitReason};
use std::pin::pin;
use std::time::Duration;

/// A further run whose first event has not arrived this long after it was sent is closed if the route allows another one;
/// the silent run is kept. The last run that a route allows is not closed for its silence.
const FURTHER_RUN_TIMEOUT: Duration = FIRST_EVENT_TIMEOUT;
/// Pause before the question is asked again while most of the pool is silent; it costs neither a call nor a retry.
const POOL_PAUSE: Duration = Duration::from_millis(60);
/// Pause after the first opening that was refused; it doubles with each further one, since each asks servers or the owner
/// of the retry pool.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest of these pauses. Callers are promised to wait for a gap of two seconds at least.
const MAX_PAUSE: Duration = Duration::from_millis(480);

/// A run whose server is silent.
#[derive(Debug, Clone, Copy)]
pub(super) struct SilentRun<'a> {
    pub server: &'a ServerEntry,
    /// When its last event arrived, or when it was sent.
    pub since: TimePoint,
    /// How many events of the stream were relayed before.
    pub events: u64,
}

/// What went on.
pub(super) enum RaceEnd<T> {
    /// The silent run: its next event, or how it ended.
    Kept(T),
    /// The further run.
    Further(Box<OpenRun>),
}

/// Why a silent run is kept without a further run beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeptCause {
    /// The request was sent to as many servers as its route allows.
    Attempts,
    /// Most of the pool is silent, or was so a moment ago.
    Pool(WaitReason),
    /// The retry budget is spent.
    Budget,
    /// The further run was not opened for another reason.
    NotOpened(&'static str),
}

impl KeptCause {
    /// The name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Pool(WaitReason::PoolSilent) => "pool_silent",
            Self::Pool(WaitReason::PoolReturned) => "pool_returned",
            Self::Budget => "budget",
            Self::NotOpened(cause) => cause,
        }
    }

    fn of(failure: &OpenFailure) -> Self {
        match failure {
            OpenFailure::NotRun(NotRunReason::RetryBudget) => Self::Budget,
            OpenFailure::NotRun(reason) => Self::NotOpened(reason.name()),
            OpenFailure::Rejected(_) => Self::NotOpened("turned_away"),
            OpenFailure::Failed(_) => Self::NotOpened("failed"),
            OpenFailure::Unknown(cause) => Self::NotOpened(cause),
        }
    }
}

/// Waits for the next event of a silent run, `kept`, and opens a further run beside it where that is of use. Ends only when
/// one of the two goes on or the silent one is lost; callers that leave and the deadline are its caller's matter.
pub(super) async fn run_beside<T: KeptRun>(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    silent: SilentRun<'_>,
    runs: &mut RunRecord,
    kept: impl Future<Output = T>,
) -> RaceEnd<T> {
    context.wait_at(RequestWait::SilentServer, silent.server);
    silent.log_silent(context);
    let end = race(context, engine, after, silent, runs, kept).await;
    runs.silent.clear();
    match &end {
        RaceEnd::Kept(next) => {
            let is_event = next.is_event();
            if is_event {
                // Its silence is no reason any more to avoid it, here or at other hosts.
                context.host.record_server_event(silent.server, ServerEvent::Served);
            }
            silent.log_went_on(context, is_event);
        }
        RaceEnd::Further(run) => silent.log_overtaken(context, &run.server.id),
    }
    end
}

/// What a kept run brings.
pub(super) trait KeptRun {
    /// Whether it went on.
    fn is_event(&self) -> bool;
}

impl<T, E> KeptRun for Result<T, E> {
    fn is_event(&self) -> bool {
        self.is_ok()
    }
}

async fn race<T: KeptRun>(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    silent: SilentRun<'_>,
    runs: &mut RunRecord,
    kept: impl Future<Output = T>,
) -> RaceEnd<T> {
    let mut kept = pin!(kept);
    let mut told = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let cause = match next_step(context, silent, runs) {
            Ok(()) => {
                let opening = open_further(context, engine, after, silent, runs);
                let mut opening = pin!(opening);
                let opened = tokio::select! {
                    biased;
                    next = &mut kept => return after_kept(next, opening).await,
                    opened = &mut opening => opened,
                };
                match opened {
                    Ok(run) => return RaceEnd::Further(Box::new(run)),
                    Err(failure) => KeptCause::of(&failure),
                }
            }
            Err(cause) => cause,
        };
        if told != Some(cause) {
            silent.log_kept(context, cause);
            told = Some(cause);
        }
        let wait = match cause {
            KeptCause::Attempts => return RaceEnd::Kept(kept.await),
            KeptCause::Pool(_) => POOL_PAUSE,
            KeptCause::Budget | KeptCause::NotOpened(_) => {
                let wait = pause;
                pause = (pause * 2).min(MAX_PAUSE);
                wait
            }
        };
        tokio::select! {
            biased;
            next = &mut kept => return RaceEnd::Kept(next),
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// Ends a race in which the silent run came first. If it is lost, the further run that is being opened replaces it.
async fn after_kept<T: KeptRun>(
    next: T,
    opening: impl Future<Output = Result<OpenRun, OpenFailure>>,
) -> RaceEnd<T> {
    if next.is_event() {
        return RaceEnd::Kept(next);
    }
    match opening.await {
        Ok(run) => RaceEnd::Further(Box::new(run)),
        Err(_) => RaceEnd::Kept(next),
    }
}

/// Decides whether a further run is opened now. The attempts of the route count both runs.
fn next_step(
    context: &CallContext,
    silent: SilentRun<'_>,
    runs: &RunRecord,
) -> Result<(), KeptCause> {
    if runs.sent >= context.route.max_servers {
        return Err(KeptCause::Attempts);
    }
    let standing = pool_standing(context, |_| true);
    let now = context.host.now();
    let mut state = context.host.state();
    let pool = state.pool_silences.entry(context.service).or_default();
    match pool.step(now, standing, now.since(silent.since)) {
        FurtherStep::Open => Ok(()),
        FurtherStep::Wait(reason) => Err(KeptCause::Pool(reason)),
    }
}

/// How many of the decode servers that `is_wanted` are silent, or did not answer lately.
pub(super) fn pool_standing(
    context: &CallContext,
    is_wanted: impl Fn(&ServerEntry) -> bool,
) -> PoolStanding {
    let now = context.host.now();
    let state = context.host.state();
    let decodes = state.fleet.ready_in_stage(context.service, ServerStage::Decode);
    let mut standing = PoolStanding::default();
    for server in decodes.filter(|server| is_wanted(server)) {
        let health = state.server_health.get(&server.key());
        let fails = health.is_some_and(|health| !health.admits(now));
        standing.servers += 1;
        standing.silent += usize::from(fails || is_silent(context, &state.hearing, now, server));
    }
    standing
}

/// Opens a run beside the silent one, at a server that is not silent too.
async fn open_further(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    silent: SilentRun<'_>,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    if context.is_held_back(runs.sent).await {
        return Err(OpenFailure::NotRun(NotRunReason::HeldBack));
    }
    runs.silent = avoided_servers(context, silent.server, runs);
    let mut pending = send_at_best(context, engine, after, runs).await?;
    silent.log_further(context, runs.sent);
    // If the silent run goes on now, this one is dropped without an answer, and may have begun.
    let had_run = std::mem::replace(&mut runs.may_have_run, true);
    let is_last = runs.sent >= context.route.max_servers;
    let timeout = if is_last { Duration::MAX } else { FURTHER_RUN_TIMEOUT };
    let started = tokio::time::timeout(timeout, pending.first_event()).await;
    runs.may_have_run = had_run;
    let opened = match started {
        Ok(started) => pending.finish(runs, started),
        Err(_elapsed) => pending.give_up(runs, FURTHER_RUN_SILENT),
    };
    if matches!(opened, Err(OpenFailure::Rejected(_))) {
        // It did not run, so it uses up none of the route's attempts.
        runs.sent -= 1;
    }
    opened
}

/// The servers at which no further run is opened: the one whose run is silent, and the other silent ones. If these are all
/// that the run may use, they are asked as well, on new connections: only the old connections may be silent.
fn avoided_servers(
    context: &CallContext,
    server: &ServerEntry,
    runs: &RunRecord,
) -> Vec<ServerKey> {
    let mut avoided = silent_servers(context);
    avoided.push(server.key());
    let state = context.host.state();
    let mut decodes = state.fleet.ready_in_stage(context.service, ServerStage::Decode);
    let has_other =
        decodes.any(|known| runs.version.admits(known) && !avoided.contains(&known.key()));
    if has_other { avoided } else { vec![server.key()] }
}

fn silent_servers(context: &CallContext) -> Vec<ServerKey> {
    let now = context.host.now();
    let state = context.host.state();
    let decodes = state.fleet.ready_in_stage(context.service, ServerStage::Decode);
    let silent = decodes.filter(|server| is_silent(context, &state.hearing, now, server));
    silent.map(ServerEntry::key).collect()
}

/// Whether a server is silent: its runs have sent nothing, and no other call to it was answered meanwhile. Connections may
/// fall silent for good while their server goes on with new ones.
fn is_silent(
    context: &CallContext,
    hearing: &HearingTable,
    now: TimePoint,
    server: &ServerEntry,
) -> bool {
    let has_answered = || context.host.pool.has_answered(server.address, SILENT_AFTER);
    hearing.is_silent(now, server.key()) && !has_answered()
}
