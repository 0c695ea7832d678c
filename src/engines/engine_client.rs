use super::{
    AnswerProof, CALL_ID, CancelCall, CancelReply, DecodeCall, EngineLoad, HttpPool, LineStream,
    PooledBody, PrefillCall, PrefillReply, ResumeCall, SendLimits,
};
use crate::held_bytes::ByteBudget;
use crate::orders::ServerOrder;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout of all calls except prefills and decodes.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Client of the model engines' API.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    pool: HttpPool,
    report_bytes: Arc<AtomicU64>,
    foreign_answers: Arc<AtomicU64>,
}

impl EngineClient {
    /// A client whose answers occupy at most `answer_bytes` together.
    pub fn bounded(answer_bytes: usize) -> Self {
        Self { pool: HttpPool::bounded(answer_bytes), ..Self::default() }
    }

    /// The budget of the answers that are held.
    pub fn answers(&self) -> &ByteBudget {
        self.pool.answers()
    }

    /// Runs a prefill. There is no timeout; the caller sets one.
    ///
    /// # Errors
    /// If the engine refuses the call, fails or breaks the connection.
    pub async fn prefill(&self, address: SocketAddr, call: &PrefillCall) -> Result<PrefillReply> {
        self.call(address, "/v1/prefill", call).await
    }

    /// Starts a decode stream.
    ///
    /// # Errors
    /// If the engine refuses the call or breaks the connection before the stream begins.
    pub async fn decode(&self, address: SocketAddr, call: &DecodeCall) -> Result<LineStream> {
        let response = self.post(address, "/v1/decode", call).await?;
        Ok(LineStream::new(response.into_body()))
    }

    /// Resumes the stream of an attempt that the engine still holds.
    ///
    /// # Errors
    /// If the engine does not hold the attempt or sent no answer in time.
    pub async fn resume(&self, address: SocketAddr, call: &ResumeCall) -> Result<LineStream> {
        let response = self.with_timeout(self.post(address, "/v1/resume", call)).await?;
        Ok(LineStream::new(response.into_body()))
    }

    /// Cancels an attempt; the reply confirms that the engine no longer holds it.
    ///
    /// # Errors
    /// If the engine sent no valid answer in time.
    pub async fn cancel(&self, address: SocketAddr, attempt: String) -> Result<CancelReply> {
        let call = CancelCall { attempt };
        self.with_timeout(self.call(address, "/v1/cancel", &call)).await
    }

    /// Reads the engine's load report, which lags, and the cache events after `cache_after`.
    ///
    /// # Errors
    /// If the engine sent no valid answer in time.
    pub async fn load(&self, address: SocketAddr, cache_after: u64) -> Result<EngineLoad> {
        let path = format!("/v1/load?after={cache_after}");
        self.with_timeout(async {
            let response = self.send(Method::GET, address, &path, Bytes::new()).await?;
            let read = |bytes: &Bytes| Ok((serde_json::from_slice(bytes)?, bytes.len()));
            let (load, length) = response.into_body().read_with(read).await?;
            self.report_bytes.fetch_add(length as u64, Ordering::Relaxed);
            Ok(load)
        })
        .await
    }

    /// Returns the total size of the load reports read so far, in bytes.
    pub fn report_bytes(&self) -> u64 {
        self.report_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of answers so far that belonged to another call.
    pub fn foreign_answers(&self) -> u64 {
        self.foreign_answers.load(Ordering::Relaxed)
    }

    /// Sends an order with a fencing token.
    ///
    /// # Errors
    /// If the engine refuses the order or sent no valid answer in time.
    pub async fn order(&self, address: SocketAddr, order: &ServerOrder) -> Result<CancelReply> {
        self.with_timeout(self.call(address, "/v1/orders", order)).await
    }

    async fn with_timeout<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        tokio::time::timeout(SHORT_CALL_TIMEOUT, call).await.map_err(|_elapsed| Error::Timeout)?
    }

    async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        call: &(impl Serialize + Sync),
    ) -> Result<T> {
        let body = self.post(address, path, call).await?.into_body();
        body.read_with(|bytes| Ok(serde_json::from_slice(bytes)?)).await
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        call: &(impl Serialize + Sync),
    ) -> Result<Response<PooledBody>> {
        let body = Bytes::from(serde_json::to_vec(call)?);
        self.send(Method::POST, address, path, body).await
    }

    /// Sends a call and checks that its answer is a success and belongs to the call.
    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<PooledBody>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            // Each call has a new id. The attempt's name cannot serve as the id: an attempt is cancelled and resumed
            // more than once, and the answers to those calls could not be told apart.
            .header(CALL_ID, rand::random::<u64>())
            .body(Full::new(body))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let (proof, limits) = (AnswerProof::Id(CALL_ID), SendLimits::default());
        let sent = self.pool.send(address, request, proof, limits).await;
        if let Err(error @ Error::Foreign { .. }) = &sent {
            log::info!("event=answer_of_another server={address} call={path} cause=\"{error}\"");
            self.foreign_answers.fetch_add(1, Ordering::Relaxed);
        }
        check_status(sent?).await
    }
}

async fn check_status(response: Response<PooledBody>) -> Result<Response<PooledBody>> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let read = response.into_body().read_all().await;
    let reason = read.map_or_else(
        |error| error.to_string(),
        |bytes| String::from_utf8_lossy(&bytes).into_owned(),
    );
    Err(Error::Refused(format!("{status}: {reason}")))
}
