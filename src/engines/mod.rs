//! HTTP clients of the backend servers: model engines and plain services.
//!
//! They use `hyper` instead of `ureq`, because a stream that waits for its next token must be cancellable at once. Each
//! call to a model engine carries its own id in the header [`CALL_ID`], which the engine repeats in its answer. A
//! server that does not repeat it gets a new connection for each call.

mod answer_proof;
mod engine_client;
mod engine_wire;
mod helper_mark;
mod http_pool;
mod idle_connections;
mod line_stream;
mod path_record;
mod pending_call;
mod pooled_body;
mod single_call;

pub use answer_proof::{AnswerOwner, AnswerProof};
pub use engine_client::EngineClient;
pub use engine_wire::{
    CALL_ID, CacheEvent, CacheEvents, CancelCall, CancelReply, DecodeCall, EngineLoad, PrefillCall,
    PrefillReply, ResumeCall, StreamEvent,
};
pub use http_pool::{ALL_ANSWERS_BYTES, DialedConnection, HttpPool, SendLimits};
pub use line_stream::LineStream;
pub use path_record::PathRecord;
pub use pooled_body::{MAX_ANSWER_BYTES, PooledBody};
pub use single_call::SingleCall;
