//! Which software version began a stream, so that it goes on at that version only.
//!
//! What servers of two versions write does not fit together, and servers do not check it. A stream may be taken up at
//! any host, while the host that began it is dead. So each host tells a few others of the streams that it begins
//! ([`origin_holders`]), and a host that does not know a stream asks them. Nothing outlasts the hosts.
//!
//! A stream that no host knows goes on only if it is proved that its service had a single version all the time
//! ([`VersionHistory`]). Otherwise it is refused, because a version is never guessed.

mod origin_holders;
mod origin_messages;
mod origin_table;
mod run_version;
mod stream_key;
mod target_history;
mod version_history;

pub use origin_holders::{ORIGIN_HOLDERS, origin_holders};
pub use origin_messages::{OriginReply, OriginRequest, OriginUpdate};
pub use origin_table::{MAX_ORIGINS, OriginTable};
pub use run_version::{RunVersion, UnknownOrigin, keep_established, version_of_unknown};
pub use stream_key::StreamKey;
pub use target_history::{RouteTargets, TargetHistory};
pub use version_history::{ESTABLISH_TIME, SavedVersion, VERSION_RETENTION, VersionHistory};
