use super::answer_proof::AnswerProof;
use super::idle_connections::{
    CallSender, IdleConnections, PooledConnection, UNSTATED_KEEP, stated_keep,
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
/// A kept connection that rests is ready at once; one that is not by now is given up for another, which
/// costs less than a round trip to a server.
const READY_LIMIT: Duration = Duration::from_millis(20);

/// How a request may be sent.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits {
    /// Longest time that opening a connection may take.
    pub connect_timeout: Duration,
    /// Longest rest of a kept connection that may be used; for requests that must not be repeated,
    /// since a server may close a resting connection while the request is on its way.
    pub max_idle: Duration,
}

impl Default for SendLimits {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, max_idle: Duration::MAX }
    }
}

/// Keeps HTTP/1.1 connections to backend servers open between calls.
#[derive(Debug, Clone, Default)]
pub struct HttpPool {
    idle: IdleConnections,
}

impl HttpPool {
    /// Sends a request on a kept connection that has not rested for too long, or on a new one, and checks
    /// that the answer shows by `proof` that it belongs to it.
    ///
    /// # Errors
    /// [`Error::NotSent`] if certainly nothing reached the server; [`Error::Foreign`] if the answer may be
    /// another call's; this and any other error if the request may have reached it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        proof: AnswerProof,
        limits: SendLimits,
    ) -> Result<Response<PooledBody>> {
        let id = proof.expected_id(&request);
        let mut request = request;
        while let Some(mut kept) = self.take_kept(address, proof, limits, id.as_ref()) {
            // One that still sends the body of an earlier call, answered early, is no use to this one.
            let ready = tokio::time::timeout(READY_LIMIT, kept.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                continue;
            }
            let call = self.idle.sent(address);
            let sent = kept.sender.try_send_request(request).await;
            call.ended();
            match sent {
                Ok(response) => return self.accept(address, kept, proof, id, response),
                // A message handed back was never sent: the server had closed the connection.
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

    /// Addresses to which a kept connection can be used now.
    pub fn warm_addresses(&self) -> HashSet<SocketAddr> {
        self.idle.addresses()
    }

    /// Opens a connection that no other call has used.
    ///
    /// # Errors
    /// If it could not be opened; then certainly nothing was sent.
    pub async fn connect(address: SocketAddr) -> Result<CallSender> {
        Self::connect_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection and keeps it for the next call.
    ///
    /// # Errors
    /// If it could not be opened within `limit`.
    pub async fn warm(&self, address: SocketAddr, limit: Duration) -> Result<()> {
        let connection = PooledConnection::new(Self::connect_within(address, limit).await?);
        self.idle.put(address, connection, UNSTATED_KEEP);
        Ok(())
    }

    async fn connect_within(address: SocketAddr, limit: Duration) -> Result<CallSender> {
        let connecting = TcpStream::connect(address);
        let stream =
            tokio::time::timeout(limit, connecting).await.map_err(|_elapsed| Error::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // Its calls see the error; the task has nobody to tell.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_kept(
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

    /// Takes over an answer's head; the connection of an answer without proof is closed.
    fn accept(
        &self,
        address: SocketAddr,
        connection: PooledConnection,
        proof: AnswerProof,
        id: Option<HeaderValue>,
        response: Response<Incoming>,
    ) -> Result<Response<PooledBody>> {
        self.idle.note_heard(address);
        let mut connection = connection;
        proof
            .check(id.as_ref(), connection.calls + 1, &response)
            .inspect_err(|_| self.idle.note_foreign(address))?;
        connection.note_call(id.as_ref());
        let keep = proof.allows_more(&response).then(|| stated_keep(response.headers())).flatten();
        let idle = self.idle.clone();
        let back = keep.map(|keep| ReturnPath { idle, address, connection, keep });
        Ok(PooledBody::new(response, back))
    }
}
