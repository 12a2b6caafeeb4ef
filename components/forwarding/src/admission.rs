//! Admission control: a request is sent to an engine now, deferred behind all other work, or
//! refused.
//!
//! An engine with more queued prefill than it can finish while answers are still useful
//! makes all of them late. A request that can't be in time is therefore prefilled after
//! those that can, so that it delays no other. A request whose caller would give up
//! before its first token is refused at once, with a time to retry after. If no decode
//! slot is free, waiting is wasted: a caller that has not retried yet is told when a slot
//! will be free.

use garnet_types::Millis;

/// The predicted times of a request at its best engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Prediction {
    /// Time of the request's own prefill.
    pub(crate) prefill_ms: f64,
    /// Wait for queued prompts of the same or a more urgent engine priority.
    pub(crate) ahead_ms: f64,
    /// Wait for all queued prompts.
    pub(crate) all_queued_ms: f64,
    /// Wait for a decode slot.
    pub(crate) slot_ms: f64,
    /// Time for which decode slots will be taken by callers that were told to retry.
    pub(crate) retries_ms: f64,
}

/// The callers that were told to retry, by the time when each is due.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingRetries {
    due: Vec<Millis>,
}

impl PendingRetries {
    /// Adds a caller that is due to retry at `due`.
    pub(crate) fn add(&mut self, due: Millis, now: Millis) {
        self.due.retain(|due| *due > now);
        self.due.push(due);
    }

    /// The number of callers that are still to retry.
    pub(crate) fn pending(&self, now: Millis) -> usize {
        self.due.iter().filter(|due| **due > now).count()
    }
}

/// The times of a request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time since the request arrived.
    pub waited: Millis,
    /// Time for which the caller still waits for the first event.
    pub remaining: Millis,
    /// Time for which the caller still waits for the whole answer.
    pub deadline: Millis,
    /// Whether the request is a retry: a part of the caller's time was already used when
    /// it arrived.
    pub is_retry: bool,
}

/// The decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request.
    Admit,
    /// Send the request with the lowest priority, after all that may still be in time.
    Defer,
    /// Refuse the request.
    Refuse {
        /// When the caller should retry.
        retry_after: Millis,
        /// Predicted time to the first event.
        predicted: Millis,
    },
}

/// A wait of up to this fraction of the objective doesn't count, so that nothing is
/// deferred or refused while engines are free.
const SHORT_WAIT_FRACTION: f64 = 0.25;
/// Multiple of the objective above which a predicted time counts as late. Half of the
/// requests that are predicted to be just late are in time, and deferring one of these
/// costs more than prefilling one that is late.
const LATE_FACTOR: f64 = 1.5;
/// Fraction of the caller's remaining time within which it is asked to retry.
const MAX_RETRY_FRACTION: f64 = 0.3;
/// Fraction of the objective that queued work may still take up when the caller retries.
const RETRY_QUEUE_FRACTION: f64 = 0.5;
/// Shortest time after which a caller is asked to retry.
pub const MIN_RETRY_AFTER: Millis = Millis(50);

/// Decides on a request whose first event is useful within `objective`.
pub(crate) fn admit(prediction: &Prediction, objective: Millis, arrival: &Arrival) -> Admission {
    let objective_ms = objective.0 as f64;
    let wait_ms = prediction.ahead_ms + prediction.slot_ms;
    let first_token_ms = arrival.waited.0 as f64 + prediction.prefill_ms + wait_ms;
    if wait_ms <= objective_ms * SHORT_WAIT_FRACTION || first_token_ms <= objective_ms * LATE_FACTOR
    {
        return Admission::Admit;
    }
    let deferred_ms = prediction.prefill_ms + prediction.all_queued_ms + prediction.slot_ms;
    let would_time_out = deferred_ms > arrival.remaining.0 as f64;
    let waits_for_slot = prediction.slot_ms > objective_ms * SHORT_WAIT_FRACTION;
    if !would_time_out && (arrival.is_retry || !waits_for_slot) {
        return Admission::Defer;
    }
    let excess_ms = first_token_ms + prediction.retries_ms - objective_ms * RETRY_QUEUE_FRACTION;
    let longest = Millis((arrival.deadline.0 as f64 * MAX_RETRY_FRACTION) as u64);
    Admission::Refuse {
        retry_after: Millis(excess_ms as u64).min(longest).max(MIN_RETRY_AFTER),
        predicted: Millis(deferred_ms as u64),
    }
}
