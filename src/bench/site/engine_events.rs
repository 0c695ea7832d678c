//! The events of a stand-in engine's answer, and what it does wrong with them.

use super::engine_fault::EngineFault;
use super::event_feed::{EventSender, cut_within};
use super::site_engine::SiteEngine;
use crate::host::lock;
use bytes::Bytes;
use hyper::body::Frame;
use std::sync::Arc;

impl SiteEngine {
    /// Makes the events of the run at `place` from `first` on, until its caller leaves.
    pub(super) async fn make_events(
        self: Arc<Self>,
        prompt: String,
        first: u64,
        place: usize,
        events: EventSender,
    ) {
        for number in first..self.events {
            let text = format!("id: {number}\ndata: {prompt} {number}\n\n");
            let made = number - first;
            let sent = match self.fault() {
                EngineFault::CutAfter(most) if made >= most => {
                    cut_within(&events, &text).await;
                    return;
                }
                EngineFault::StallAfter(most) if made >= most => {
                    events.closed().await;
                    false
                }
                EngineFault::StrayAfter(most) if first == 0 && made == most => {
                    let stray = format!("HTTP/1.1 200 OK\r\ndata: stray\r\n\r\n{text}");
                    events.send(Ok(Frame::data(Bytes::from(stray)))).await.is_ok()
                }
                _ => events.send(Ok(Frame::data(Bytes::from(text)))).await.is_ok(),
            };
            if !sent {
                lock(&self.runs)[place].cancelled = true;
                return;
            }
            tokio::time::sleep(self.pause).await;
        }
    }
}
