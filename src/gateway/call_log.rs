use super::call_context::CallContext;
use super::call_end::CallEnd;
use super::caller_body::CallerAnswer;
use super::gateway_host::GatewayHost;
use crate::routes::Route;
use std::time::Duration;

impl CallContext {
    /// Ends a request that has no stream; its charge is refunded if it did not run.
    pub fn close(&self, end: CallEnd) -> CallerAnswer {
        if matches!(end, CallEnd::NotRun(..)) {
            self.refund_charge();
        }
        log_end(&self.host, self.id(), Some(&self.route), &end, self.age());
        end.into_answer(self.id())
    }
}

/// Logs how a request without a stream ended; `route` is `None` if none was found for it.
pub(super) fn log_end(
    host: &GatewayHost,
    id: &str,
    route: Option<&Route>,
    end: &CallEnd,
    took: Duration,
) {
    let (config, fleet) = {
        let state = host.state();
        (state.routes.version(), state.fleet.revision())
    };
    let (name, cause, status) = (end.name(), end.cause(), end.status().as_u16());
    let objective = route.map(|route| route.objective).unwrap_or_default().as_millis();
    let route = route.map_or("-", |route| &route.name);
    let took = took.as_millis();
    log::info!(
        "event=call_ended request={id} route={route} outcome={name} cause={cause} status={status} \
         took_ms={took} objective_ms={objective} config={config} fleet={fleet}"
    );
    host.metrics().add(name, 1);
}
