//! Decodes the entries that backend servers write into the store.

use super::store_object::{ObjectList, StoreEvent, StoreObject, UnreadableObject};
use crate::fleet::{FleetChange, ServerEntry, ServerStage, ServerState};
use crate::keys::{IdKey, NameKey};
use crate::routes::ServiceKey;
use crate::{Error, Result};
use http::HeaderValue;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// Kind under which servers write their entries.
pub const SERVERS_KIND: &str = "servers";

/// The fields that an entry needs to describe a usable server. Enumerations are decoded as strings: serde's own
/// decoding would also accept an object that has the name of a variant as its key.
#[derive(Debug, Deserialize)]
struct WireServer {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the server's software, not of its weights.
    version: String,
    slots: u32,
    state: String,
    /// Milliseconds that the server remains slow after its start.
    cold_left_ms: f64,
    /// Number of changes that the server has reported about itself.
    #[expect(dead_code, reason = "only its type is checked")]
    seq: u64,
    stage: Option<String>,
    /// Unix time of the server's start in milliseconds.
    #[serde(default, deserialize_with = "present_integer")]
    born: Option<u64>,
}

/// Decodes an integer field that may be absent, but not null.
fn present_integer<'de, D: Deserializer<'de>>(
    field: D,
) -> std::result::Result<Option<u64>, D::Error> {
    u64::deserialize(field).map(Some)
}

/// Decodes one server's entry.
///
/// # Errors
/// If a field is missing, has the wrong type or an unknown value: the entry describes no usable server.
pub fn decode_server(object: &StoreObject) -> Result<ServerEntry> {
    if !object.spec.is_object() {
        return Err(Error::Protocol("the contents are not a JSON object".to_owned()));
    }
    let wire = WireServer::deserialize(&object.spec)?;
    if !is_server_id(&object.name) {
        return Err(Error::Protocol("the name is not a valid server id".to_owned()));
    }
    Ok(ServerEntry {
        id: object.name.clone(),
        started_at: wire.born,
        version: wire.version,
        service: ServiceKey::of(non_empty(&wire.service, "service")?),
        address: wire.address,
        domain: NameKey::of(non_empty(&wire.zone, "zone")?),
        state: decode_state(&wire.state)?,
        stage: wire.stage.as_deref().map(decode_known_stage).transpose()?,
        slots: wire.slots,
        // The cast turns negative values and NaN into zero.
        cold_ms: wire.cold_left_ms as u32,
    })
}

/// Decodes one event of a watch on servers.
///
/// # Errors
/// If the entry describes no usable server; the error holds the readable parts of the entry.
pub fn decode_change(event: &StoreEvent) -> std::result::Result<FleetChange, UnreadableObject> {
    let object = match event {
        StoreEvent::Removed(name) => return Ok(FleetChange::Removed(IdKey::of(name))),
        StoreEvent::Unreadable(object) => return Err(object.clone()),
        StoreEvent::Changed(object) => object,
    };
    if object.deleting {
        return Ok(FleetChange::Removed(IdKey::of(&object.name)));
    }
    let entry = decode_server(object).map_err(|error| UnreadableObject::of(object, &error))?;
    Ok(FleetChange::Updated(entry))
}

/// Decodes a listing of servers into the usable entries and the objects that describe no usable server.
pub fn decode_servers(list: &ObjectList) -> (Vec<ServerEntry>, Vec<UnreadableObject>) {
    let mut entries = Vec::new();
    let mut unreadable = list.unreadable.clone();
    for object in list.items.iter().filter(|object| !object.deleting) {
        match decode_server(object) {
            Ok(entry) => entries.push(entry),
            Err(error) => unreadable.push(UnreadableObject::of(object, &error)),
        }
    }
    (entries, unreadable)
}

/// Whether a name can be a server id: requests carry the id of their server in a header, as visible ASCII text.
fn is_server_id(name: &str) -> bool {
    let value = HeaderValue::from_str(name);
    !name.is_empty() && value.is_ok_and(|value| value.to_str().is_ok())
}

fn non_empty<'a>(text: &'a str, field: &str) -> Result<&'a str> {
    if text.is_empty() {
        return Err(Error::Protocol(format!("the field {field:?} is empty")));
    }
    Ok(text)
}

fn decode_state(name: &str) -> Result<ServerState> {
    match name {
        "ready" => Ok(ServerState::Ready),
        "draining" => Ok(ServerState::Draining),
        other => Err(Error::Protocol(format!("unknown state {other:?}"))),
    }
}

fn decode_known_stage(name: &str) -> Result<ServerStage> {
    decode_stage(name).ok_or_else(|| Error::Protocol(format!("unknown stage {name:?}")))
}

pub(super) fn decode_stage(name: &str) -> Option<ServerStage> {
    match name {
        "prefill" => Some(ServerStage::Prefill),
        "decode" => Some(ServerStage::Decode),
        _ => None,
    }
}
