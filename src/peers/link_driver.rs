//! Keeps a connection to another daemon going, and resets it if the other daemon does not answer on it.

use crate::connections::{ResetMark, ResetStream};
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
/// connection takes them back.
#[derive(Debug, Clone, Default)]
pub(super) struct LinkDoubt(Arc<Notify>);

impl LinkDoubt {
    /// Has the connection checked.
    pub fn raise(&self) {
        self.0.notify_one();
    }

    async fn raised(&self) {
        self.0.notified().await;
    }
}

/// Drives a connection to its end, or until the other daemon leaves a ping unanswered that was sent for a doubt; the
/// connection is reset then. The calls on the connection report the error.
pub(super) async fn drive_link(
    mut connection: Connection<ResetStream<TcpStream>, Bytes>,
    mark: ResetMark,
    doubt: LinkDoubt,
) {
    let Some(ping_pong) = connection.ping_pong() else { return };
    tokio::select! {
        _ = connection => {}
        () = check_answers(ping_pong, mark, doubt) => {}
    }
}

/// Sends a ping for each doubt. Once one of them is not answered, sets the mark and returns.
async fn check_answers(mut ping_pong: PingPong, mark: ResetMark, doubt: LinkDoubt) {
    loop {
        doubt.raised().await;
        let answered = tokio::time::timeout(PING_TIMEOUT, ping_pong.ping(Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            mark.set();
            return;
        }
    }
}
