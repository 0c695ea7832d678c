//! Stand-in engines in the test process, reached by the daemons' own client over links that can duplicate answers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;
use tealcleat::bench::site::DuplicateLink;
use tealcleat::bench::{Deployment, DeploymentKind, StandinSet, start_standins};
use tealcleat::engines::{DecodeCall, EngineClient, LineStream, PrefillCall, StreamEvent};
use tokio::runtime::Runtime;

pub const PREFILL: &str = "gasan-prefill-1";
pub const DECODE: &str = "gasan-decode-1";
pub const MODEL: &str = "inkmind";
pub const MAX_TOKENS: u32 = 160;

/// Stand-in engines, and a client that reaches one engine of each role over a link that can duplicate answers.
pub struct LinkedEngines {
    pub set: Arc<StandinSet>,
    pub client: EngineClient,
    pub prefill: DuplicateLink,
    pub decode: DuplicateLink,
}

impl LinkedEngines {
    pub async fn start() -> Self {
        let plan = Deployment::new(DeploymentKind::Small).standins();
        let (set, _) = start_standins(&plan).await.expect("the stand-ins start");
        let prefill = set.link(PREFILL).await.expect("a link");
        let decode = set.link(DECODE).await.expect("a link");
        Self { set, client: EngineClient::default(), prefill, decode }
    }

    /// Runs the prefill of a prompt and opens the stream of its answer.
    pub async fn stream(&self, prompt: &str) -> tealcleat::Result<LineStream> {
        let call = prefill_call(prompt);
        let done = self.client.prefill(self.prefill.address, &call).await?;
        let call = DecodeCall {
            attempt: call.attempt,
            request: call.request,
            source: self.prefill.address,
            handle: done.handle,
            next_index: 0,
            max_tokens: MAX_TOKENS,
        };
        self.client.decode(self.decode.address, &call).await
    }
}

pub fn runtime() -> Runtime {
    Runtime::new().expect("a runtime starts")
}

pub fn prefill_call(prompt: &str) -> PrefillCall {
    PrefillCall {
        attempt: format!("attempt of {prompt}"),
        request: format!("request of {prompt}"),
        model: MODEL.to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        generated: Vec::new(),
    }
}

/// Reads a stream to its end; returns its events and how it ended.
pub async fn read_all(lines: &mut LineStream) -> (Vec<StreamEvent>, tealcleat::Result<()>) {
    let mut events = Vec::new();
    loop {
        match lines.next().await {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, Ok(())),
            Err(error) => return (events, Err(error)),
        }
    }
}
