//! A bound on retries, so that a failing service is not flooded by them.

/// Retries that each first attempt earns.
const EARNED_PER_ATTEMPT: f64 = 0.2;
/// Most retries that can be saved up.
const MOST_SAVED: f64 = 20.0;
/// Retries that a quiet service starts with.
const INITIAL: f64 = 5.0;

/// The retries that a service may still use.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { available: INITIAL }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.available = (self.available + EARNED_PER_ATTEMPT).min(MOST_SAVED);
    }

    /// Whether a retry is left.
    pub fn has_left(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes one retry; `false` when none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.has_left();
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
