use super::gateway_host::GatewayHost;
use super::server_call::{CallPurpose, call_engine};
use crate::fleet::ServerEntry;
use crate::platform::{
    HoldGrant, PrefillResult, decode_body, handle_drop_call, hold_call, hold_drop_call,
};
use crate::{Error, Result};
use bytes::Bytes;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// A healthy engine answers a hold request within a few milliseconds, and its report contains nothing newer.
const HOLD_TIMEOUT: Duration = Duration::from_millis(200);
/// A resource whose release takes longer than this, or fails, expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// A resource that an engine reserves for this host, with its name at the engine.
#[derive(Debug)]
enum ResourceKind {
    /// A slot and memory.
    Hold(String),
    /// The result of a prefill.
    Handle(String),
}

/// A resource reserved at an engine; it is released when it is dropped unused.
#[derive(Debug)]
pub(super) struct EngineResource {
    host: Arc<GatewayHost>,
    /// The engine that reserves it.
    pub server: ServerEntry,
    kind: Option<ResourceKind>,
}

impl EngineResource {
    /// Takes ownership of the result of a prefill.
    pub fn from_prefill(
        host: &Arc<GatewayHost>,
        server: ServerEntry,
        result: PrefillResult,
    ) -> Self {
        let kind = Some(ResourceKind::Handle(result.handle));
        Self { host: Arc::clone(host), server, kind }
    }

    /// Reserves nothing, for a run that is sent without a hold.
    pub fn none(host: &Arc<GatewayHost>, server: ServerEntry) -> Self {
        Self { host: Arc::clone(host), server, kind: None }
    }

    /// Its name at the engine; `None` once it was used.
    pub fn name(&self) -> Option<&str> {
        match &self.kind {
            Some(ResourceKind::Hold(name) | ResourceKind::Handle(name)) => Some(name),
            None => None,
        }
    }

    /// Marks it as used: there is nothing to release.
    pub fn mark_used(&mut self) {
        self.kind = None;
    }
}

impl Drop for EngineResource {
    fn drop(&mut self) {
        let Some(kind) = self.kind.take() else {
            return;
        };
        // A new incarnation of the server does not have it, and may have given its name to another resource.
        if self.host.has_restarted(&self.server) {
            return;
        }
        let call = match kind {
            ResourceKind::Hold(name) => hold_drop_call(&self.server, &name),
            ResourceKind::Handle(name) => {
                log::info!("event=prompt_wasted server={} handle={name}", self.server.id);
                self.host.metrics().add("prompts_wasted", 1);
                handle_drop_call(&self.server, &name)
            }
        };
        let (host, server) = (Arc::clone(&self.host), self.server.clone());
        tokio::spawn(async move {
            let purpose = CallPurpose::Control;
            let release =
                call_engine(&host, &server, purpose, call, RELEASE_TIMEOUT, |_, _| Ok(()));
            if let Err(error) = release.await {
                log::debug!("event=give_back_failed server={} cause=\"{error}\"", server.id);
            }
        });
    }
}

/// Requests a slot and memory from an engine; `None` if it has none.
pub(super) async fn acquire_hold(
    host: &Arc<GatewayHost>,
    server: &ServerEntry,
    tokens: u32,
    lifetime: Duration,
) -> Result<Option<EngineResource>> {
    let call = hold_call(server, tokens, lifetime);
    let purpose = CallPurpose::Control;
    let read = |status, body: &Bytes| read_grant(host, server, status, body);
    let grant = call_engine(host, server, purpose, call, HOLD_TIMEOUT, read).await?;
    let Some(grant) = grant else {
        return Ok(None);
    };
    let kind = Some(ResourceKind::Hold(grant.hold));
    Ok(Some(EngineResource { host: Arc::clone(host), server: server.clone(), kind }))
}

/// Reads the answer to a hold request. A grant that was received before is a late copy of an earlier answer.
fn read_grant(
    host: &GatewayHost,
    server: &ServerEntry,
    status: StatusCode,
    body: &Bytes,
) -> Result<Option<HoldGrant>> {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    if !status.is_success() {
        return Err(Error::Refused(format!("the engine answered {status} to a hold request")));
    }
    let grant: HoldGrant = decode_body(body)?;
    if !host.state().grants.record(server.key(), &grant.hold) {
        let (server, hold) = (&server.id, &grant.hold);
        log::info!("event=hold_granted_before server={server} hold={hold}");
        return Err(Error::Protocol("the engine granted the same hold twice".to_owned()));
    }
    Ok(Some(grant))
}
