//! How a stand-in engine reports its state and takes orders.

use super::SiteEngine;
use super::engine_fault::EngineFault;
use super::site_http::{BrokenOff, SiteAnswer, WholeRequest, whole};
use crate::host::lock;
use serde_json::Value;
use std::sync::atomic::Ordering;

impl SiteEngine {
    pub(super) fn report(&self) -> SiteAnswer {
        self.reports.fetch_add(1, Ordering::Relaxed);
        let report = lock(&self.memory).report(&self.stage(), self.started_at());
        Ok(whole(200, report.to_string()))
    }

    pub(super) fn order(&self, request: &WholeRequest) -> SiteAnswer {
        let order: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or_default();
        let holder = order["holder"].as_str().unwrap_or_default();
        if !lock(&self.memory).take_order(holder, fence) {
            return Ok(whole(412, "{}"));
        }
        if self.fault() == EngineFault::LoseOrders {
            return Err(BrokenOff);
        }
        if let Some(stage) = order["stage"].as_str() {
            *lock(&self.stage) = stage.to_owned();
        }
        Ok(whole(202, "{}"))
    }
}
