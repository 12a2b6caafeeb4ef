//! This gateway's share of a service's retry budget.
//!
//! A repeat is an attempt of a request that reached a back end before. In any window, all
//! gateways together may send a service a limited number of repeats: a fraction of its
//! requests, and a fixed number on top. The fraction applies to each
//! gateway's own requests; the fixed number is divided among the gateways that the leader
//! counts.
//!
//! Invariant: a gateway's repeats in a window stay within its share of what its requests
//! in that same window allow, so the sum over gateways stays within the budget.

use std::collections::VecDeque;

use garnet_types::Millis;

/// The retry budget of a service that all gateways share, set by the operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRetryBudget {
    /// Repeats per request.
    pub per_request: f64,
    /// Fixed number of repeats in a window.
    pub extra: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Fraction of the allowance that is used. The number of gateways changes, and a slightly
/// outdated count must not lead to more repeats than allowed.
const SAFE_FRACTION: f64 = 0.75;
/// Fraction of the fixed number that a gateway may use as soon as it starts.
const INITIAL_FRACTION: f64 = 0.4;
/// Number of slots in a window.
const SLOTS: u64 = 20;

/// Counts of one slot.
#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Requests and repeats that one gateway sent to one service within the window.
#[derive(Debug, Clone)]
pub(crate) struct ServiceBudget {
    began_at: Millis,
    slots: VecDeque<Slot>,
}

impl ServiceBudget {
    /// Creates a budget that starts now. What this gateway spent before a restart is
    /// unknown, so its share of the fixed number grows over one window.
    pub(crate) fn starting_at(now: Millis) -> Self {
        ServiceBudget {
            began_at: now,
            slots: VecDeque::new(),
        }
    }

    /// Counts a first attempt.
    pub(crate) fn earn(&mut self, budget: &SharedRetryBudget, now: Millis) {
        self.current_slot(budget, now).requests += 1;
    }

    /// Spends one repeat; returns `false` if none is left.
    pub(crate) fn spend(&mut self, budget: &SharedRetryBudget, gateways: u64, now: Millis) -> bool {
        let allowed = self.has_left(budget, gateways, now);
        if allowed {
            self.current_slot(budget, now).repeats += 1;
        }
        allowed
    }

    /// Whether a repeat is left.
    pub(crate) fn has_left(
        &mut self,
        budget: &SharedRetryBudget,
        gateways: u64,
        now: Millis,
    ) -> bool {
        self.current_slot(budget, now);
        let spent: u64 = self.slots.iter().map(|slot| slot.repeats).sum();
        spent as f64 + 1.0 <= self.allowance(budget, gateways, now)
    }

    fn allowance(&self, budget: &SharedRetryBudget, gateways: u64, now: Millis) -> f64 {
        let current = slot_number(budget, now);
        // Only a part of the oldest slot lies within the window: its repeats count, its
        // requests do not.
        let fully_inside = |slot: &&Slot| slot.number + SLOTS > current;
        let requests: u64 = self
            .slots
            .iter()
            .filter(fully_inside)
            .map(|slot| slot.requests)
            .sum();
        let observed_windows = now.since(self.began_at).0 as f64 / budget.window.0.max(1) as f64;
        let extra =
            budget.extra / gateways.max(1) as f64 * observed_windows.clamp(INITIAL_FRACTION, 1.0);
        SAFE_FRACTION * (budget.per_request * requests as f64 + extra)
    }

    fn current_slot(&mut self, budget: &SharedRetryBudget, now: Millis) -> &mut Slot {
        let number = slot_number(budget, now);
        let is_expired = |slot: &Slot| slot.number + SLOTS < number;
        while self.slots.front().is_some_and(is_expired) {
            self.slots.pop_front();
        }
        let is_current = self.slots.back().is_some_and(|slot| slot.number == number);
        if !is_current {
            self.slots.push_back(Slot {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

fn slot_number(budget: &SharedRetryBudget, now: Millis) -> u64 {
    now.0 * SLOTS / budget.window.0.max(1)
}
