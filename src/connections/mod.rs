//! Streams of connections to servers and to other daemons, and how they end.

mod connection_stream;
mod read_meter;
mod reset_mark;

pub use connection_stream::ConnectionStream;
pub use read_meter::{ReadMeter, UndeliveredBytes};
pub use reset_mark::ResetMark;

use socket2::SockRef;
use std::io::Result;
use tokio::net::TcpStream;

/// Makes each end of `stream` a reset of its connection, also one by the kernel of a process that is killed.
///
/// # Errors
/// If the socket is broken.
pub fn reset_at_end(stream: &TcpStream) -> Result<()> {
    stream.set_zero_linger()
}

/// Makes the end of `stream` a proper one again.
pub fn end_properly(stream: &TcpStream) {
    // A socket that is already broken sends nothing more.
    let _ = SockRef::from(stream).set_linger(None);
}
