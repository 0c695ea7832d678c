//! Sends stage orders to engines: requests their reports, writes the fence, and sends the orders concurrently.

use super::gateway_host::GatewayHost;
use super::server_call::{CallPurpose, call_engine};
use super::server_restarts::start_time_text;
use super::stage_loop::{PlannedChange, StageController};
use crate::fleet::ServerEntry;
use crate::orders::{EngineState, LeaseHolder, OrderLease, OrderStep, order_step};
use crate::platform::{
    LEASE_OBJECT, StageOrder, WriteOutcome, decode_lease, decode_report, encode_lease, report_call,
    stage_call,
};
use crate::{Error, Result};
use futures_util::future::join_all;
use http::StatusCode;
use std::time::Duration;

const STORE_TIMEOUT: Duration = Duration::from_millis(700);
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);

impl GatewayHost {
    /// Orders a batch of changes concurrently under one fence. Engines are asked for their reports first, so that
    /// the store is called once per batch, and only if at least one engine can take its order.
    pub(super) async fn order_batch(
        &self,
        controller: &mut StageController,
        batch: &[PlannedChange],
    ) {
        let reports =
            join_all(batch.iter().map(|change| self.request_report(&change.server))).await;
        let mut orderable = Vec::new();
        for (change, report) in batch.iter().zip(reports) {
            match report {
                Ok(state) => match order_step(&change.server, change.to, &state) {
                    OrderStep::Order { orders_taken } => orderable.push((change, orders_taken)),
                    OrderStep::UnderWay => self.record_in_progress(controller, change),
                    OrderStep::Restarted => {
                        self.record_restarted(controller, change, state.started_at)
                    }
                },
                Err(error) => self.record_unreachable(controller, change, &error),
            }
        }
        if orderable.is_empty() {
            return;
        }
        let renewed = self.renew_lease(&mut controller.lease).await;
        let now = self.now();
        if let Err(error) = renewed {
            log::info!("event=stage_not_ordered servers={} cause=\"{error}\"", orderable.len());
            for (change, _) in &orderable {
                controller.planners.entry(change.service).or_default().record_attempt(now);
            }
            return;
        }
        // Until the previous leader's lease has expired nothing is attempted, and no attempt is recorded, which
        // would make the planner pause: during a rolling restart of hosts, such pauses on top of the wait for
        // leases left the pools unchanged for 19 s.
        let Some(fence) = controller.lease.fence(now) else {
            log::info!("event=stage_not_ordered servers={} cause=lease_waits", orderable.len());
            return;
        };
        // An engine may have restarted during the store calls.
        orderable.retain(|(change, _)| {
            let restarted = self.has_restarted(&change.server);
            if restarted {
                self.record_restarted(controller, change, None);
            }
            !restarted
        });
        for (change, _) in &orderable {
            controller.orders.record_ordered(
                now,
                change.server.key(),
                change.to,
                change.engine.stage_change,
            );
            controller.planners.entry(change.service).or_default().record_attempt(now);
        }
        let sent = orderable.iter().map(|(change, taken)| self.send_order(change, fence, *taken));
        for ((change, _), answer) in orderable.iter().zip(join_all(sent).await) {
            self.record_answer(controller, change, fence, answer);
        }
        self.broadcast_notices();
    }

    async fn send_order(
        &self,
        change: &PlannedChange,
        fence: u64,
        orders_taken: u64,
    ) -> Result<StatusCode> {
        let order =
            StageOrder { stage: change.to, holder: &self.settings.host, fence, orders_taken };
        let call = stage_call(&change.server, &order);
        let (server, purpose) = (&change.server, CallPurpose::Order);
        call_engine(self, server, purpose, call, ENGINE_TIMEOUT, |status, _| Ok(status)).await
    }

    fn record_answer(
        &self,
        controller: &mut StageController,
        change: &PlannedChange,
        fence: u64,
        answer: Result<StatusCode>,
    ) {
        let (server, to) = (&change.server.id, change.to.name());
        match answer {
            Ok(status) => {
                log::info!(
                    "event=stage_ordered server={server} to={to} fence={fence} answer={status}"
                );
                if status.is_success() {
                    self.state().stage_changes.record_order(change.server.key(), change.to);
                } else {
                    controller.orders.record_refused(change.server.key());
                }
            }
            // The engine may have accepted the order, or may carry it out later, so it stays pending.
            Err(error) => {
                log::info!(
                    "event=stage_ordered server={server} to={to} fence={fence} cause=\"{error}\""
                );
            }
        }
    }

    /// Records a change that is already in progress, ordered by the previous leader.
    fn record_in_progress(&self, controller: &mut StageController, change: &PlannedChange) {
        let (now, key, to) = (self.now(), change.server.key(), change.to);
        log::info!("event=stage_under_way server={} to={}", change.server.id, to.name());
        controller.orders.record_ordered(now, key, to, change.engine.stage_change);
        self.state().stage_changes.record_order(key, to);
    }

    /// Records that the engine has restarted. The plan was for its former incarnation, which is excluded until the
    /// entry of the new one is known.
    fn record_restarted(
        &self,
        controller: &mut StageController,
        change: &PlannedChange,
        reported: Option<u64>,
    ) {
        let (server, to) = (&change.server, change.to.name());
        let (planned, reported) = (start_time_text(server.started_at), start_time_text(reported));
        log::info!(
            "event=stage_not_ordered server={} to={to} cause=server_restarted planned={planned} \
             reported={reported}",
            server.id
        );
        controller.orders.record_failed(self.now(), server.key());
    }

    /// Records that the engine did not report its state; it is excluded for a while.
    fn record_unreachable(
        &self,
        controller: &mut StageController,
        change: &PlannedChange,
        error: &Error,
    ) {
        let (now, server, to) = (self.now(), &change.server, change.to.name());
        log::info!("event=stage_not_ordered server={} to={to} cause=\"{error}\"", server.id);
        controller.planners.entry(change.service).or_default().record_attempt(now);
        controller.orders.record_failed(now, server.key());
    }

    async fn request_report(&self, server: &ServerEntry) -> Result<EngineState> {
        let (purpose, call) = (CallPurpose::Control, report_call(server));
        call_engine(self, server, purpose, call, ENGINE_TIMEOUT, |status, body| {
            if !status.is_success() {
                return Err(Error::Refused(format!("the engine answered {status} to a report")));
            }
            let report = decode_report(body)?;
            Ok(EngineState {
                started_at: report.started_at,
                stage: report.stage,
                busy: report.busy,
                orders_taken: report.orders_taken,
            })
        })
        .await
    }

    /// Renews the lease by writing the next fence to the store.
    pub(super) async fn renew_lease(&self, lease: &mut OrderLease) -> Result<()> {
        let (kind, name) = LEASE_OBJECT;
        let object = self.store.read(kind, name, STORE_TIMEOUT).await?;
        let held = object.as_ref().map(|object| decode_lease(&object.spec)).transpose();
        let held = held.inspect_err(|error| {
            log::warn!("event=lease_unreadable cause=\"{error}\"");
            lease.record_unreadable();
        })?;
        let length = self.state().bounds.lease;
        let own = LeaseHolder { host: self.settings.host.clone(), process: Some(self.incarnation) };
        lease.record_read(self.now(), held.as_ref(), &own, length);
        let record = OrderLease::next_record(held.as_ref(), &own);
        let expected = object.map(|object| object.revision);
        let sent_at = self.now();
        let spec = encode_lease(&record);
        let written = self.store.write(kind, name, expected, &spec, STORE_TIMEOUT).await;
        match written {
            WriteOutcome::Written(_) => {
                let now = self.now();
                lease.record_write(sent_at, now, held.as_ref(), &record, length);
                Ok(())
            }
            WriteOutcome::Conflict => {
                Err(Error::Refused("another host holds the lease".to_owned()))
            }
            WriteOutcome::Refused => Err(Error::Refused("the store refused the lease".to_owned())),
            WriteOutcome::Unknown => {
                lease.record_unknown(held.as_ref(), &record);
                log::info!(
                    "event=lease_unknown fence={} takeover={}",
                    record.fence,
                    lease.is_unsettled()
                );
                Err(Error::Timeout)
            }
        }
    }
}
