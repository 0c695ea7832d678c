//! Takes note of the limits that backend servers name in their answers.

use super::gateway_host::GatewayHost;
use crate::fleet::ServerEntry;
use crate::keys::TimePoint;
use crate::platform::LimitNaming;
use crate::server_limits::LOG_TIME;

impl GatewayHost {
    /// A server answered a request that was sent at `sent_at`; the answer is known to be to that request.
    pub(super) fn hear_limit(
        &self,
        server: &ServerEntry,
        sent_at: TimePoint,
        naming: &LimitNaming,
    ) {
        let limit = match naming {
            LimitNaming::Absent => return,
            LimitNaming::Named(limit) => *limit,
            LimitNaming::Malformed(text) => {
                let id = &server.id;
                log::warn!("event=server_limit_unreadable server={id} limit={text:?}");
                return;
            }
        };
        let (now, key) = (self.now(), server.key());
        let (change, sent) = {
            let mut state = self.state();
            let change = state.server_limits.hear(now, sent_at, key, limit);
            (change, state.sends.recent(now, key, LOG_TIME))
        };
        let Some(change) = change else { return };
        let (id, version, seconds) = (&server.id, change.now.version, LOG_TIME.as_secs());
        let was = change.was.map_or_else(|| "-".to_owned(), |was| was.to_string());
        log::info!(
            "event=server_limit_named server={id} limit={limit} was={was} version={version} \
             sent={sent} sent_within_s={seconds}"
        );
        self.metrics().add("server_limits_named", 1);
    }
}
