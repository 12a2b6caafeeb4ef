//! A gateway's estimate of an engine's load between two delayed reports.
//!
//! The gateway adds its own work that the report can't contain yet, so that a burst does not go to
//! the one engine that looked idle a second ago. The reported queue shrinks at the engine's speed.

use std::collections::BTreeMap;

use garnet_types::{EngineCapacity, Millis};

use crate::cost::EngineSnapshot;
use crate::report::LoadReport;

/// Work that this gateway has sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlightWork {
    /// Prompt tokens that the engine has to prefill.
    pub prompt_tokens: u64,
    /// Whether the request will occupy a decode slot there.
    pub decodes: bool,
    /// When the work was sent.
    pub sent_at: Millis,
    /// Whether the prompt is known to be prefilled.
    pub prefilled: bool,
}

/// Estimated load of one engine. `K` identifies the gateway's own work.
#[derive(Debug, Clone)]
pub struct EngineEstimate<K: Ord> {
    capacity: EngineCapacity,
    reported_prompt_tokens: f64,
    reported_sequences: f64,
    /// When the report's figures were taken, by this gateway's clock.
    measured_at: Millis,
    in_flight_work: BTreeMap<K, InFlightWork>,
}

impl<K: Ord> Default for EngineEstimate<K> {
    fn default() -> Self {
        EngineEstimate {
            capacity: EngineCapacity::default(),
            reported_prompt_tokens: 0.0,
            reported_sequences: 0.0,
            measured_at: Millis::ZERO,
            in_flight_work: BTreeMap::new(),
        }
    }
}

impl<K: Ord> EngineEstimate<K> {
    /// Applies a report that arrived at `now`, unless its figures are older than those of the last.
    pub fn observe(&mut self, report: &LoadReport, now: Millis) {
        let measured_at = now.since(Millis(report.age_ms));
        if measured_at < self.measured_at {
            return;
        }
        self.measured_at = measured_at;
        self.capacity = report.capacity;
        self.reported_prompt_tokens = report.queued_prompt_tokens as f64;
        self.reported_sequences = report.active_sequences as f64;
    }

    /// Records work sent to the engine.
    pub fn sent(&mut self, key: K, work: InFlightWork) {
        self.in_flight_work.insert(key, work);
    }

    /// Records that the prompt of a job is prefilled.
    pub fn prompt_prefilled(&mut self, key: &K) {
        if let Some(work) = self.in_flight_work.get_mut(key) {
            work.prefilled = true;
        }
    }

    /// Records the end of a job.
    pub fn ended(&mut self, key: &K) {
        self.in_flight_work.remove(key);
    }

    /// Last reported speed of the engine.
    pub fn capacity(&self) -> EngineCapacity {
        self.capacity
    }

    /// Number of own jobs in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight_work.len()
    }

    /// The estimate at `now`.
    pub fn snapshot(&self, now: Millis) -> EngineSnapshot {
        let rate = self.capacity.prefill_tokens_per_second;
        let elapsed = now.since(self.measured_at).as_secs_f64();
        let unreported = self.unreported_prompt_tokens();
        // Reported prompts are prefilled before those sent later.
        let total = self.reported_prompt_tokens + unreported;
        let remaining = (total - elapsed * rate).max(0.0);
        let own_pending = self.own_pending_prompt_tokens();
        let sequences = self.reported_sequences + self.unreported_sequences();
        EngineSnapshot {
            queued_prompt_tokens: remaining.max(own_pending.min(total)),
            active_sequences: sequences.max(self.own_sequences()),
            capacity: self.capacity,
        }
    }

    /// Own work that was sent after the report's figures were taken.
    fn unreported(&self) -> impl Iterator<Item = &InFlightWork> {
        self.in_flight_work
            .values()
            .filter(|work| work.sent_at >= self.measured_at)
    }

    fn unreported_prompt_tokens(&self) -> f64 {
        self.unreported()
            .filter(|work| !work.prefilled)
            .map(|work| work.prompt_tokens as f64)
            .sum()
    }

    fn unreported_sequences(&self) -> f64 {
        self.unreported().filter(|work| work.decodes).count() as f64
    }

    fn own_sequences(&self) -> f64 {
        self.in_flight_work
            .values()
            .filter(|work| work.decodes)
            .count() as f64
    }

    /// Tokens of own prompts that are not prefilled, a lower bound for the queue. The largest
    /// prompt is left out, since its prefill may be in progress.
    fn own_pending_prompt_tokens(&self) -> f64 {
        let pending = self.in_flight_work.values().filter(|work| !work.prefilled);
        let tokens: Vec<u64> = pending.map(|work| work.prompt_tokens).collect();
        let largest = tokens.iter().max().copied().unwrap_or(0);
        (tokens.iter().sum::<u64>() - largest) as f64
    }
}
