//! Streams of connections to servers and to other daemons, and how they end.

mod reset_stream;

pub use reset_stream::{ResetMark, ResetStream};

use tokio::net::TcpStream;

/// Makes dropping `stream` a reset of its connection.
pub fn prepare_reset(stream: &TcpStream) {
    // A socket that is already broken sends nothing more.
    let _ = stream.set_zero_linger();
}
