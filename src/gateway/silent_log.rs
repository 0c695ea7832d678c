//! Log lines and metrics of silent runs.

use super::call_context::CallContext;
use super::silent_run::{KeptCause, SilentRun};

impl SilentRun<'_> {
    fn quiet_ms(&self, context: &CallContext) -> u128 {
        context.host.now().since(self.since).as_millis()
    }

    /// Logs that its server fell silent.
    pub fn log_silent(&self, context: &CallContext) {
        let (id, contents, server) = (context.id(), context.contents, &self.server.id);
        let (events, quiet_ms) = (self.events, self.quiet_ms(context));
        log::info!(
            "event=run_silent request={id} contents={contents} server={server} events={events} \
             quiet_ms={quiet_ms}"
        );
        context.host.metrics().add("silent_runs", 1);
    }

    /// Logs that a further run is being opened beside it.
    pub fn log_further(&self, context: &CallContext, sent: u32) {
        let (id, server, quiet_ms) = (context.id(), &self.server.id, self.quiet_ms(context));
        log::info!(
            "event=further_run_begun request={id} beside={server} sent={sent} quiet_ms={quiet_ms}"
        );
        context.host.metrics().add("further_runs_begun", 1);
    }

    /// Logs why it is kept without a further run.
    pub fn log_kept(&self, context: &CallContext, cause: KeptCause) {
        let (id, server, quiet_ms) = (context.id(), &self.server.id, self.quiet_ms(context));
        let cause = cause.name();
        log::info!(
            "event=silent_run_kept request={id} server={server} cause={cause} quiet_ms={quiet_ms}"
        );
        context.host.metrics().add("silent_runs_kept", 1);
    }

    /// Logs that it went on, or that its connection ended.
    pub fn log_went_on(&self, context: &CallContext, is_event: bool) {
        let (id, server, quiet_ms) = (context.id(), &self.server.id, self.quiet_ms(context));
        log::info!(
            "event=silent_run_ended request={id} server={server} went_on={is_event} \
             quiet_ms={quiet_ms}"
        );
        let metric = if is_event { "silent_runs_went_on" } else { "silent_runs_lost" };
        context.host.metrics().add(metric, 1);
    }

    /// Logs that the further run's first event arrived before its own next one.
    pub fn log_overtaken(&self, context: &CallContext, by: &str) {
        let (id, server, quiet_ms) = (context.id(), &self.server.id, self.quiet_ms(context));
        log::info!(
            "event=further_run_went_on request={id} server={by} instead_of={server} \
             quiet_ms={quiet_ms}"
        );
        context.host.metrics().add("further_runs_went_on", 1);
    }
}
