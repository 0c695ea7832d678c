/// A token bucket that limits retries to a fraction of the requests, so that retries cannot amplify
/// an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Available tokens, in thousandths of a retry.
    tokens: u64,
    per_request: u64,
    capacity: u64,
}

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100, 20)
    }
}

impl RetryBudget {
    /// A full budget that earns `per_request` thousandths of a retry for each request, up to
    /// `max_retries` retries.
    pub fn new(per_request: u64, max_retries: u64) -> Self {
        Self { tokens: max_retries * RETRY_COST, per_request, capacity: max_retries * RETRY_COST }
    }

    /// Records a request, which earns tokens.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.capacity);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        let is_allowed = self.tokens >= RETRY_COST;
        if is_allowed {
            self.tokens -= RETRY_COST;
        }
        is_allowed
    }
}
