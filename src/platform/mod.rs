//! Adapter for the users' platform: translates between the platform's names, formats and calls and the types of this
//! crate. It makes no decisions.

mod answer_pace;
mod answer_wire;
mod call_counts;
mod config_wire;
mod crash_wire;
mod engine_messages;
mod json_parts;
mod lease_wire;
mod limit_wire;
mod list_pager;
mod names;
mod request_wire;
mod server_wire;
mod store_call;
mod store_client;
mod store_object;
mod store_wire;
mod version_wire;
mod wire_values;

pub use answer_pace::AnswerPace;
pub use answer_wire::{AnswerKind, answer_headers, contains_answer, read_answer, router_headers};
pub use call_counts::CallKind;
pub use config_wire::decode_config;
pub use crash_wire::{CRASHES_OBJECT, CrashCopy, decode_crashes, encode_crashes};
pub use engine_messages::{
    EngineReport, HoldGrant, PrefillResult, StageOrder, decode_body, decode_report,
    handle_drop_call, hold_call, hold_drop_call, report_call, stage_call,
};
pub use lease_wire::{LEASE_OBJECT, decode_lease, encode_lease};
pub use limit_wire::{LimitHeader, read_limit};
pub use names::{READY_PATH, REQUEST_ID};
pub use request_wire::{CallHead, CallPart, DecodePart, ServerCall, TokenCounts};
pub use server_wire::{SERVERS_KIND, decode_change, decode_server, decode_servers};
pub use store_call::{ListAge, WatchAnswer, WatchLimits, WriteOutcome};
pub use store_client::StoreClient;
pub use store_object::{MAX_OBJECT_BYTES, ObjectList, StoreEvent, StoreObject, UnreadableObject};
pub use version_wire::{VERSIONS_OBJECT, VersionRecord, decode_versions, encode_versions};

/// Kind and name of the configuration object that is derived from intents of the project's own interface.
pub const INTENT_OBJECT: (&str, &str) = ("tealcleat-config", "main");

/// Kind of the claim buckets of the project's own interface.
pub const CLAIMS_KIND: &str = "tealcleat-claims";

/// Kind and name of the operator's configuration.
pub const ROUTES_OBJECT: (&str, &str) = ("config", "main");

/// Returns the name of a claim bucket's object.
pub fn bucket_name(bucket: u64) -> String {
    format!("bucket-{bucket}")
}
