//! Engines is the edge to backend servers: model engines and plain services, by HTTP.
//!
//! `hyper` serves here instead of `ureq`, because a stream that waits for its next token must be
//! cancellable at once.

mod engine_client;
mod engine_wire;
mod http_pool;
mod line_stream;

pub use engine_client::EngineClient;
pub use engine_wire::{
    CacheEvent, CacheEvents, CancelCall, CancelDone, DecodeCall, EngineLoad, PrefillCall,
    PrefillDone, ResumeCall, StreamEvent,
};
pub use http_pool::{HttpPool, PooledBody, SendLimits};
pub use line_stream::LineStream;
