//! Decodes the store's answers. Each object is decoded separately, so that an unreadable one does not affect the
//! others.

use super::json_parts::{split_array, split_object};
use super::store_object::{StoreEvent, StoreObject, UnreadableObject};
use crate::{Error, Result};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

#[derive(Debug, Deserialize)]
struct WireMetadata {
    #[serde(default)]
    name: String,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleting: bool,
}

#[derive(Debug, Deserialize)]
struct WireObject {
    metadata: WireMetadata,
    #[serde(default)]
    spec: Value,
}

/// One page of a listing.
#[derive(Debug)]
pub(super) struct ListPage {
    pub items: Vec<StoreObject>,
    pub unreadable: Vec<UnreadableObject>,
    /// The last readable name on the page.
    pub last_name: Option<String>,
    /// Whether there are further pages.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
    /// Length of the page as it was received.
    pub bytes: usize,
}

/// Decodes a page of a listing.
///
/// # Errors
/// If the page is not a JSON object, or if a field outside of the items is missing or has the wrong type.
pub(super) fn decode_page(body: &[u8]) -> Result<ListPage> {
    let members = split_object(body)?;
    let mut page = ListPage {
        items: Vec::new(),
        unreadable: Vec::new(),
        last_name: None,
        more: optional(&members, "more")?.unwrap_or_default(),
        revision: required(&members, "at")?,
        bytes: body.len(),
    };
    for item in elements(&members, "items")? {
        match decode_item(item) {
            Ok(object) => {
                page.last_name = Some(object.name.clone());
                page.items.push(object);
            }
            Err(object) => {
                page.last_name = object.name.clone().or(page.last_name);
                page.unreadable.push(object);
            }
        }
    }
    Ok(page)
}

/// Decodes the answer to a watch: the events, oldest first, and the revision from which the next watch continues.
///
/// # Errors
/// If the answer is not a JSON object, or if a field outside of the events is missing or has the wrong type.
pub(super) fn decode_events(body: &[u8]) -> Result<(Vec<StoreEvent>, u64)> {
    let members = split_object(body)?;
    let events = elements(&members, "events")?.into_iter().map(decode_event).collect();
    Ok((events, required(&members, "at")?))
}

/// Decodes one object.
///
/// # Errors
/// If the object is malformed; the error holds its readable parts.
pub(super) fn decode_object(text: &[u8]) -> std::result::Result<StoreObject, UnreadableObject> {
    parse_object(text).map_err(|error| unreadable(text, &error))
}

/// Decodes one object of a listing or a watch. Such an object needs a name, which identifies it among the others.
fn decode_item(text: &[u8]) -> std::result::Result<StoreObject, UnreadableObject> {
    let object = decode_object(text)?;
    if object.name.is_empty() {
        return Err(unreadable(text, &Error::Protocol("the object has no name".to_owned())));
    }
    Ok(object)
}

fn decode_event(text: &[u8]) -> StoreEvent {
    let members = split_object(text).unwrap_or_default();
    let object = find(&members, "object").unwrap_or_default();
    let gone = optional::<bool>(&members, "gone").map(Option::unwrap_or_default);
    match (gone, decode_item(object)) {
        (Err(error), _) => StoreEvent::Unreadable(unreadable(object, &error)),
        (Ok(false), Ok(object)) => StoreEvent::Changed(object),
        (Ok(true), Ok(object)) => StoreEvent::Removed(object.name),
        (Ok(true), Err(UnreadableObject { name: Some(name), .. })) => StoreEvent::Removed(name),
        (Ok(_), Err(object)) => StoreEvent::Unreadable(object),
    }
}

fn parse_object(text: &[u8]) -> Result<StoreObject> {
    let value: Value = serde_json::from_slice(text)?;
    // Serde would also decode an array, with the fields in the order of its values.
    if !value.is_object() || value.get("metadata").is_some_and(Value::is_array) {
        return Err(Error::Protocol("expected an object with metadata".to_owned()));
    }
    let wire = WireObject::deserialize(value)?;
    Ok(StoreObject {
        name: wire.metadata.name,
        revision: wire.metadata.revision,
        deleting: wire.metadata.deleting,
        spec: wire.spec,
    })
}

/// Extracts the readable parts of a malformed object.
fn unreadable(text: &[u8], error: &Error) -> UnreadableObject {
    let members = split_object(text).unwrap_or_default();
    let metadata = find(&members, "metadata").and_then(|text| split_object(text).ok());
    let metadata = metadata.unwrap_or_default();
    let name: Option<String> = optional(&metadata, "name").unwrap_or_default();
    let revision = optional(&metadata, "revision").unwrap_or_default();
    UnreadableObject {
        name: name.filter(|name| !name.is_empty()),
        revision: revision.unwrap_or_default(),
        cause: error.to_string(),
    }
}

type Members<'a> = [(String, &'a [u8])];

fn find<'a>(members: &Members<'a>, name: &str) -> Option<&'a [u8]> {
    members.iter().find(|(member, _)| member == name).map(|(_, value)| *value)
}

fn elements<'a>(members: &Members<'a>, name: &str) -> Result<Vec<&'a [u8]>> {
    // The answer to another call may lack this member. Treating it as an empty list would mean that all objects were
    // removed.
    let missing = || Error::Protocol(format!("the store's answer lacks {name:?}"));
    split_array(find(members, name).ok_or_else(missing)?)
}

fn optional<T: DeserializeOwned>(members: &Members<'_>, name: &str) -> Result<Option<T>> {
    find(members, name).map(serde_json::from_slice).transpose().map_err(Error::from)
}

fn required<T: DeserializeOwned>(members: &Members<'_>, name: &str) -> Result<T> {
    optional(members, name)?
        .ok_or_else(|| Error::Protocol(format!("the store's answer lacks {name:?}")))
}
