//! Which streams a host that is shutting down still begins.

use super::gateway_host::GatewayHost;
use super::hold_forecast::{answer_size, generated_tokens};
use crate::keys::{NameKey, TimePoint};
use crate::platform::CallHead;
use crate::routes::{EngineSpec, Route};

/// Probability with which a stream that is begun must end before the exit of the process. A caller that is refused comes
/// back to another host, but has one attempt less, so what is more likely to end than not is begun.
const END_PROBABILITY: f64 = 0.5;

impl GatewayHost {
    /// Whether the answer to a request is expected to end before this process exits, by the measured times of reading its
    /// prompt, of starting and of writing. Streams last for seconds; answers of
    /// plain services, and streams whose pace is not known yet, are expected to. Where no other host serves, there is
    /// nobody to leave a stream to.
    pub(super) fn can_end_before_exit(
        &self,
        now: TimePoint,
        route: &Route,
        engine: Option<&EngineSpec>,
        head: &CallHead,
    ) -> bool {
        let (Some((began_at, plan)), Some(engine)) = (self.stop_plan.get(), engine) else {
            return true;
        };
        let state = self.state();
        if state.members.reachable(now).all(|member| member.incarnation == self.incarnation) {
            return true;
        }
        let (key, size) = (NameKey::of(&route.name), answer_size(&head.tokens));
        let reached = generated_tokens(engine, head.last_event);
        let length = state.output_forecast.length(key, size, reached, END_PROBABILITY);
        let service = route.service_for(head.stream_id());
        let meter = state.work_meters.get(&service);
        let expected = meter.and_then(|meter| {
            let first_event = meter.read_time(head.tokens.prompt) + meter.start_time();
            Some(first_event + meter.answer_time(length - reached)?)
        });
        expected.is_none_or(|time| plan.has_time_for(now.since(*began_at), time))
    }
}
