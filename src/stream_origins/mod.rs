//! Which software version began a stream, so that it goes on at that version only.
//!
//! What servers of two versions write does not fit together, and servers do not check it.

mod run_version;

pub use run_version::RunVersion;
