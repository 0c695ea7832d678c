//! Platform is the edge to the users' platform: it translates names, formats and calls into the
//! project's types and back, and decides nothing.
//!
//! `object_client` speaks to the stand-in store of the project's own interface; there `ureq`
//! serves, since every call is one short answer, and calls run on blocking threads.

mod config_wire;
mod engine_messages;
mod lease_wire;
mod names;
mod object_client;
mod request_wire;
mod server_wire;
mod store_client;

pub use config_wire::decode_config;
pub use engine_messages::{
    EngineReport, HoldGrant, PrefillResult, StageOrder, decode_body, decode_report,
    handle_drop_call, hold_call, hold_drop_call, report_call, stage_call,
};
pub use lease_wire::{LEASE_OBJECT, decode_lease, encode_lease};
pub use names::READY_PATH;
pub use object_client::{ObjectClient, StoredObject, WriteOutcome};
pub use request_wire::{
    AnswerKind, CallHead, CallPart, DecodePart, ServerCall, TokenCounts, answer_headers,
    own_headers, read_answer,
};
pub use server_wire::{SERVERS_KIND, decode_change, decode_server};
pub use store_client::{ObjectList, StoreClient, StoreObject, StoreWrite, WatchAnswer};

/// Key of the configuration object of the project's own interface.
pub const CONFIG_KEY: &str = "tealcleat/config";

/// Kind and name of the operator's configuration.
pub const ROUTES_OBJECT: (&str, &str) = ("config", "main");

/// Key of a claim bucket's object.
pub fn bucket_key(bucket: u64) -> String {
    format!("tealcleat/claims/{bucket}")
}
