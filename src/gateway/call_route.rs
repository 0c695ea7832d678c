use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::call_log::log_end;
use super::caller_auth::authorize_caller;
use super::caller_body::CallerAnswer;
use super::crash_watch::{QuarantineSubject, RequestAdmission};
use super::engine_call::serve_engine;
use super::gateway_host::GatewayHost;
use super::limit_charge::{LimitCharge, charge_request};
use super::plain_call::serve_plain;
use super::request_body::read_request_body;
use super::run_open::refuse;
use super::stop_phase::StopPhase;
use crate::in_flight::{InFlightGuard, InFlightWork, RequestProgress};
use crate::keys::{RequestContents, RequestKey};
use crate::open_connections::ConnectionGauge;
use crate::organisations::Organisation;
use crate::platform::{CallHead, ServerCall};
use crate::server_limits::CallRank;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::sync::atomic::AtomicI64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Retry delay for callers of a host that has no configuration yet or is shutting down: about the
/// time in which the platform sends them to another host.
const NOT_READY_PAUSE: Duration = Duration::from_millis(500);

/// Answers a caller's request.
pub(super) async fn answer_call(
    host: Arc<GatewayHost>,
    request: Request<Incoming>,
    gauge: Arc<ConnectionGauge>,
) -> CallerAnswer {
    let (parts, body) = request.into_parts();
    let head = CallHead::read(&parts.headers, &parts.uri, &host.key_hasher);
    let id = head.request_id.clone();
    let received_at = host.now();
    let work = InFlightWork::Request(RequestProgress::new(&id));
    let in_flight = Arc::new(host.in_flight.begin(received_at, work));
    let refuse = |end: CallEnd| {
        log_end(&host, &id, None, &end, host.now().since(received_at));
        end.into_answer(&id)
    };
    let answering = async {
        match open_call(&host, head, parts, body, Arc::clone(&in_flight), &gauge).await {
            Ok(context) => run_call(context).await,
            Err(end) => refuse(end),
        }
    };
    let mut answer = tokio::select! {
        biased;
        answer = answering => answer,
        () = host.wait_for_phase(StopPhase::Ending) => refuse(end_by_exit(&in_flight)),
    };
    if host.stop_phase() != StopPhase::Serving {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// The final answer to a request whose answer has not begun when the process exits.
fn end_by_exit(in_flight: &InFlightGuard) -> CallEnd {
    if in_flight.may_have_run() {
        return CallEnd::Unknown(NotRunReason::HostStopping.name());
    }
    refuse(NotRunReason::HostStopping)
}

async fn run_call(context: CallContext) -> CallerAnswer {
    if context.spec.engine.is_some() {
        return serve_engine(Arc::new(context)).await;
    }
    let end = serve_plain(&context).await;
    context.close(end)
}

/// Finds the route of a request, authorizes its caller, reads its body and charges its organisation.
async fn open_call(
    host: &Arc<GatewayHost>,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    in_flight: Arc<InFlightGuard>,
    gauge: &ConnectionGauge,
) -> Result<CallContext, CallEnd> {
    let received_at = host.now();
    if !gauge.has_room() {
        return Err(refuse(NotRunReason::NoRoom));
    }
    if head.request_id.is_empty() {
        return Err(CallEnd::Improper(StatusCode::BAD_REQUEST, "no_request_id"));
    }
    let routes = host.routes();
    if routes.version() == 0 {
        return Err(CallEnd::NotRun(NotRunReason::NotReady, NOT_READY_PAUSE));
    }
    let route = routes.find(&head.host, parts.uri.path()).cloned();
    let Some(route) = route else {
        return Err(no_route(host));
    };
    let organisation = authorize_caller(host, &route, head.caller_key).await?;
    let time_limit =
        head.deadline.map_or(route.time_limit, |deadline| deadline.min(route.time_limit));
    let max_bytes = routes.limits().body_bytes;
    let body = read_request_body(&host.request_bodies, body, max_bytes, time_limit, gauge).await?;
    let service = route.service_for(head.stream_id());
    let Some(spec) = routes.service(service).cloned() else {
        return Err(CallEnd::NotRun(NotRunReason::NoServer, NOT_READY_PAUSE));
    };
    if !host.can_end_before_exit(received_at, &route, spec.engine.as_ref(), &head) {
        return Err(refuse(NotRunReason::HostStopping));
    }
    {
        let mut state = host.state();
        let bounds = state.bounds.retries;
        state.retry_windows.entry(service).or_default().record_request(received_at, &bounds);
    }
    let organisation = organisation.as_deref();
    let contents = host.request_hasher.key(&RequestContents {
        method: parts.method.as_str(),
        host: &head.host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        caller: organisation.map(Organisation::key),
        body: &body,
    });
    let subject = QuarantineSubject {
        id: &head.request_id,
        request: contents,
        shared_parts: &head.shared_parts,
    };
    let admission = host.admit(subject, time_limit).await;
    log_admission(&head.request_id, contents, &admission);
    if matches!(admission, RequestAdmission::HeldBack(_)) {
        return Err(refuse(NotRunReason::HeldBack));
    }
    let org_priority = organisation.map(|org| org.priority).unwrap_or_default();
    let rank = CallRank::new(org_priority, route.priority);
    let charge = organisation.and_then(|org| request_charge(org, &head));
    if let Some(charge) = charge {
        charge_request(host, &head.request_id, charge).await?;
    }
    host.record_arrival(&head.request_id, service, rank, contents);
    let call = ServerCall::new(parts.method, &parts.uri, &parts.headers, organisation, body);
    Ok(CallContext {
        host: Arc::clone(host),
        route,
        service,
        spec,
        head,
        org: organisation.map(Organisation::key),
        rank,
        contents,
        is_trial: matches!(admission, RequestAdmission::Trial(_)),
        call,
        charge,
        credit: Mutex::default(),
        sent_at: AtomicI64::default(),
        received_at,
        deadline: received_at + time_limit,
        in_flight,
    })
}

/// Ends a request for which this host knows no route. A host that knows its configuration to be outdated cannot
/// say that there is none: a newer configuration may have the route, and the caller would not retry.
fn no_route(host: &GatewayHost) -> CallEnd {
    if host.is_behind() {
        return refuse(NotRunReason::RouteUnknown);
    }
    CallEnd::Improper(StatusCode::NOT_FOUND, "no_route")
}

/// Logs why a request that was in flight when servers crashed is refused or sent as a trial.
fn log_admission(id: &str, contents: RequestKey, admission: &RequestAdmission) {
    let (name, evidence) = match admission {
        RequestAdmission::Admitted => return,
        RequestAdmission::Trial(evidence) => ("request_tried", evidence),
        RequestAdmission::HeldBack(evidence) => ("request_held_back", evidence),
    };
    log::info!("event={name} request={id} contents={contents} {evidence}");
}

/// The charge for a request to its organisation, if that has a limit.
fn request_charge(organisation: &Organisation, head: &CallHead) -> Option<LimitCharge> {
    let units = organisation.limit?.cost(head.tokens.stated_size());
    Some(LimitCharge { org: organisation.key(), units })
}
