//! A retry budget, so that retries don't overload a failing service.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_ATTEMPT: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 20.0;
/// Initial retries of a service.
const INITIAL_RETRIES: f64 = 5.0;

/// The retries that are left for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            available: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds to the budget.
    pub fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_ATTEMPT).min(MAX_RETRIES);
    }

    /// Whether a retry is left.
    pub fn can_spend(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.can_spend();
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
