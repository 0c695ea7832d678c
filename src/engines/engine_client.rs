use super::{
    AnswerProof, CancelCall, CancelDone, DecodeCall, EngineLoad, HttpPool, LineStream, PooledBody,
    PrefillCall, PrefillDone, ResumeCall, SendLimits,
};
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

const SHORT_CALL: Duration = Duration::from_millis(600);

/// Client of the model engines' API.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    pool: HttpPool,
    report_bytes: Arc<AtomicU64>,
}

impl EngineClient {
    /// Runs a prefill; the caller sets the time limit.
    ///
    /// # Errors
    /// If the engine refuses, fails or breaks the connection.
    pub async fn prefill(&self, address: SocketAddr, call: &PrefillCall) -> Result<PrefillDone> {
        self.ask(address, "/v1/prefill", call).await
    }

    /// Starts a decode stream.
    ///
    /// # Errors
    /// If the engine refuses or breaks the connection before the stream begins.
    pub async fn decode(&self, address: SocketAddr, call: &DecodeCall) -> Result<LineStream> {
        let response = self.post(address, "/v1/decode", call).await?;
        Ok(LineStream::new(response.into_body()))
    }

    /// Takes up the stream of an attempt that the engine still holds.
    ///
    /// # Errors
    /// If the engine does not hold it.
    pub async fn resume(&self, address: SocketAddr, call: &ResumeCall) -> Result<LineStream> {
        let response = self.limit(self.post(address, "/v1/resume", call)).await?;
        Ok(LineStream::new(response.into_body()))
    }

    /// Drops an attempt; the answer confirms that the engine no longer holds it.
    ///
    /// # Errors
    /// If the engine gave no answer.
    pub async fn cancel(&self, address: SocketAddr, attempt: String) -> Result<CancelDone> {
        let call = CancelCall { attempt };
        self.limit(self.ask(address, "/v1/cancel", &call)).await
    }

    /// Reads the lagged load report and cache events after `cache_after`.
    ///
    /// # Errors
    /// If the engine gave no answer.
    pub async fn load(&self, address: SocketAddr, cache_after: u64) -> Result<EngineLoad> {
        let uri = format!("/v1/load?after={cache_after}");
        let request = Request::builder()
            .method(Method::GET)
            .uri(uri)
            .header("host", address.to_string())
            .body(Full::default())
            .map_err(|error| Error::Protocol(error.to_string()))?;
        self.limit(async {
            let response = self.send(address, request).await?;
            let bytes = read_bytes(response).await?;
            self.report_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            Ok(serde_json::from_slice(&bytes)?)
        })
        .await
    }

    /// Bytes of load reports read so far.
    pub fn report_bytes(&self) -> u64 {
        self.report_bytes.load(Ordering::Relaxed)
    }

    /// Sends a fenced order.
    ///
    /// # Errors
    /// If the engine refuses it or gave no answer.
    pub async fn order(&self, address: SocketAddr, order: &ServerOrder) -> Result<CancelDone> {
        self.limit(self.ask(address, "/v1/orders", order)).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>> {
        let limits = SendLimits::default();
        self.pool.send(address, request, AnswerProof::OwnConnection, limits).await
    }

    async fn limit<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        tokio::time::timeout(SHORT_CALL, call).await.map_err(|_elapsed| Error::Timeout)?
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        call: &(impl Serialize + Sync),
    ) -> Result<T> {
        read_json(self.post(address, path, call).await?).await
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        call: &(impl Serialize + Sync),
    ) -> Result<Response<PooledBody>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(call)?)))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let response = self.send(address, request).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let text = response.into_body().read_all().await.unwrap_or_default();
        Err(Error::Refused(format!("{status}: {}", String::from_utf8_lossy(&text))))
    }
}

async fn read_json<T: DeserializeOwned>(response: Response<PooledBody>) -> Result<T> {
    Ok(serde_json::from_slice(&read_bytes(response).await?)?)
}

async fn read_bytes(response: Response<PooledBody>) -> Result<Bytes> {
    let status = response.status();
    let bytes = response.into_body().read_all().await?;
    if !status.is_success() {
        return Err(Error::Refused(format!("{status}: {}", String::from_utf8_lossy(&bytes))));
    }
    Ok(bytes)
}
