use crate::Result;
use crate::bench::links::reset;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Forwards requests and signals their arrival.
pub(super) async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    request_signal: watch::Sender<()>,
) -> Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        match from.read_buf(&mut buffer).await {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) => {
                // What waits on the way to the server is lost.
                reset(to);
                return Err(error.into());
            }
        }
        // The signal comes before the request is forwarded, and thus before the server can answer it.
        request_signal.send_replace(());
        to.write_all(&buffer).await?;
        buffer.clear();
    }
}
