//! Whether a request is sent to an engine now, after all others, or not at all.
//!
//! An engine that has more to read than it can in the time in which answers
//! are useful makes all of them late. What can't be in time is prefilled after what
//! can, so that it makes nobody else late; what would end before it begins is
//! refused at once, with the time to come back. Where the places to generate
//! are taken, waiting would be in vain: who has not been here before is told
//! when one will be free.

use garnet_types::Millis;

/// What is predicted of a request at its best engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Prediction {
    /// Time of the prefill alone.
    pub(crate) alone_ms: f64,
    /// Wait for prompts of its rank and of more urgent ones.
    pub(crate) ahead_ms: f64,
    /// Wait for all prompts that are queued.
    pub(crate) all_queued_ms: f64,
    /// Wait for a place to generate.
    pub(crate) slot_ms: f64,
    /// Time in which the places are taken by callers who were told to come
    /// back.
    pub(crate) retries_ms: f64,
}

/// Callers who were told to come back, and when.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingRetries {
    due: Vec<Millis>,
}

impl PendingRetries {
    /// Notes a caller who comes back at `due`.
    pub(crate) fn add(&mut self, due: Millis, now: Millis) {
        self.due.retain(|due| *due > now);
        self.due.push(due);
    }

    /// Callers who are still to come.
    pub(crate) fn pending(&self, now: Millis) -> usize {
        self.due.iter().filter(|due| **due > now).count()
    }
}

/// A request that asks to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time since it came.
    pub waited: Millis,
    /// Time that its caller waits from now on for the first event.
    pub remaining: Millis,
    /// Time that its caller waits from now on for the whole answer.
    pub deadline: Millis,
    /// Whether the caller's time was used in part when it came: it was here
    /// before.
    pub is_retry: bool,
}

/// The decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it.
    Admit,
    /// Send it to be prefilled after all that may still be in time.
    Defer,
    /// Refuse it.
    Refuse {
        /// When to come back.
        retry_after: Millis,
        /// Predicted time to the first event.
        predicted: Millis,
    },
}

/// A wait below this part of the objective is none: nothing is deferred or
/// refused while engines are free.
const SHORT_WAIT_FRACTION: f64 = 0.25;
/// A request is taken for late when so many objectives are predicted: half of
/// those that are predicted to be just late are in time, and deferring one of
/// these costs more than prefilling one that is late.
const LATE_FACTOR: f64 = 1.5;
/// Callers come back within this part of the time that they have left.
const MAX_RETRY_FRACTION: f64 = 0.3;
/// Who comes back finds this part of the objective used by others.
const RETRY_OBJECTIVE_FRACTION: f64 = 0.5;
/// Shortest time after which a caller may come again.
pub const MIN_RETRY_AFTER: Millis = Millis(50);

/// Decides on a request whose first event is useful within `objective`.
pub(crate) fn admit(prediction: &Prediction, objective: Millis, arrival: &Arrival) -> Admission {
    let objective_ms = objective.0 as f64;
    let wait_ms = prediction.ahead_ms + prediction.slot_ms;
    let in_time_ms = arrival.waited.0 as f64 + prediction.alone_ms + wait_ms;
    if wait_ms <= objective_ms * SHORT_WAIT_FRACTION || in_time_ms <= objective_ms * LATE_FACTOR {
        return Admission::Admit;
    }
    let deferred_ms = prediction.alone_ms + prediction.all_queued_ms + prediction.slot_ms;
    let is_hopeless = deferred_ms > arrival.remaining.0 as f64;
    let waits_for_place = prediction.slot_ms > objective_ms * SHORT_WAIT_FRACTION;
    if !is_hopeless && (arrival.is_retry || !waits_for_place) {
        return Admission::Defer;
    }
    let excess_ms = in_time_ms + prediction.retries_ms - objective_ms * RETRY_OBJECTIVE_FRACTION;
    let longest = Millis((arrival.deadline.0 as f64 * MAX_RETRY_FRACTION) as u64);
    Admission::Refuse {
        retry_after: Millis(excess_ms as u64).min(longest).max(MIN_RETRY_AFTER),
        predicted: Millis(deferred_ms as u64),
    }
}
