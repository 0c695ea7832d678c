//! The place of one request at one plain server.

use super::call_context::CallContext;
use super::gateway_host::GatewayHost;
use crate::fleet::ServerEntry;
use crate::keys::{ServerKey, TimePoint};
use crate::server_slots::{PlaceDecision, PlaceEnd, PlaceNeed, PlaceOrder, SlotControl};
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may wait at the owner for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitMode {
    /// The owner decides at once, so that other servers can be tried.
    Immediate,
    /// It waits as long as its caller has time and the owner decides.
    MayWait,
}

/// Whether a request may be sent to a server.
#[derive(Debug)]
pub(super) enum PlaceAnswer {
    /// It may be sent; `None` if places are not counted.
    Open(Option<PlaceGuard>),
    /// All places are in use.
    Busy {
        /// Expected time until one is free.
        wait: Duration,
        /// Mean service time of the server.
        service_time: Duration,
    },
}

/// How a request is counted at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlaceHold {
    /// It has no place, because the server is not contended or its owner does not answer.
    Unplaced,
    /// It has or waits for the place with this sequence.
    Placed(u32),
    /// The owner refused it a place.
    Refused,
}

/// A request at a plain server, counted there until the guard is dropped.
#[derive(Debug)]
pub(super) struct PlaceGuard {
    host: Arc<GatewayHost>,
    server: ServerKey,
    hold: PlaceHold,
    begun_at: TimePoint,
    end: PlaceEnd,
}

impl PlaceGuard {
    fn new(host: &Arc<GatewayHost>, server: ServerKey, hold: PlaceHold) -> Self {
        if hold == PlaceHold::Unplaced {
            host.state().slot_control.add_unplaced(server);
        }
        let host = Arc::clone(host);
        let begun_at = host.now();
        Self { host, server, hold, begun_at, end: PlaceEnd::Unused }
    }

    /// Records how the attempt at the server ended; until then the place counts as not used.
    pub fn set_end(&mut self, end: PlaceEnd) {
        self.end = end;
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if self.hold == PlaceHold::Unplaced {
            self.host.state().slot_control.remove_unplaced(self.server);
        }
        let now = self.host.now();
        let time = now.since(self.begun_at);
        if self.end == PlaceEnd::Served {
            self.host.state().slot_control.service_times.record(now, self.server, time);
        }
        match self.hold {
            PlaceHold::Placed(sequence) => {
                self.host.release_place(self.server, sequence, (self.end, time));
            }
            PlaceHold::Unplaced if self.end == PlaceEnd::Rejected => {
                self.host.report_rejection(self.server);
            }
            PlaceHold::Unplaced | PlaceHold::Refused => {}
        }
    }
}

impl CallContext {
    /// Takes a place at a server, if the server is contended. Servers that have a limit are left to their permits.
    pub async fn take_place(&self, server: &ServerEntry, mode: WaitMode) -> PlaceAnswer {
        let host = &self.host;
        if !host.settings.features.server_slots {
            return PlaceAnswer::Open(None);
        }
        let (key, now) = (server.key(), host.now());
        let unplaced = || PlaceAnswer::Open(Some(PlaceGuard::new(host, key, PlaceHold::Unplaced)));
        let is_contended = host.state().needs_place(now, server);
        if !is_contended {
            return unplaced();
        }
        let need = PlaceNeed {
            order: PlaceOrder { rank: self.rank, is_repeatable: self.route.is_retryable() },
            time_left: self.time_left(),
        };
        let request = {
            let mut state = host.state();
            let waits = mode == WaitMode::MayWait;
            let service_time = state.slot_control.service_times.mean(key).unwrap_or_default();
            match state.slot_control.busy_for(now, key, self.rank) {
                Some(wait) if !waits => return PlaceAnswer::Busy { wait, service_time },
                _ => state.slot_control.place_request(now, host.incarnation, key, &need, waits),
            }
        };
        // Created before the reply arrives: if the caller leaves meanwhile, the guard withdraws the request.
        let mut guard = PlaceGuard::new(host, key, PlaceHold::Placed(request.sequence));
        let decision = host.query_slot_owner(&request).await;
        match decision {
            Some(PlaceDecision::Granted) => {
                host.metrics().add("places_granted", 1);
                guard.begun_at = host.now();
                PlaceAnswer::Open(Some(guard))
            }
            Some(PlaceDecision::Busy { wait_ms, service_ms }) => {
                guard.hold = PlaceHold::Refused;
                host.metrics().add("places_refused", 1);
                host.state().slot_control.record_busy(host.now(), &request, wait_ms);
                let wait = Duration::from_millis(wait_ms.into());
                let service_time = Duration::from_millis(service_ms.into());
                PlaceAnswer::Busy { wait, service_time }
            }
            Some(PlaceDecision::NotOwner) | None => {
                if decision.is_none() {
                    host.state().slot_control.record_silence(host.now(), key);
                }
                host.metrics().add("places_unanswered", 1);
                drop(guard);
                unplaced()
            }
        }
    }

    /// When this request's caller should return after all places were in use.
    pub fn place_pause(&self, wait: Duration, service_time: Duration) -> Duration {
        let pause = SlotControl::return_pause(wait, service_time, rand::random());
        log::info!(
            "event=no_place request={} wait_ms={} come_back_ms={}",
            self.id(),
            wait.as_millis(),
            pause.as_millis()
        );
        pause
    }
}
