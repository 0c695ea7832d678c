//! Connections that others open to a host: what they may occupy, and which go first when there is no room.
//!
//! Anybody may open connections, send slowly or in part, and leave answers unread. [`ConnectionTable`] decides, on what
//! [`ConnectionGauge`] observes of each connection; [`ConnectionRoom`] carries it out.

mod body_reader;
mod caller_stream;
mod connection_gauge;
mod connection_phase;
mod connection_room;
mod connection_table;
mod http_door;
mod tracked_body;

pub use body_reader::{BodyRefusal, read_body};
pub use caller_stream::CallerStream;
pub use connection_gauge::ConnectionGauge;
pub use connection_phase::ConnectionPhase;
pub use connection_room::{ConnectionRoom, RoomCounts};
pub use connection_table::{ConnectionKey, ConnectionTable, TableOpening};
pub use http_door::{HttpLimits, accept_connections, bound_socket_buffers, serve_http};
pub use tracked_body::TrackedBody;
