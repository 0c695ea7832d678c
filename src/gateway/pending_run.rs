//! A run that was sent to a decode server.

use super::call_context::CallContext;
use super::decode_reservation::DecodeReservation;
use super::engine_resource::EngineResource;
use super::event_reader::EventReader;
use super::load_guard::LoadGuard;
use super::memory_admission::run_priority;
use super::memory_guard::MemoryGuard;
use super::run_hearing::RunHearing;
use super::run_marks::RunMarks;
use super::run_start::{
    OpenFailure, RunOrder, RunRecord, RunStart, log_start, start_event, start_run,
};
use crate::fleet::ServerEntry;
use crate::in_flight::RequestWait;
use crate::placement::ServerEvent;
use crate::streams::ServerSentEvent;
use http::{HeaderMap, StatusCode};
use std::pin::Pin;

/// A run whose first event has arrived.
#[derive(Debug)]
pub(super) struct OpenRun {
    /// The server that runs it.
    pub server: ServerEntry,
    /// Status and headers of the answer.
    pub head: (StatusCode, HeaderMap),
    /// Reads its further events.
    pub reader: EventReader,
    /// Its first event; `None` if it has none.
    pub first: Option<ServerSentEvent>,
    /// Its entry in the load table.
    pub load: LoadGuard,
    /// Counts its memory in the figures for other hosts until the run ends.
    #[allow(dead_code, reason = "dropped with the run")]
    pub memory: Option<MemoryGuard>,
    /// Its entry in the hearing table.
    pub hearing: RunHearing,
    /// What the crash quarantine has to know of it.
    pub marks: RunMarks,
}

/// A run that was sent and whose first event has not arrived. Its connection is closed when it is dropped.
pub(super) struct PendingRun<'a> {
    context: &'a CallContext,
    /// The server that runs it.
    pub server: ServerEntry,
    /// When it was sent, and that it has written nothing.
    pub marks: RunMarks,
    starting: Pin<Box<dyn Future<Output = Result<RunStart, OpenFailure>> + Send + 'a>>,
    hold: EngineResource,
    prompt: Option<EngineResource>,
    load: LoadGuard,
    memory: Option<MemoryGuard>,
    hearing: RunHearing,
}

impl<'a> PendingRun<'a> {
    /// Sends a request to run where memory is reserved for it, with the result of reading its prompt, if there is one.
    pub fn send(
        context: &'a CallContext,
        reservation: DecodeReservation,
        prompt: Option<EngineResource>,
        after: Option<u64>,
        runs: &mut RunRecord,
    ) -> Self {
        let DecodeReservation { hold, load, memory, mut permit } = reservation;
        let server = hold.server.clone();
        let source = prompt.as_ref().and_then(|resource| {
            resource.name().map(|name| (resource.server.address, name.to_owned()))
        });
        let order = RunOrder {
            source,
            hold: hold.name().map(str::to_owned),
            after,
            priority: run_priority(context),
        };
        let marks = RunMarks::sent(context.host.now());
        runs.sent += 1;
        context.record_run(RequestWait::FirstEvent, &server);
        context.host.record_server_event(&server, ServerEvent::Sent);
        let hearing = RunHearing::new(&context.host, server.key());
        let at = server.clone();
        let starting =
            Box::pin(async move { start_run(context, &at, &order, marks, &mut permit).await });
        Self { context, server, marks, starting, hold, prompt, load, memory, hearing }
    }

    /// Waits for its first event, or for the failure of the run. Cancel safe; must not be called again once it has
    /// returned.
    pub async fn first_event(&mut self) -> Result<RunStart, OpenFailure> {
        (&mut self.starting).await
    }

    /// Records how its start ended.
    pub fn finish(
        mut self,
        runs: &mut RunRecord,
        started: Result<RunStart, OpenFailure>,
    ) -> Result<OpenRun, OpenFailure> {
        let context = self.context;
        let waited = context.host.now().since(self.marks.sent_at);
        context.host.record_server_event(&self.server, start_event(&started, waited));
        runs.may_have_run |=
            !matches!(&started, Err(OpenFailure::NotRun(_) | OpenFailure::Rejected(_)));
        log_start(context, &self.server, self.prompt.is_some(), waited, &started);
        self.hold.mark_used();
        // A result that was fetched no longer exists at its server; one that was not fetched expires soon.
        if let Some(resource) = self.prompt.as_mut().filter(|_| started.is_ok()) {
            resource.mark_used();
            let mut state = context.host.state();
            state.work_meters.entry(context.service).or_default().record_start(waited);
        }
        let (head, reader, first) = started?;
        let Self { server, marks, load, memory, hearing, .. } = self;
        Ok(OpenRun { server, head, reader, first, load, memory, hearing, marks })
    }

    /// Gives it up for the lack of a first event: its deadline has passed, or the time that a further run has.
    pub fn give_up(
        self,
        runs: &mut RunRecord,
        cause: &'static str,
    ) -> Result<OpenRun, OpenFailure> {
        self.finish(runs, Err(OpenFailure::Unknown(cause)))
    }
}
