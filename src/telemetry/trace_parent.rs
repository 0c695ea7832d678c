use serde::{Deserialize, Serialize};

/// Where a span hangs in its trace, as the W3C `traceparent` header carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceParent {
    /// The trace.
    pub trace: u128,
    /// The calling span.
    pub span: u64,
}

impl TraceParent {
    /// A new trace with random ids.
    pub fn new_trace() -> Self {
        Self { trace: rand::random::<u128>() | 1, span: 0 }
    }

    /// The parent of spans that a new span causes.
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
        let wrong = || format!("{text:?} is not a traceparent");
        let parts: Vec<&str> = text.split('-').collect();
        let [_, trace, span, _] = parts.as_slice() else {
            return Err(wrong());
        };
        if trace.len() != 32 || span.len() != 16 {
            return Err(wrong());
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_error| wrong())?;
        let span = u64::from_str_radix(span, 16).map_err(|_error| wrong())?;
        if trace == 0 { Err(wrong()) } else { Ok(Self { trace, span }) }
    }
}
