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

/// A healthy engine answers a hold within a few milliseconds; its report says nothing newer.
const HOLD_LIMIT: Duration = Duration::from_millis(200);
/// Giving something back may take this long; if it fails, it lapses by itself.
const GIVE_BACK_LIMIT: Duration = Duration::from_millis(500);

/// What is kept at an engine for this host.
#[derive(Debug)]
enum ResourceKind {
    /// A slot and memory.
    Hold(String),
    /// The result of a prefill.
    Handle(String),
}

/// Something kept at an engine, given back when it is dropped unused.
#[derive(Debug)]
pub(super) struct EngineResource {
    host: Arc<GatewayHost>,
    /// Where it is kept.
    pub server: ServerEntry,
    thing: Option<ResourceKind>,
}

impl EngineResource {
    /// Takes over the result of a prefill.
    pub fn handle(host: &Arc<GatewayHost>, server: ServerEntry, result: PrefillResult) -> Self {
        let thing = Some(ResourceKind::Handle(result.handle));
        Self { host: Arc::clone(host), server, thing }
    }

    /// Its name at the engine.
    pub fn name(&self) -> Option<&str> {
        match &self.thing {
            Some(ResourceKind::Hold(name) | ResourceKind::Handle(name)) => Some(name),
            None => None,
        }
    }

    /// It was used up: there is nothing to give back.
    pub fn used(&mut self) {
        self.thing = None;
    }
}

impl Drop for EngineResource {
    fn drop(&mut self) {
        let Some(thing) = self.thing.take() else {
            return;
        };
        // Another life of the server keeps nothing of it, and may have given its name to something else.
        if self.host.has_restarted(&self.server) {
            return;
        }
        let call = match thing {
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
            let given = call_engine(&host, &server, purpose, call, GIVE_BACK_LIMIT, |_, _| Ok(()));
            if let Err(error) = given.await {
                log::debug!("event=give_back_failed server={} cause=\"{error}\"", server.id);
            }
        });
    }
}

/// Asks an engine for a slot and memory; `None` if it has none.
pub(super) async fn acquire_hold(
    host: &Arc<GatewayHost>,
    server: &ServerEntry,
    tokens: u32,
    life: Duration,
) -> Result<Option<EngineResource>> {
    let call = hold_call(server, tokens, life);
    let purpose = CallPurpose::Control;
    let read = |status, body: &Bytes| read_grant(host, server, status, body);
    let grant = call_engine(host, server, purpose, call, HOLD_LIMIT, read).await?;
    let Some(grant) = grant else {
        return Ok(None);
    };
    let thing = Some(ResourceKind::Hold(grant.hold));
    Ok(Some(EngineResource { host: Arc::clone(host), server: server.clone(), thing }))
}

/// Reads the answer to a hold. A grant that was made before is a late copy of that answer.
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
        return Err(Error::Refused(format!("the engine answered {status} to a hold")));
    }
    let grant: HoldGrant = decode_body(body)?;
    if !host.state().grants.note(server.key(), &grant.hold) {
        let (server, hold) = (&server.id, &grant.hold);
        log::info!("event=hold_granted_before server={server} hold={hold}");
        return Err(Error::Protocol("the engine granted a hold twice".to_owned()));
    }
    Ok(Some(grant))
}
