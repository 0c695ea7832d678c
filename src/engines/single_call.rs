use super::http_pool::CONNECT_TIMEOUT;
use super::pooled_body::BodySource;
use super::{DialedConnection, PooledBody};
use crate::held_bytes::ByteBudget;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use std::net::SocketAddr;

/// A call on a connection of its own, outside of any pool. If it is dropped before [`Self::complete`], the connection is
/// reset, so that nothing of the request is delivered later.
#[derive(Debug)]
pub struct SingleCall {
    connection: DialedConnection,
    /// The budget that the answer counts against.
    answers: ByteBudget,
    /// Whether a request was sent whose answer was not read to its end.
    is_open: bool,
}

impl SingleCall {
    /// Opens the connection. The answer will count against the budget `answers`.
    ///
    /// # Errors
    /// If the connection could not be opened; nothing was sent in this case.
    pub async fn connect(address: SocketAddr, answers: &ByteBudget) -> Result<Self> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, DialedConnection::open(address)).await;
        let connection = opening.map_err(|_elapsed| Error::Timeout)??;
        Ok(Self { connection, answers: answers.clone(), is_open: false })
    }

    /// Sends the request and returns its answer, whose body is still to be read.
    ///
    /// # Errors
    /// If the connection breaks; the request may have arrived.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<PooledBody>> {
        self.is_open = true;
        self.connection.mark.set();
        let response = self.connection.sender.send_request(request).await?;
        // An answer that ends with its connection ends properly.
        self.connection.mark.clear();
        self.connection.meter.reset();
        let source = BodySource {
            meter: self.connection.meter.clone(),
            answers: self.answers.clone(),
            mark: self.connection.mark.clone(),
        };
        Ok(PooledBody::new(response, source, None))
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
