use super::DialedConnection;
use super::http_pool::CONNECT_TIMEOUT;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::SocketAddr;

/// A call on a connection of its own, outside of any pool. If it is dropped before [`Self::complete`], the connection is
/// reset, so that nothing of the request is delivered later.
#[derive(Debug)]
pub struct SingleCall {
    connection: DialedConnection,
    /// Whether a request was sent whose answer was not read to its end.
    is_open: bool,
}

impl SingleCall {
    /// Opens the connection.
    ///
    /// # Errors
    /// If the connection could not be opened; nothing was sent in this case.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, DialedConnection::open(address)).await;
        let connection = opening.map_err(|_elapsed| Error::Timeout)??;
        Ok(Self { connection, is_open: false })
    }

    /// Sends the request and returns the head of its answer.
    ///
    /// # Errors
    /// If the connection breaks; the request may have arrived.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.is_open = true;
        self.connection.mark.set();
        let response = self.connection.sender.send_request(request).await?;
        // An answer that ends with its connection ends properly.
        self.connection.mark.clear();
        Ok(response)
    }

    /// Ends the call, once its answer was read to its end.
    pub fn complete(mut self) {
        self.is_open = false;
    }
}

impl Drop for SingleCall {
    fn drop(&mut self) {
        if self.is_open {
            self.connection.mark.set();
        }
    }
}
