//! Keeps a connection to another daemon going, and resets it if the other daemon does not answer on it.

use crate::connections::{ConnectionStream, ResetMark};
use bytes::Bytes;
use h2::client::Connection;
use h2::{Ping, PingPong};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long the other daemon may take to answer a ping: a retransmission or two after lost packets.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// A doubt whether a connection still carries anything, raised when something sent on it is given up.
///
/// The reset of a stream follows the data of the stream in the same connection. If the connection carries nothing, both
/// wait in the kernel, and the other daemon may pass the data on before it reads the reset. Only a reset of the whole
/// connection takes them back, also if it ends for another reason before the doubt is settled.
#[derive(Debug, Clone, Default)]
pub(super) struct LinkDoubt {
    mark: ResetMark,
    raised: Arc<Notify>,
}

impl LinkDoubt {
    /// The mark of the connection's stream.
    pub fn mark(&self) -> ResetMark {
        self.mark.clone()
    }

    /// Has the connection checked.
    fn raise(&self) {
        self.mark.set();
        self.raised.notify_one();
    }
}

/// Something sent on a connection. Unless it is settled, the connection is checked once it is dropped.
#[derive(Debug)]
pub(super) struct LinkUse(Option<LinkDoubt>);

impl LinkUse {
    /// Begins a use of a connection.
    pub fn begin(doubt: &LinkDoubt) -> Self {
        Self(Some(doubt.clone()))
    }

    /// Records that what was sent has arrived, or ends properly.
    pub fn settle(&mut self) {
        self.0 = None;
    }
}

impl Drop for LinkUse {
    fn drop(&mut self) {
        if let Some(doubt) = &self.0 {
            doubt.raise();
        }
    }
}

/// Drives a connection to its end, or until the other daemon leaves a ping unanswered that was sent for a doubt; the
/// connection is reset then. The calls on the connection report the error.
pub(super) async fn drive_link(
    mut connection: Connection<ConnectionStream<TcpStream>, Bytes>,
    doubt: LinkDoubt,
) {
    let Some(ping_pong) = connection.ping_pong() else { return };
    tokio::select! {
        _ = connection => {}
        () = check_answers(ping_pong, doubt) => {}
    }
}

/// Sends a ping for each doubt; returns once one of them is not answered.
async fn check_answers(mut ping_pong: PingPong, doubt: LinkDoubt) {
    loop {
        doubt.raised.notified().await;
        // An answer to the ping before may just have settled a doubt that was raised after that ping.
        doubt.mark.set();
        let answered = tokio::time::timeout(PING_TIMEOUT, ping_pong.ping(Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
        doubt.mark.clear();
    }
}
