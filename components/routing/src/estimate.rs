//! What a gateway believes of an engine between two late reports.
//!
//! A report is corrected by the gateway's own work that it can't contain yet,
//! so that a burst does not run at the one engine that looked idle a second
//! ago, and it decays at the engine's own speed.

use std::collections::BTreeMap;

use garnet_types::{EngineCapacity, Millis};

use crate::cost::EngineSnapshot;
use crate::report::LoadReport;

/// Work that this gateway has sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnWork {
    /// Prompt tokens that the engine has to read.
    pub prompt_tokens: u64,
    /// Whether the request will occupy a decode slot there.
    pub decodes: bool,
    /// When it was sent.
    pub sent_at: Millis,
    /// Whether the prompt is known to be read.
    pub prompt_read: bool,
}

/// Belief about one engine. `K` names a job of its own.
#[derive(Debug, Clone)]
pub struct EngineEstimate<K: Ord> {
    capacity: EngineCapacity,
    reported_prompt_tokens: f64,
    reported_sequences: f64,
    /// Moment that the report describes, by this gateway's clock.
    described_at: Millis,
    own: BTreeMap<K, OwnWork>,
}

impl<K: Ord> Default for EngineEstimate<K> {
    fn default() -> Self {
        EngineEstimate {
            capacity: EngineCapacity::default(),
            reported_prompt_tokens: 0.0,
            reported_sequences: 0.0,
            described_at: Millis::ZERO,
            own: BTreeMap::new(),
        }
    }
}

impl<K: Ord> EngineEstimate<K> {
    /// Takes a report that arrived at `now`. One that describes an earlier
    /// moment than the last is ignored.
    pub fn observe(&mut self, report: &LoadReport, now: Millis) {
        let described_at = now.since(Millis(report.age_ms));
        if described_at < self.described_at {
            return;
        }
        self.described_at = described_at;
        self.capacity = report.capacity;
        self.reported_prompt_tokens = report.queued_prompt_tokens as f64;
        self.reported_sequences = report.active_sequences as f64;
    }

    /// Notes work sent to the engine.
    pub fn sent(&mut self, key: K, work: OwnWork) {
        self.own.insert(key, work);
    }

    /// Notes that the prompt of a job is read.
    pub fn prompt_read(&mut self, key: &K) {
        if let Some(work) = self.own.get_mut(key) {
            work.prompt_read = true;
        }
    }

    /// Notes that a job is over.
    pub fn ended(&mut self, key: &K) {
        self.own.remove(key);
    }

    /// Speed that the engine last stated.
    pub fn capacity(&self) -> EngineCapacity {
        self.capacity
    }

    /// Own jobs that are not over.
    pub fn in_flight(&self) -> usize {
        self.own.len()
    }

    /// The belief at `now`.
    pub fn snapshot(&self, now: Millis) -> EngineSnapshot {
        let rate = self.capacity.prefill_tokens_per_second;
        let elapsed = now.since(self.described_at).as_secs_f64();
        let unreported = self.unreported_prompt_tokens();
        // Reported work is read before what was sent after it.
        let total = self.reported_prompt_tokens + unreported;
        let remaining = (total - elapsed * rate).max(0.0);
        let own_unread = self.own_unread_prompt_tokens();
        let sequences = self.reported_sequences + self.unreported_sequences();
        EngineSnapshot {
            queued_prompt_tokens: remaining.max(own_unread.min(total)),
            active_sequences: sequences.max(self.own_sequences()),
            capacity: self.capacity,
        }
    }

    fn unreported(&self) -> impl Iterator<Item = &OwnWork> {
        self.own
            .values()
            .filter(|work| work.sent_at >= self.described_at)
    }

    fn unreported_prompt_tokens(&self) -> f64 {
        self.unreported()
            .filter(|work| !work.prompt_read)
            .map(|work| work.prompt_tokens as f64)
            .sum()
    }

    fn unreported_sequences(&self) -> f64 {
        self.unreported().filter(|work| work.decodes).count() as f64
    }

    fn own_sequences(&self) -> f64 {
        self.own.values().filter(|work| work.decodes).count() as f64
    }

    /// Own prompts known to be unread bound the decay from below, less the one
    /// that the engine may be in the middle of.
    fn own_unread_prompt_tokens(&self) -> f64 {
        let unread = self.own.values().filter(|work| !work.prompt_read);
        let tokens: Vec<u64> = unread.map(|work| work.prompt_tokens).collect();
        let largest = tokens.iter().max().copied().unwrap_or(0);
        (tokens.iter().sum::<u64>() - largest) as f64
    }
}
