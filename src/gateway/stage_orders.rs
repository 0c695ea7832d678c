//! Gives orders to engines: asks them, writes the fence, and sends the orders side by side.

use super::gateway_host::GatewayHost;
use super::server_call::{CallPurpose, call_engine};
use super::server_restarts::start_time_text;
use super::stage_loop::{PlannedChange, StageController};
use crate::fleet::ServerEntry;
use crate::orders::{EngineState, OrderLease, OrderStep, order_step};
use crate::platform::{
    LEASE_OBJECT, StageOrder, StoreWrite, decode_lease, decode_report, encode_lease, report_call,
    stage_call,
};
use crate::{Error, Result};
use futures_util::future::join_all;
use http::StatusCode;
use std::time::Duration;

const STORE_LIMIT: Duration = Duration::from_millis(700);
const ENGINE_LIMIT: Duration = Duration::from_millis(300);

impl GatewayHost {
    /// Orders changes side by side under one fence: engines are asked first, so that the store is
    /// called once a batch, and only if one of them can take its order.
    pub(super) async fn order_batch(&self, desk: &mut StageController, batch: &[PlannedChange]) {
        let reports = join_all(batch.iter().map(|change| self.ask_report(&change.server))).await;
        let mut able = Vec::new();
        for (change, report) in batch.iter().zip(reports) {
            match report {
                Ok(state) => match order_step(&change.server, change.to, &state) {
                    OrderStep::Order { orders_taken } => able.push((change, orders_taken)),
                    OrderStep::UnderWay => self.note_under_way(desk, change),
                    OrderStep::Restarted => self.note_restarted(desk, change, state.started_at),
                },
                Err(error) => self.note_unreached(desk, change, &error),
            }
        }
        if able.is_empty() {
            return;
        }
        let renewed = self.renew_lease(&mut desk.lease).await;
        let now = self.now();
        if let Err(error) = renewed {
            log::info!("event=stage_not_ordered servers={} cause=\"{error}\"", able.len());
            for (change, _) in &able {
                desk.planners.entry(change.service).or_default().record_attempt(now);
            }
            return;
        }
        // While the last giver's lease has not passed nothing is tried, and nothing makes the planner
        // pause: while hosts restart in turn, pauses on top of that left the pools as they were for
        // 19 s.
        let Some(fence) = desk.lease.fence(now) else {
            log::info!("event=stage_not_ordered servers={} cause=lease_waits", able.len());
            return;
        };
        // The store took its time, in which an engine may have started again.
        able.retain(|(change, _)| {
            let restarted = self.has_restarted(&change.server);
            if restarted {
                self.note_restarted(desk, change, None);
            }
            !restarted
        });
        for (change, _) in &able {
            desk.orders.record_ordered(
                now,
                change.server.key(),
                change.to,
                change.engine.stage_change,
            );
            desk.planners.entry(change.service).or_default().record_attempt(now);
        }
        let sent = able.iter().map(|(change, taken)| self.send_order(change, fence, *taken));
        for ((change, _), answer) in able.iter().zip(join_all(sent).await) {
            self.note_answer(desk, change, fence, answer);
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
        call_engine(self, server, purpose, call, ENGINE_LIMIT, |status, _| Ok(status)).await
    }

    fn note_answer(
        &self,
        desk: &mut StageController,
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
                    desk.orders.record_refused(change.server.key());
                }
            }
            // It may have been taken, or may be carried out later: the open order stays.
            Err(error) => {
                log::info!(
                    "event=stage_ordered server={server} to={to} fence={fence} cause=\"{error}\""
                );
            }
        }
    }

    /// The engine changes already, by an order of the host that gave them before.
    fn note_under_way(&self, desk: &mut StageController, change: &PlannedChange) {
        let (now, key, to) = (self.now(), change.server.key(), change.to);
        log::info!("event=stage_under_way server={} to={}", change.server.id, to.name());
        desk.orders.record_ordered(now, key, to, change.engine.stage_change);
        self.state().stage_changes.record_order(key, to);
    }

    /// The engine has started again: the plan was for its former life, which is left alone until the entry
    /// of the new one is known and planned with.
    fn note_restarted(
        &self,
        desk: &mut StageController,
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
        desk.orders.record_failed(self.now(), server.key());
    }

    /// The engine did not tell its state: it is left alone for a while.
    fn note_unreached(&self, desk: &mut StageController, change: &PlannedChange, error: &Error) {
        let (now, server, to) = (self.now(), &change.server, change.to.name());
        log::info!("event=stage_not_ordered server={} to={to} cause=\"{error}\"", server.id);
        desk.planners.entry(change.service).or_default().record_attempt(now);
        desk.orders.record_failed(now, server.key());
    }

    async fn ask_report(&self, server: &ServerEntry) -> Result<EngineState> {
        let (purpose, call) = (CallPurpose::Control, report_call(server));
        call_engine(self, server, purpose, call, ENGINE_LIMIT, |status, body| {
            if !status.is_success() {
                return Err(Error::Refused(format!("the engine answered {status} to a report")));
            }
            let report = decode_report(body)?;
            Ok(EngineState {
                started_at: report.born,
                stage: report.stage,
                busy: report.busy,
                orders_taken: report.orders_taken,
            })
        })
        .await
    }

    /// Writes the next fence into the store.
    pub(super) async fn renew_lease(&self, lease: &mut OrderLease) -> Result<()> {
        let (kind, name) = LEASE_OBJECT;
        let object = self.store.read(kind, name, STORE_LIMIT).await?;
        let held = object.as_ref().map(|object| decode_lease(&object.spec)).transpose()?;
        let record = OrderLease::next_record(held.as_ref(), &self.settings.host);
        let expected = object.map(|object| object.revision);
        let sent_at = self.now();
        let spec = encode_lease(&record);
        let written = self.store.write(kind, name, expected, &spec, STORE_LIMIT).await;
        match written {
            StoreWrite::Written(_) => {
                let now = self.now();
                let length = self.state().bounds.lease;
                lease.record_write(sent_at, now, held.as_ref(), &record, length);
                Ok(())
            }
            StoreWrite::Conflict => Err(Error::Refused("another host holds the lease".to_owned())),
            StoreWrite::Refused => Err(Error::Refused("the store refused the lease".to_owned())),
            StoreWrite::Lost => Err(Error::Timeout),
        }
    }
}
