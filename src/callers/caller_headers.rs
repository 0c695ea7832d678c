use super::CallerError;
use crate::claims::TicketId;
use crate::intents::{ClassSpec, ClusterConfig};
use crate::telemetry::TraceParent;
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;

/// Longest idempotency key, in bytes.
pub(super) const LONGEST_KEY: usize = 200;

/// The checked headers of a caller's request.
#[derive(Debug, Clone)]
pub(super) struct CallerHeaders {
    pub organisation: String,
    pub class: ClassSpec,
    pub deadline: Option<Duration>,
    pub key: Option<String>,
    pub ticket: Option<TicketId>,
    pub trace: TraceParent,
}

impl CallerHeaders {
    /// Checks the headers against the configuration in force.
    pub fn read(headers: &HeaderMap, config: &ClusterConfig) -> Result<Self, CallerError> {
        let organisation = required(headers, "tealcleat-organisation")?;
        if !config.organisations.iter().any(|org| org.name == organisation) {
            let message = format!("organisation {organisation:?} is not admitted");
            let error = CallerError::invalid("unknown_organisation", message);
            return Err(error.with_status(StatusCode::FORBIDDEN));
        }
        let name = required(headers, "tealcleat-class")?;
        let class = config.class(&name).cloned().ok_or_else(|| {
            CallerError::invalid(
                "unknown_class",
                format!("class {name:?} is not promised anything"),
            )
        })?;
        Ok(Self {
            organisation,
            class,
            deadline: deadline(headers)?,
            key: key(headers)?,
            ticket: ticket(headers)?,
            trace: trace(headers),
        })
    }
}

fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_error| {
        CallerError::invalid("invalid_header", format!("header {name} is not plain text"))
    })?;
    Ok(Some(text.to_owned()))
}

fn required(headers: &HeaderMap, name: &str) -> Result<String, CallerError> {
    text(headers, name)?
        .filter(|value| !value.is_empty())
        .ok_or_else(|| CallerError::invalid("missing_header", format!("header {name} is missing")))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    let Some(value) = text(headers, "tealcleat-deadline-ms")? else {
        return Ok(None);
    };
    let millis: i64 = value.parse().map_err(|_error| {
        let message = format!("tealcleat-deadline-ms must be a whole number, not {value:?}");
        CallerError::invalid("invalid_deadline", message)
    })?;
    if millis <= 0 {
        let message = format!("the deadline has passed: tealcleat-deadline-ms is {millis}");
        return Err(CallerError::invalid("passed_deadline", message));
    }
    Ok(Some(Duration::from_millis(millis.unsigned_abs())))
}

fn key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let key = text(headers, "idempotency-key")?.filter(|key| !key.is_empty());
    if key.as_ref().is_some_and(|key| key.len() > LONGEST_KEY) {
        let message = format!("idempotency-key is longer than {LONGEST_KEY} bytes");
        return Err(CallerError::invalid("key_too_long", message));
    }
    Ok(key)
}

fn ticket(headers: &HeaderMap) -> Result<Option<TicketId>, CallerError> {
    let Some(value) = text(headers, "tealcleat-ticket")? else {
        return Ok(None);
    };
    let parsed =
        value.parse().map_err(|error: String| CallerError::invalid("invalid_ticket", error));
    parsed.map(Some)
}

/// A malformed `traceparent` starts a new trace, as the W3C recommendation asks.
fn trace(headers: &HeaderMap) -> TraceParent {
    let given = headers.get("traceparent").and_then(|value| value.to_str().ok());
    given.and_then(|text| text.parse().ok()).unwrap_or_else(TraceParent::new_trace)
}
