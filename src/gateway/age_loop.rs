//! Keeps this host's knowledge of the age of its configuration young: the watcher of the failure domain
//! has it from the store, the others ask the watcher.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::keys::{TimePoint, mix_hash};
use crate::membership::{MemberUpdate, ViewMark};
use crate::organisations::{AgeReply, AgeRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often the age is asked for. With the watcher's own age of up to 1 s, keys are believed for 3.4 s
/// after the last contact with the store at least.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// The same while callers are refused, since it is too old.
const HASTY_PERIOD: Duration = Duration::from_millis(150);
/// A question without an answer after this time makes the host ask others as well.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// So does an age of more than this: the watcher has lost the store, or is not the one that it seems.
const DOUBT_AGE: Duration = Duration::from_millis(2000);

/// Asks for the age of the configuration while keys depend on it.
pub(super) async fn poll_config_age(host: Arc<GatewayHost>) {
    loop {
        let (bounded, too_old) = {
            let now = host.now();
            let state = host.state();
            (state.max_config_age().is_some(), state.is_config_too_old(now))
        };
        if bounded {
            host.request_config_age();
        }
        tokio::time::sleep(if too_old { HASTY_PERIOD } else { ASK_PERIOD }).await;
    }
}

impl GatewayHost {
    /// Asks the watcher of the own failure domain, and others if that is in doubt.
    pub(super) fn request_config_age(&self) {
        let now = self.now();
        for address in self.age_targets(now) {
            let question = self.state().config_age.next_request(now);
            self.send(address, &GatewayDatagram::AgeRequest(question));
        }
    }

    fn age_targets(&self, now: TimePoint) -> Vec<SocketAddr> {
        let state = self.state();
        let watcher = state.watcher(now, self.domain()).filter(|host| *host != self.incarnation);
        let watcher = watcher.and_then(|host| state.members.record(host));
        let in_doubt = state.config_age.has_unanswered_request(now, ANSWER_LIMIT)
            || state.config_age.age(now) > DOUBT_AGE;
        let mut targets: Vec<MemberUpdate> =
            watcher.map(|record| record.update).into_iter().collect();
        if in_doubt {
            let salt = mix_hash(self.incarnation.0, now.0);
            targets.extend(state.other_domain_member(salt));
            let abroad = state.members.reachable(now).filter(|host| host.domain != self.domain());
            targets.extend(abroad.min_by_key(|host| mix_hash(salt, host.incarnation.0)));
        }
        targets.into_iter().map(|member| member.address).collect()
    }

    /// Answers another host's question, if this host knows.
    pub(super) fn reply_config_age(&self, from: SocketAddr, question: AgeRequest) {
        let answer = self.config_age_reply(question);
        if let Some(answer) = answer {
            self.send(from, &GatewayDatagram::AgeReply(answer));
        }
    }

    /// The answer to a question about the age of this host's configuration.
    pub(super) fn config_age_reply(&self, question: AgeRequest) -> Option<AgeReply> {
        let now = self.now();
        let state = self.state();
        state.config_age.reply(now, question, state.routes.version())
    }

    /// Takes over an answer; a host that has a newer configuration is asked for it.
    pub(super) fn apply_age_reply(self: &Arc<Self>, from: SocketAddr, answer: AgeReply) {
        let version = {
            let mut state = self.state();
            let version = state.routes.version();
            state.config_age.apply_reply(answer, version);
            version
        };
        if answer.version > version {
            self.apply_view_mark(ViewMark { config_version: answer.version, fleet_revision: 0 });
            self.fetch_view(from);
        } else {
            self.config_age_updated.notify_waiters();
        }
    }

    /// The store answered a question that left at `asked_at`: what it did not tell did not happen before.
    pub(super) fn note_config_complete(&self, asked_at: TimePoint) {
        self.state().config_age.record_complete(asked_at);
        self.config_age_updated.notify_waiters();
    }
}
