/// Retries allowed as a part of the requests, so that retries cannot multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Thousandths of a retry.
    saved: u64,
    per_request: u64,
    most: u64,
}

const WHOLE: u64 = 1000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100, 20)
    }
}

impl RetryBudget {
    /// A full budget that earns `per_request` thousandths of a retry, up to `most` retries.
    pub fn new(per_request: u64, most: u64) -> Self {
        Self { saved: most * WHOLE, per_request, most: most * WHOLE }
    }

    /// A request came in.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.per_request).min(self.most);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.saved >= WHOLE;
        if allowed {
            self.saved -= WHOLE;
        }
        allowed
    }
}
