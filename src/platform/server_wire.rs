//! Decodes the entries that backend servers write into the store.

use super::StoreObject;
use crate::fleet::{FleetChange, ServerEntry, ServerStage, ServerState};
use crate::keys::{IdKey, NameKey};
use crate::routes::ServiceKey;
use crate::{Error, Result};
use serde::Deserialize;
use std::net::SocketAddr;

/// Kind under which servers write their entries.
pub const SERVERS_KIND: &str = "servers";

#[derive(Debug, Deserialize)]
struct WireServer {
    service: String,
    born: Option<u64>,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    stage: Option<String>,
}

/// Decodes one server's entry.
///
/// # Errors
/// If a field is missing or of another type.
pub fn decode_server(object: &StoreObject) -> Result<ServerEntry> {
    let wire = WireServer::deserialize(&object.spec)?;
    if object.name.is_empty() {
        return Err(Error::Protocol("a server's entry has no id".to_owned()));
    }
    Ok(ServerEntry {
        id: object.name.clone(),
        born: wire.born,
        service: ServiceKey::of(&wire.service),
        address: wire.address,
        domain: NameKey::of(&wire.zone),
        state: if wire.state == "draining" { ServerState::Draining } else { ServerState::Ready },
        stage: wire.stage.as_deref().and_then(decode_stage),
        slots: wire.slots,
    })
}

/// Decodes one event of a watch on servers.
///
/// # Errors
/// If the entry cannot be decoded.
pub fn decode_change(object: &StoreObject, gone: bool) -> Result<FleetChange> {
    if gone || object.deleting {
        return Ok(FleetChange::Removed(IdKey::of(&object.name)));
    }
    decode_server(object).map(FleetChange::Stated)
}

pub(super) fn decode_stage(name: &str) -> Option<ServerStage> {
    match name {
        "prefill" => Some(ServerStage::Prefill),
        "decode" => Some(ServerStage::Decode),
        _ => None,
    }
}
