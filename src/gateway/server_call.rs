//! Sends calls to backend servers, verifies that each answer belongs to its call, and logs answers to other calls.

use super::call_context::CallContext;
use super::gateway_host::GatewayHost;
use super::send_permit::SendPermit;
use crate::engines::{AnswerProof, PooledBody, SendLimits};
use crate::fleet::ServerEntry;
use crate::platform::{CallPart, REQUEST_ID, read_limit};
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;

/// A new connection to a server within a site is established within two round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The purpose of a call to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// Reading a prompt.
    Read,
    /// Generating tokens.
    Run,
    /// A complete request of a plain service.
    Plain,
    /// Holds, reports and releases.
    Control,
    /// Orders to an engine.
    Order,
}

impl CallPurpose {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Run => "run",
            Self::Plain => "plain",
            Self::Control => "control",
            Self::Order => "order",
        }
    }

    /// Whether it sends a caller's request, which the retry budget counts, and not a call of the router's own.
    pub const fn is_counted(self) -> bool {
        match self {
            Self::Read | Self::Run | Self::Plain => true,
            Self::Control | Self::Order => false,
        }
    }

    /// How an answer is matched to its call. Callers' requests are distinguished by their ids; answers to the router's
    /// own calls carry none. The answer to an order is only a status, and that of another call would be accepted.
    const fn proof(self) -> AnswerProof {
        match self {
            Self::Read | Self::Run | Self::Plain => AnswerProof::Id(REQUEST_ID),
            Self::Control => AnswerProof::Contents(REQUEST_ID),
            Self::Order => AnswerProof::OwnConnection,
        }
    }
}

/// Sends a caller's request to a backend server, under a permit that was just granted or renewed.
///
/// # Errors
/// As [`send_call`].
pub(super) async fn send_request(
    context: &CallContext,
    server: &ServerEntry,
    purpose: CallPurpose,
    time_left: Duration,
    part: CallPart<'_>,
    max_idle: Duration,
    permit: &mut SendPermit,
) -> Result<Response<PooledBody>> {
    let request = context.call.to_server(server, time_left, part);
    let limits = SendLimits { connect_timeout: CONNECT_TIMEOUT, max_idle };
    let (host, sent_at) = (&context.host, context.host.now());
    context.record_sent(sent_at);
    // A request that is abandoned while it is sent may have arrived all the same.
    permit.mark_used();
    context.spend_send(purpose, &server.id);
    let response =
        send_call(host, server, purpose, request, limits).await.inspect_err(|error| {
            if matches!(error, Error::NotSent(_)) {
                permit.mark_unused();
                context.return_send(purpose);
            }
        })?;
    host.apply_stated_limit(server, sent_at, &read_limit(response.headers()));
    Ok(response)
}

/// Calls an engine for the router's own purposes. `read` verifies the answer by its contents as far as it has any:
/// a refusal of a hold without a body and the answer to a release are accepted as they are.
///
/// # Errors
/// If there was no answer within `limit`, or `read` fails.
pub(super) async fn call_engine<T>(
    host: &GatewayHost,
    server: &ServerEntry,
    purpose: CallPurpose,
    call: Request<Full<Bytes>>,
    limit: Duration,
    read: impl FnOnce(StatusCode, &Bytes) -> Result<T>,
) -> Result<T> {
    let exchange = async {
        let limits = SendLimits { connect_timeout: limit, ..SendLimits::default() };
        let response = send_call(host, server, purpose, call, limits).await?;
        let status = response.status();
        response.into_body().read_with(|body| read(status, body)).await
    };
    tokio::time::timeout(limit, exchange).await.map_err(|_elapsed| Error::Timeout)?
}

async fn send_call(
    host: &GatewayHost,
    server: &ServerEntry,
    purpose: CallPurpose,
    request: Request<Full<Bytes>>,
    limits: SendLimits,
) -> Result<Response<PooledBody>> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let (address, proof) = (server.address, purpose.proof());
    let sent = match purpose {
        // An engine takes orders of one host only, the holder of the lease, and knows it by where they come from.
        CallPurpose::Order => host.pool.send(address, request, proof, limits).await,
        CallPurpose::Read | CallPurpose::Run | CallPurpose::Plain | CallPurpose::Control => {
            let dial = async || host.dial_server(address, limits.connect_timeout).await;
            host.pool.send_through(dial, address, request, proof, limits).await
        }
    };
    if let Err(Error::Foreign { owner, status, calls }) = &sent {
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        log::info!(
            "event=answer_of_another request={id} server={} call={} owner={owner:?} \
             status={} connection_calls={calls}",
            server.id,
            purpose.name(),
            status.as_u16()
        );
        host.metrics().add("answers_of_others", 1);
    }
    sent
}
