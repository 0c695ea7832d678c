//! The report and order endpoints of a stand-in engine.

use super::SiteEngine;
use super::engine_fault::EngineFault;
use super::site_http::{BufferedRequest, ConnectionDropped, SiteAnswer, full_response};
use crate::host::lock;
use serde_json::Value;
use std::sync::atomic::Ordering;

impl SiteEngine {
    pub(super) fn report(&self) -> SiteAnswer {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let report = lock(&self.state).report(&self.stage(), self.started_at());
        Ok(full_response(200, report.to_string()))
    }

    pub(super) fn order(&self, request: &BufferedRequest) -> SiteAnswer {
        let order: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or_default();
        let holder = order["holder"].as_str().unwrap_or_default();
        if !lock(&self.state).accept_order(holder, fence) {
            return Ok(full_response(412, "{}"));
        }
        if self.fault() == EngineFault::LoseOrders {
            return Err(ConnectionDropped);
        }
        if let Some(stage) = order["stage"].as_str() {
            *lock(&self.stage) = stage.to_owned();
        }
        Ok(full_response(202, "{}"))
    }
}
