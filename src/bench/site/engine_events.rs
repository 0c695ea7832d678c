//! The event stream of a stand-in engine's response and the faults injected into it.

use super::engine_fault::EngineFault;
use super::event_feed::{EventSender, send_truncated};
use super::site_engine::SiteEngine;
use crate::host::lock;
use bytes::Bytes;
use hyper::body::Frame;
use std::sync::Arc;
use tokio::time::Instant;

/// What the events of a run contain besides their numbers.
#[derive(Debug)]
pub(super) struct EventText {
    /// The request whose prompt the run uses.
    pub prompt: String,
    /// The line that names the software version.
    pub version_line: String,
}

impl SiteEngine {
    /// Sends the events of the run at `run_index`, starting with number `first`, until its caller disconnects.
    pub(super) async fn send_events(
        self: Arc<Self>,
        text: EventText,
        first: u64,
        run_index: usize,
        events: EventSender,
    ) {
        let cancelled = self.send_run(text, first, events).await;
        let run = &mut lock(&self.runs)[run_index];
        run.cancelled = cancelled;
        run.ended_at = Some(Instant::now());
    }

    /// Sends the events of a run; returns whether its caller disconnected.
    async fn send_run(&self, text: EventText, first: u64, events: EventSender) -> bool {
        let EventText { prompt, version_line } = text;
        let interval = self.event_interval();
        for number in first..self.events {
            let text = format!("id: {number}\ndata: {prompt} {number}\n{version_line}\n");
            let sent_count = number - first;
            self.stall_gate.pass().await;
            let is_sent = match self.fault() {
                EngineFault::CutAfter(limit) if sent_count >= limit => {
                    send_truncated(&events, &text).await;
                    return false;
                }
                EngineFault::StallAfter(limit) if sent_count >= limit => {
                    events.closed().await;
                    false
                }
                EngineFault::StrayAfter(limit) if first == 0 && sent_count == limit => {
                    let stray = format!("HTTP/1.1 200 OK\r\ndata: stray\r\n\r\n{text}");
                    events.send(Ok(Frame::data(Bytes::from(stray)))).await.is_ok()
                }
                _ => events.send(Ok(Frame::data(Bytes::from(text)))).await.is_ok(),
            };
            if !is_sent {
                return true;
            }
            tokio::time::sleep(interval).await;
        }
        false
    }
}
