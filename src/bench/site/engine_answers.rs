//! How a stand-in engine answers.

use super::SiteEngine;
use super::engine_events::EventText;
use super::engine_fault::EngineFault;
use super::engine_software::EngineSoftware;
use super::event_feed::EventFeed;
use super::incarnation_switch::IncarnationSwitch;
use super::site_http::{
    BufferedRequest, ConnectionDropped, SiteAnswer, SiteHandler, crash_server, full_response,
    has_crash_part, header, is_crash_request, not_run_response, signed,
};
use super::site_run::SiteRun;
use crate::host::lock;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::mpsc;

impl SiteEngine {
    fn grant_hold(&self, request: &BufferedRequest) -> SiteAnswer {
        let body: serde_json::Value = serde_json::from_slice(request.body()).unwrap_or_default();
        lock(&self.hold_tokens).push(body["tokens"].as_u64().unwrap_or_default());
        if self.fault() == EngineFault::Full {
            return Ok(full_response(503, "{}"));
        }
        let hold = self.next_id();
        lock(&self.state).add_hold(&hold);
        Ok(full_response(200, json!({"hold": hold}).to_string()))
    }

    fn prefill(
        &self,
        request: &BufferedRequest,
        id: &str,
        software: &EngineSoftware,
    ) -> SiteAnswer {
        self.record_run(request, id, "prefill", software);
        self.arrivals.record_read(id);
        if self.fault() == EngineFault::LoseReads {
            return Err(ConnectionDropped);
        }
        let handle = self.next_id();
        lock(&self.state).add_handle(&handle, id);
        let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
        Ok(signed(full_response(200, body), id, None))
    }

    fn record_run(
        &self,
        request: &BufferedRequest,
        id: &str,
        stage: &str,
        software: &EngineSoftware,
    ) -> usize {
        let mut runs = lock(&self.runs);
        runs.push(SiteRun::of(request, id, stage, &software.version));
        runs.len() - 1
    }

    /// Fetches a prefill result and returns the id of its request; `None` if the result is missing. As on the
    /// users' platform, there is no check that the result belongs to the request that fetches it.
    fn fetch(&self, source: &str) -> Option<String> {
        if self.fault() == EngineFault::LoseHandles {
            return None;
        }
        let (address, handle) = source.split_once('/')?;
        let engine = lock(&self.sources).get(address).cloned()?;
        lock(&engine.state).take_handle(handle)
    }

    async fn decode(
        self: &Arc<Self>,
        request: &BufferedRequest,
        id: &str,
        software: &EngineSoftware,
    ) -> SiteAnswer {
        let hold = header(request, "hold");
        let is_held = hold.is_some_and(|hold| lock(&self.state).release_hold(hold));
        let prompt = match header(request, "kv-from") {
            None => id.to_owned(),
            Some(source) => match self.fetch(source) {
                Some(owner) => owner,
                None => return Ok(not_run_response(id)),
            },
        };
        let run_index = self.record_run(request, id, "decode", software);
        lock(&self.runs)[run_index].held = is_held;
        if is_crash_request(request) {
            return crash_server(&self.incarnations, id).await;
        }
        if has_crash_part(request) {
            return self.crash_writing(id, run_index).await;
        }
        if self.fault() == EngineFault::FailRuns {
            return Ok(signed(full_response(500, "failed"), id, Some(&self.id)));
        }
        let first = header(request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .map_or(0, |number: u64| number + 1);
        let (events, received) = mpsc::channel(1);
        let text = EventText { prompt, version_line: software.event_line() };
        tokio::spawn(Arc::clone(self).send_events(text, first, run_index, events));
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        let response_id = if self.fault() == EngineFault::ForeignAnswer { "another" } else { id };
        Ok(signed(hyper::Response::new(stream), response_id, Some(&self.id)))
    }

    /// Crashes as the run at `run_index` begins to write: of two runs one after the head of its answer, before any event.
    async fn crash_writing(self: &Arc<Self>, id: &str, run_index: usize) -> SiteAnswer {
        if run_index.is_multiple_of(2) {
            return crash_server(&self.incarnations, id).await;
        }
        let (events, received) = mpsc::channel(1);
        let (engine, run) = (Arc::clone(self), id.to_owned());
        tokio::spawn(async move {
            drop(crash_server(&engine.incarnations, &run).await);
            // The connection breaks; an end of the events would end the answer properly.
            events.closed().await;
        });
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        Ok(signed(hyper::Response::new(stream), id, Some(&self.id)))
    }
}

impl SiteHandler for SiteEngine {
    fn incarnations(&self) -> Option<&IncarnationSwitch> {
        Some(&self.incarnations)
    }

    async fn answer(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        self.arrivals.record(&request);
        self.stall_gate.pass().await;
        let answer = Arc::clone(&self).answer_request(request).await;
        self.stall_gate.pass().await;
        self.arrivals.add_limit_headers(answer)
    }
}

impl SiteEngine {
    async fn answer_request(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        if self.fault() == EngineFault::Silent {
            if header(&request, "x-request-id").is_some() {
                self.unanswered_count.fetch_add(1, Ordering::Relaxed);
            }
            std::future::pending::<()>().await;
        }
        // What runs from here on belongs to this software, even if it is replaced meanwhile.
        let software = self.software();
        if header(&request, "x-expect-instance").is_some_and(|id| id != software.instance) {
            return Ok(full_response(421, ""));
        }
        let path = request.uri().path().to_owned();
        if path == "/tealcleat/hold-take" {
            return self.grant_hold(&request);
        }
        if let Some(hold) = path.strip_prefix("/tealcleat/hold-drop/") {
            lock(&self.state).release_hold(hold);
            return Ok(full_response(200, "{}"));
        }
        if let Some(handle) = path.strip_prefix("/tealcleat/kv-handle/") {
            lock(&self.state).take_handle(handle);
            return Ok(full_response(200, "{}"));
        }
        if path == "/tealcleat/order" {
            return self.order(&request);
        }
        if path == "/tealcleat/report" {
            return self.report();
        }
        let Some(id) = header(&request, "x-request-id").map(str::to_owned) else {
            return Ok(full_response(400, ""));
        };
        let requested_stage = header(&request, "x-stage").unwrap_or("decode");
        if requested_stage != self.stage() {
            return Ok(signed(full_response(421, ""), &id, None));
        }
        if self.rejects_next() {
            self.rejected_count.fetch_add(1, Ordering::Relaxed);
            return Ok(not_run_response(&id));
        }
        match requested_stage {
            "prefill" => self.prefill(&request, &id, &software),
            _ => self.decode(&request, &id, &software).await,
        }
    }
}
