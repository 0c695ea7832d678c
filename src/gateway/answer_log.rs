//! Tells whose answers arrive on connections to backend servers.

use super::gateway_host::GatewayHost;
use crate::engines::PooledBody;
use crate::fleet::ServerEntry;
use crate::platform::{AnswerOwner, answer_owner};
use hyper::Response;

/// What a backend server was called for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// Reading a prompt.
    Read,
    /// Making tokens.
    Run,
    /// A whole request of a plain service.
    Plain,
    /// The router's own purposes: holds, reports, orders.
    Control,
}

impl CallPurpose {
    const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Run => "run",
            Self::Plain => "plain",
            Self::Control => "control",
        }
    }

    /// Whose answer is expected for it.
    const fn expected(self) -> AnswerOwner {
        match self {
            Self::Read | Self::Run | Self::Plain => AnswerOwner::Asked,
            Self::Control => AnswerOwner::Unnamed,
        }
    }
}

/// Notes an answer that is not the one that the request `id` was to get on its connection.
pub(super) fn note_owner(
    host: &GatewayHost,
    server: &ServerEntry,
    purpose: CallPurpose,
    id: &str,
    response: &Response<PooledBody>,
) {
    let owner = answer_owner(response, id);
    if owner == purpose.expected() {
        return;
    }
    let calls = response.body().calls();
    let status = response.status().as_u16();
    log::info!(
        "event=answer_of_another request={id} server={} call={} owner={owner:?} status={status} \
         connection_calls={calls}",
        server.id,
        purpose.name()
    );
    host.metrics().add("answers_of_others", 1);
}
