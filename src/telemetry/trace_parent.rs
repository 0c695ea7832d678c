use serde::{Deserialize, Serialize};

/// Ids of a trace and of the parent span in it, as carried by the W3C `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceParent {
    /// Id of the trace.
    pub trace: u128,
    /// Id of the parent span; zero if there is none.
    pub span: u64,
}

impl TraceParent {
    /// Starts a new trace with a random id and no parent span.
    pub fn new_trace() -> Self {
        Self { trace: rand::random::<u128>() | 1, span: 0 }
    }

    /// Creates a new span in this trace and returns its ids, for use as the parent of further spans.
    pub fn child(self) -> Self {
        Self { trace: self.trace, span: rand::random::<u64>() | 1 }
    }
}

impl std::fmt::Display for TraceParent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

impl std::str::FromStr for TraceParent {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("{text:?} is not a valid traceparent header value");
        let parts: Vec<&str> = text.split('-').collect();
        let [_, trace, span, _] = parts.as_slice() else {
            return Err(invalid());
        };
        if trace.len() != 32 || span.len() != 16 {
            return Err(invalid());
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_error| invalid())?;
        let span = u64::from_str_radix(span, 16).map_err(|_error| invalid())?;
        if trace == 0 { Err(invalid()) } else { Ok(Self { trace, span }) }
    }
}
