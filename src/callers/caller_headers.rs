use super::CallerError;
use crate::claims::TicketId;
use crate::intents::{ClassSpec, ClusterConfig};
use crate::telemetry::TraceParent;
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;

/// Maximum length of an idempotency key, in bytes.
pub(super) const MAX_KEY_BYTES: usize = 200;

/// The validated headers of a caller's request.
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
    /// Reads the headers and validates them against the configuration in force.
    pub fn read(headers: &HeaderMap, config: &ClusterConfig) -> Result<Self, CallerError> {
        let organisation = required_text(headers, "tealcleat-organisation")?;
        if !config.organisations.iter().any(|org| org.name == organisation) {
            let message = format!("organisation {organisation:?} is not admitted");
            let error = CallerError::invalid("unknown_organisation", message);
            return Err(error.with_status(StatusCode::FORBIDDEN));
        }
        let name = required_text(headers, "tealcleat-class")?;
        let class = config.class(&name).cloned().ok_or_else(|| {
            CallerError::invalid(
                "unknown_class",
                format!("class {name:?} is not promised anything"),
            )
        })?;
        Ok(Self {
            organisation,
            class,
            deadline: read_deadline(headers)?,
            key: read_key(headers)?,
            ticket: read_ticket(headers)?,
            trace: read_trace(headers),
        })
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_error| {
        CallerError::invalid("invalid_header", format!("header {name} is not plain text"))
    })?;
    Ok(Some(text.to_owned()))
}

fn required_text(headers: &HeaderMap, name: &str) -> Result<String, CallerError> {
    header_text(headers, name)?
        .filter(|value| !value.is_empty())
        .ok_or_else(|| CallerError::invalid("missing_header", format!("header {name} is missing")))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    let Some(value) = header_text(headers, "tealcleat-deadline-ms")? else {
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

fn read_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let key = header_text(headers, "idempotency-key")?.filter(|key| !key.is_empty());
    if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        let message = format!("idempotency-key is longer than {MAX_KEY_BYTES} bytes");
        return Err(CallerError::invalid("key_too_long", message));
    }
    Ok(key)
}

fn read_ticket(headers: &HeaderMap) -> Result<Option<TicketId>, CallerError> {
    let Some(value) = header_text(headers, "tealcleat-ticket")? else {
        return Ok(None);
    };
    let ticket =
        value.parse().map_err(|error: String| CallerError::invalid("invalid_ticket", error));
    ticket.map(Some)
}

/// Reads the `traceparent` header; a missing or malformed one starts a new trace, as the W3C Trace
/// Context recommendation specifies.
fn read_trace(headers: &HeaderMap) -> TraceParent {
    let given = headers.get("traceparent").and_then(|value| value.to_str().ok());
    given.and_then(|text| text.parse().ok()).unwrap_or_else(TraceParent::new_trace)
}
