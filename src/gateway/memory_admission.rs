//! Which decode servers a request may search for memory while it is short.

use super::call_context::CallContext;
use super::memory_guard::MemoryGuard;
use crate::admission::{
    AdmissionDecision, AdmissionRefusal, AdmissionRequest, DecodePool, PressureLevel,
    SearchOutcome, SearchParts,
};
use crate::fleet::ServerEntry;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashSet;
use std::time::Duration;

/// Pause before an urgent request that found no memory searches again.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// The admission of one request to the decode servers. Without anything to decide, all servers are searched as usual.
#[derive(Debug, Default)]
pub(super) struct MemoryAdmission {
    /// The request, if requests of several ranks or organisations compete for memory.
    request: Option<AdmissionRequest>,
    parts: Option<SearchParts>,
}

impl MemoryAdmission {
    /// Decides where a request for `tokens` may search; `None` if it is refused at once. A stream that continues after
    /// the event `after` is never refused without a search.
    pub fn decide(context: &CallContext, tokens: u32, after: Option<u64>) -> Option<Self> {
        let Some(pool) = contested_pool(context) else {
            return Some(Self::default());
        };
        let request = memory_request(context, tokens, after);
        let (host, now) = (&context.host, context.host.now());
        let decision = host.state().admission.decide(now, &pool, &request);
        let parts = match decision {
            AdmissionDecision::Everywhere => None,
            AdmissionDecision::Search(parts) => Some(parts),
            AdmissionDecision::Refuse(refusal) => {
                let outcome = SearchOutcome::Withheld;
                host.state().admission.record_search(now, context.service, &request, outcome);
                log_refusal(context, &request, &refusal);
                return None;
            }
        };
        Some(Self { request: Some(request), parts })
    }

    /// Removes servers that are reserved for more urgent requests, and puts those that are reserved for this one's rank
    /// first. Where no other server is usable (failures, limits), it removes none: it would refuse requests although memory
    /// is free.
    pub fn order(&self, ranked: &mut Vec<ServerEntry>) {
        let Some(parts) = &self.parts else {
            return;
        };
        let contains = |set: &HashSet<ServerKey>, server: &ServerEntry| set.contains(&server.key());
        if !ranked.iter().all(|server| contains(&parts.without, server)) {
            ranked.retain(|server| !contains(&parts.without, server));
        }
        ranked.sort_by_key(|server| !contains(&parts.first, server));
    }

    /// Waits before a further search of an urgent request that has searched since `searched_from`; returns whether there is
    /// to be one. It waits for a run at the servers that are reserved for its rank, if there are any: less urgent requests do
    /// not take the memory there.
    pub async fn wait_to_search_again(
        &self,
        context: &CallContext,
        searched_from: TimePoint,
        ranked: &[ServerEntry],
    ) -> bool {
        let Some(parts) = self.parts.as_ref().filter(|parts| parts.is_urgent) else {
            return false;
        };
        let is_reserved = |server: &&ServerEntry| parts.first.contains(&server.key());
        let has_reserved = ranked.iter().any(|server| is_reserved(&server));
        let searched = ranked.iter().filter(|server| !has_reserved || is_reserved(server));
        let longest_wait = context.memory_wait(searched.map(ServerEntry::key));
        if context.host.now().since(searched_from) + SEARCH_PAUSE > longest_wait {
            return false;
        }
        tokio::time::sleep(SEARCH_PAUSE).await;
        true
    }

    /// Records that a server granted memory.
    pub fn record_granted(&self, context: &CallContext) -> Option<MemoryGuard> {
        let request = self.request.as_ref()?;
        let (host, now, service) = (&context.host, context.host.now(), context.service);
        let outcome = SearchOutcome::Granted;
        host.state().admission.record_search(now, service, request, outcome);
        self.begin_use(context)
    }

    /// Records the use of memory by the request's run.
    pub fn begin_use(&self, context: &CallContext) -> Option<MemoryGuard> {
        let request = self.request.as_ref()?;
        Some(MemoryGuard::new(&context.host, context.service, request))
    }

    /// The server to which a request that found no memory is sent without a hold, if any. It must be of the most urgent
    /// of several ranks, and servers must be reserved for it, so that the shortage is known to all hosts. The server is
    /// one outside the reserved part, since less urgent requests run there.
    pub fn preempted_server<'a>(
        &self,
        context: &CallContext,
        ranked: &'a [ServerEntry],
    ) -> Option<&'a ServerEntry> {
        let parts = self.parts.as_ref().filter(|parts| parts.is_urgent)?;
        let routes = context.host.routes();
        let is_first = routes.priorities(context.service).first() == Some(&context.route.priority);
        let may_preempt = context.host.settings.features.urgent_preempts && is_first;
        let mut others = ranked.iter().filter(|server| !parts.first.contains(&server.key()));
        others.next().filter(|_| may_preempt)
    }

    /// Records that no server granted memory.
    pub fn record_refused(&self, context: &CallContext) {
        let Some(request) = &self.request else {
            return;
        };
        let (host, now, service) = (&context.host, context.host.now(), context.service);
        let level = {
            let mut state = host.state();
            state.admission.record_search(now, service, request, SearchOutcome::Refused);
            state.admission.level(service)
        };
        if level < PressureLevel::Short {
            host.announce_shortage();
        }
    }
}

/// Records the use of memory by a run that is opened without a search.
pub(super) fn memory_guard(
    context: &CallContext,
    tokens: u32,
    after: Option<u64>,
) -> Option<MemoryGuard> {
    let host = &context.host;
    if !host.settings.features.admission || !host.state().is_contested(context.service) {
        return None;
    }
    let request = memory_request(context, tokens, after);
    Some(MemoryGuard::new(&context.host, context.service, &request))
}

/// The priority that is sent to decode servers; `None` where the routes to the service do not differ in theirs.
pub(super) fn run_priority(context: &CallContext) -> Option<u8> {
    let differ = context.host.routes().priorities(context.service).len() > 1;
    (context.host.settings.features.admission && differ).then_some(context.route.priority)
}

fn contested_pool(context: &CallContext) -> Option<DecodePool> {
    let host = &context.host;
    if !host.settings.features.admission {
        return None;
    }
    let state = host.state();
    state.is_contested(context.service).then(|| state.decode_pool(context.service)).flatten()
}

fn memory_request(context: &CallContext, tokens: u32, after: Option<u64>) -> AdmissionRequest {
    AdmissionRequest {
        rank: context.route.priority,
        org: context.org,
        tokens,
        draw: if after.is_some() { 0.0 } else { rand::random() },
    }
}

fn log_refusal(context: &CallContext, request: &AdmissionRequest, refusal: &AdmissionRefusal) {
    log::info!(
        "event=admission_refused request={} rank={} org={:016x} tokens={} cause=org_over_share demand={:.0} \
         share={:.0}",
        context.id(),
        request.rank,
        request.org.unwrap_or_default().0,
        request.tokens,
        refusal.demand,
        refusal.share
    );
    context.host.metrics().add("org_over_share", 1);
}
