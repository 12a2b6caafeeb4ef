//! The platform: a list of machines that lags, and a rate-limited weight store.

use std::collections::{BTreeMap, VecDeque};

use garnet_control::{BackendRegistration, MachineEntry};
use garnet_types::{BackendId, MachineState, Millis};

/// The list of machines. What is told is as old as the lag.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    lag: Millis,
    present: BTreeMap<BackendId, MachineEntry>,
    history: VecDeque<(Millis, Vec<MachineEntry>)>,
}

impl PlatformStandIn {
    /// An empty list that lags by `lag`.
    pub fn new(lag: Millis) -> Self {
        PlatformStandIn {
            lag,
            present: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }

    /// Adds a machine, or notes its new address.
    pub fn register(&mut self, registration: BackendRegistration, now: Millis) {
        let entry = MachineEntry {
            is_preemptible: false,
            registration,
            state: MachineState::Live,
            observed: None,
        };
        self.present.insert(entry.registration.id.clone(), entry);
        self.note(now);
    }

    /// Changes a machine's state. `false` when it is unknown.
    pub fn set_state(&mut self, id: &BackendId, state: MachineState, now: Millis) -> bool {
        let known = self.present.get_mut(id).map(|entry| entry.state = state);
        self.note(now);
        known.is_some()
    }

    /// Takes a machine off the list.
    pub fn remove(&mut self, id: &BackendId, now: Millis) {
        self.present.remove(id);
        self.note(now);
    }

    /// The list as it is told at `now`.
    pub fn machines(&self, now: Millis) -> Vec<MachineEntry> {
        let described = now.since(self.lag);
        self.history
            .iter()
            .rev()
            .find(|(at, _)| *at <= described)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn note(&mut self, now: Millis) {
        let list = self.present.values().cloned().collect();
        self.history.push_back((now, list));
        let oldest_needed = now.since(self.lag);
        while self.history.len() > 1 && self.history[1].0 <= oldest_needed {
            self.history.pop_front();
        }
    }
}

/// A store of weights that gives out so many models in a minute.
#[derive(Debug, Clone)]
pub struct WeightStore {
    interval: Millis,
    free_at: Millis,
}

impl WeightStore {
    /// One model every `interval`.
    pub fn new(interval: Millis) -> Self {
        WeightStore {
            interval,
            free_at: Millis::ZERO,
        }
    }

    /// Takes a turn.
    ///
    /// # Errors
    /// The time until the next turn.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        if now < self.free_at {
            return Err(self.free_at.since(now));
        }
        self.free_at = now + self.interval;
        Ok(())
    }
}
