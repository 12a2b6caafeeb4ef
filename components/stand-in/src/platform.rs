//! A stand-in for the platform: a list of machines that lags, and a rate-limited weight store.

use std::collections::{BTreeMap, VecDeque};

use garnet_control::{BackendRegistration, MachineEntry};
use garnet_types::{BackendId, BuildId, MachineState, Millis};

/// The list of machines. Readers get the list as it was one lag ago.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    lag: Millis,
    current: BTreeMap<BackendId, MachineEntry>,
    history: VecDeque<(Millis, Vec<MachineEntry>)>,
}

impl PlatformStandIn {
    /// Creates an empty list that lags by `lag`.
    pub fn new(lag: Millis) -> Self {
        PlatformStandIn {
            lag,
            current: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }

    /// Adds a machine, or replaces its entry.
    pub fn register(&mut self, registration: BackendRegistration, now: Millis) {
        let entry = MachineEntry {
            is_preemptible: false,
            build: BuildId::default(),
            registration,
            state: MachineState::Live,
            observed: None,
        };
        self.current.insert(entry.registration.id.clone(), entry);
        self.record(now);
    }

    /// Changes a machine's state. Returns `false` if the machine is unknown.
    pub fn set_state(&mut self, id: &BackendId, state: MachineState, now: Millis) -> bool {
        let known = self.current.get_mut(id).map(|entry| entry.state = state);
        self.record(now);
        known.is_some()
    }

    /// Removes a machine from the list.
    pub fn remove(&mut self, id: &BackendId, now: Millis) {
        self.current.remove(id);
        self.record(now);
    }

    /// The list that readers get at `now`.
    pub fn machines(&self, now: Millis) -> Vec<MachineEntry> {
        let listed_at = now.since(self.lag);
        self.history
            .iter()
            .rev()
            .find(|(at, _)| *at <= listed_at)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn record(&mut self, now: Millis) {
        let list = self.current.values().cloned().collect();
        self.history.push_back((now, list));
        let oldest_needed = now.since(self.lag);
        while self.history.len() > 1 && self.history[1].0 <= oldest_needed {
            self.history.pop_front();
        }
    }
}

/// A store of model weights that allows one load per interval.
#[derive(Debug, Clone)]
pub struct WeightStore {
    interval: Millis,
    /// When the next load is allowed.
    free_at: Millis,
}

impl WeightStore {
    /// Creates a store that allows one load every `interval`.
    pub fn new(interval: Millis) -> Self {
        WeightStore {
            interval,
            free_at: Millis::ZERO,
        }
    }

    /// Starts a load.
    ///
    /// # Errors
    /// The time until the next load is allowed.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        if now < self.free_at {
            return Err(self.free_at.since(now));
        }
        self.free_at = now + self.interval;
        Ok(())
    }
}
