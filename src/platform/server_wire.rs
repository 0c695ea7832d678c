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

/// What an entry must hold to name a server to use. Enumerations come as text: an object with the
/// name of a variant would be taken for that variant.
#[derive(Debug, Deserialize)]
struct WireServer {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Of its software.
    #[expect(dead_code, reason = "only its type is looked at")]
    version: String,
    slots: u32,
    state: String,
    /// How much longer it is slow after its start.
    cold_left_ms: f64,
    /// Changes that it has told of itself.
    #[expect(dead_code, reason = "only its type is looked at")]
    seq: u64,
    stage: Option<String>,
    /// Unix milliseconds of the server's start.
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<u64>,
}

/// A field that may be left out, but not be null.
fn whole_number<'de, D: Deserializer<'de>>(field: D) -> std::result::Result<Option<u64>, D::Error> {
    u64::deserialize(field).map(Some)
}

/// Decodes one server's entry.
///
/// # Errors
/// If a field is missing, of another type or without a meaning: the entry names no server to use.
pub fn decode_server(object: &StoreObject) -> Result<ServerEntry> {
    if !object.spec.is_object() {
        return Err(Error::Protocol("the contents are no object".to_owned()));
    }
    let wire = WireServer::deserialize(&object.spec)?;
    if !is_server_id(&object.name) {
        return Err(Error::Protocol("the name is no id of a server".to_owned()));
    }
    Ok(ServerEntry {
        id: object.name.clone(),
        started_at: wire.born,
        service: ServiceKey::of(filled(&wire.service, "service")?),
        address: wire.address,
        domain: NameKey::of(filled(&wire.zone, "zone")?),
        state: decode_state(&wire.state)?,
        stage: wire.stage.as_deref().map(known_stage).transpose()?,
        slots: wire.slots,
        // A negative time, or one that is no number, is none.
        cold_ms: wire.cold_left_ms as u32,
    })
}

/// Decodes one event of a watch on servers.
///
/// # Errors
/// If the entry names no server to use; what can be read of it is in the error.
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

/// Decodes a listing of servers: their entries, and the objects that name none.
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

/// Requests name the server that they are meant for in a header, as plain text.
fn is_server_id(name: &str) -> bool {
    let value = HeaderValue::from_str(name);
    !name.is_empty() && value.is_ok_and(|value| value.to_str().is_ok())
}

fn filled<'a>(text: &'a str, field: &str) -> Result<&'a str> {
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

fn known_stage(name: &str) -> Result<ServerStage> {
    decode_stage(name).ok_or_else(|| Error::Protocol(format!("unknown stage {name:?}")))
}

pub(super) fn decode_stage(name: &str) -> Option<ServerStage> {
    match name {
        "prefill" => Some(ServerStage::Prefill),
        "decode" => Some(ServerStage::Decode),
        _ => None,
    }
}
