//! This gateway's share of a service's budget of repeated attempts.
//!
//! All gateways together may send a service only so many repeats in a window:
//! a part of its requests, and a fixed number on top. The part is each
//! gateway's own; the fixed number is divided among the gateways that the
//! leader counts.

use garnet_types::Millis;

/// What the operators allow all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Repeats for each request.
    pub per_request: f64,
    /// Repeats on top in one window.
    pub extra: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Part of the allowance that is used: gateways come and go, and a count that
/// is a moment old must not lead past it.
const SAFE_PART: f64 = 0.6;

/// The repeats that one gateway may still send to one service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceBudget {
    available: f64,
    filled_at: Millis,
}

impl ServiceBudget {
    pub(crate) fn full(share: &BudgetShare, gateways: u64, now: Millis) -> Self {
        ServiceBudget {
            available: most(share, gateways),
            filled_at: now,
        }
    }

    /// Notes a first attempt.
    pub(crate) fn earn(&mut self, share: &BudgetShare, gateways: u64) {
        let earned = self.available + share.per_request * SAFE_PART;
        self.available = earned.min(most(share, gateways));
    }

    /// Takes one repeat; `false` when none is left.
    pub(crate) fn spend(&mut self, share: &BudgetShare, gateways: u64, now: Millis) -> bool {
        let most = most(share, gateways);
        let elapsed = now.since(self.filled_at).0 as f64 / share.window.0.max(1) as f64;
        self.filled_at = now;
        // What was saved is spread over a window, so that no two bursts of
        // repeats fall into one.
        self.available = (self.available + most * elapsed / 2.0).min(most);
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}

fn most(share: &BudgetShare, gateways: u64) -> f64 {
    share.extra * SAFE_PART / 2.0 / gateways.max(1) as f64
}
