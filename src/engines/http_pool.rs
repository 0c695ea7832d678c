use super::answer_proof::AnswerProof;
use super::idle_connections::{
    CallSender, DEFAULT_KEEP_ALIVE, IdleConnections, PooledConnection, keep_alive_time,
};
use super::pooled_body::{PooledBody, ReturnPath};
use crate::{Error, Result};
use bytes::Bytes;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait for a pooled connection to become ready. An idle connection is ready at once; trying another one
/// after this time costs less than a round trip to a server.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Limits on sending a request.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum idle time of a pooled connection that may be used. It is limited for requests that must not be retried,
    /// because a server may close an idle connection while the request is in flight.
    pub max_idle: Duration,
}

impl Default for SendLimits {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, max_idle: Duration::MAX }
    }
}

/// Pool of HTTP/1.1 connections to backend servers.
#[derive(Debug, Clone, Default)]
pub struct HttpPool {
    idle: IdleConnections,
}

impl HttpPool {
    /// Sends a request on a pooled connection that has not been idle for too long, or on a new one, and checks by
    /// `proof` that the answer belongs to the request.
    ///
    /// # Errors
    /// [`Error::NotSent`] if it is certain that nothing reached the server; [`Error::Foreign`] if the answer may belong
    /// to another call. After `Foreign` and any other error, the request may have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        proof: AnswerProof,
        limits: SendLimits,
    ) -> Result<Response<PooledBody>> {
        let id = proof.expected_id(&request);
        let mut request = request;
        while let Some(mut pooled) = self.take_pooled(address, proof, limits, id.as_ref()) {
            // A connection is not ready while it still sends the body of an earlier call that was answered early.
            let ready = tokio::time::timeout(READY_TIMEOUT, pooled.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                continue;
            }
            let pending = self.idle.start_call(address);
            let result = pooled.sender.try_send_request(request).await;
            pending.complete();
            match result {
                Ok(response) => return self.accept(address, pooled, proof, id, response),
                // A message that hyper returns was never sent: the server had closed the connection.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let sender = Self::connect_within(address, limits.connect_timeout)
            .await
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let mut fresh = PooledConnection::new(sender);
        match fresh.sender.try_send_request(request).await {
            Ok(response) => self.accept(address, fresh, proof, id, response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent(error.into_error().to_string())),
                None => Err(error.into_error().into()),
            },
        }
    }

    /// Returns the addresses that have a usable pooled connection.
    pub fn warm_addresses(&self) -> HashSet<SocketAddr> {
        self.idle.addresses()
    }

    /// Opens a new connection outside of the pool.
    ///
    /// # Errors
    /// If the connection could not be opened; nothing was sent in this case.
    pub async fn connect(address: SocketAddr) -> Result<CallSender> {
        Self::connect_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection and adds it to the pool for the next call.
    ///
    /// # Errors
    /// If the connection could not be opened within `timeout`.
    pub async fn warm(&self, address: SocketAddr, timeout: Duration) -> Result<()> {
        let connection = PooledConnection::new(Self::connect_within(address, timeout).await?);
        self.idle.put(address, connection, DEFAULT_KEEP_ALIVE);
        Ok(())
    }

    async fn connect_within(address: SocketAddr, timeout: Duration) -> Result<CallSender> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_elapsed| Error::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The calls on the connection receive the error, so the task ignores it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_pooled(
        &self,
        address: SocketAddr,
        proof: AnswerProof,
        limits: SendLimits,
        id: Option<&HeaderValue>,
    ) -> Option<PooledConnection> {
        match proof {
            AnswerProof::OwnConnection => None,
            AnswerProof::Id(_) | AnswerProof::Contents(_) => {
                self.idle.take(address, limits.max_idle, id)
            }
        }
    }

    /// Checks an answer's head. The connection of an answer without proof is closed.
    fn accept(
        &self,
        address: SocketAddr,
        connection: PooledConnection,
        proof: AnswerProof,
        id: Option<HeaderValue>,
        response: Response<Incoming>,
    ) -> Result<Response<PooledBody>> {
        self.idle.record_answer(address);
        let mut connection = connection;
        proof
            .check(id.as_ref(), connection.calls + 1, &response)
            .inspect_err(|_| self.idle.record_foreign(address))?;
        connection.record_call(id.as_ref());
        let keep_alive =
            proof.allows_reuse(&response).then(|| keep_alive_time(response.headers())).flatten();
        let idle = self.idle.clone();
        let return_path =
            keep_alive.map(|keep_alive| ReturnPath { idle, address, connection, keep_alive });
        Ok(PooledBody::new(response, return_path))
    }
}
