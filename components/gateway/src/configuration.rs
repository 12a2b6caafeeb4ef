//! The configuration that the gateway works by, and its lease on it.

use garnet_control::{CONFIGURATION_LEASE, Configuration, ConfigurationLoader, WatchUpdate};
use garnet_policy::{Policy, PolicySet};
use garnet_types::Millis;

/// Configuration, compiled policies and lease.
#[derive(Default)]
pub(crate) struct WatchedConfiguration {
    pub(crate) configuration: Configuration,
    pub(crate) policies: PolicySet,
    /// Highest index that is on disk: what is told to the leader.
    pub(crate) persisted_index: u64,
    /// Highest index that any start of this gateway worked by.
    highest_index: u64,
    lease_until: Millis,
    /// A whole configuration that comes in parts.
    pub(crate) loader: ConfigurationLoader,
    /// When the watch was sent that gave the newest answer.
    pub(crate) answered_watch_sent_at: Option<Millis>,
}

impl WatchedConfiguration {
    pub(crate) fn new(highest_index: u64) -> Self {
        WatchedConfiguration {
            highest_index,
            ..WatchedConfiguration::default()
        }
    }

    /// Whether new work may be taken at `now`.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until
    }

    /// Takes the answer to a watch that was sent at `sent_at`. Returns the new
    /// index when it rose.
    pub(crate) fn apply_watch_answer(
        &mut self,
        sent_at: Millis,
        update: WatchUpdate,
    ) -> Option<u64> {
        let previous_index = self.configuration.index;
        if !self.apply(update) {
            return None;
        }
        self.lease_until = self.lease_until.max(sent_at + CONFIGURATION_LEASE);
        self.answered_watch_sent_at = self.answered_watch_sent_at.max(Some(sent_at));
        self.highest_index = self.highest_index.max(self.configuration.index);
        (self.configuration.index > previous_index).then_some(self.configuration.index)
    }

    /// Applies an update. `false` when it does not build on what is here or
    /// would go back: it gives no lease then.
    fn apply(&mut self, update: WatchUpdate) -> bool {
        match update {
            // Only said of an index that this gateway named, and had on disk.
            WatchUpdate::Current => self.configuration.index >= self.highest_index,
            // What it works by until then may not be in force any more.
            WatchUpdate::UnderWay | WatchUpdate::Parts { .. } => false,
            WatchUpdate::Changes { from, to, changes } => {
                let is_contiguous =
                    from <= self.configuration.index && self.configuration.index > 0;
                if !is_contiguous || to < self.highest_index {
                    return false;
                }
                // Changes are idempotent, and one command may make several
                // at one index, so only those from before are left out.
                let applied_index = self.configuration.index;
                for (index, change) in changes.iter().filter(|(index, _)| *index > applied_index) {
                    self.configuration.change(*index, change);
                }
                self.configuration.index = self.configuration.index.max(to);
                self.compile_policies();
                true
            }
            WatchUpdate::Snapshot(configuration) => {
                if configuration.index < self.highest_index {
                    return false;
                }
                self.configuration = configuration.into_inner();
                self.compile_policies();
                true
            }
        }
    }

    /// Takes a whole configuration that came in parts. Gives the new index when it
    /// rose; the lease comes with the next answer to a watch.
    pub(crate) fn apply_full_configuration(&mut self, configuration: Configuration) -> Option<u64> {
        let index = configuration.index;
        if index < self.highest_index || index <= self.configuration.index {
            return None;
        }
        self.configuration = configuration;
        self.highest_index = index;
        self.compile_policies();
        Some(index)
    }

    /// A document was checked when it was accepted; one that this version
    /// can't compile is left out, and its requests get the safe verdict.
    fn compile_policies(&mut self) {
        self.policies.clear();
        for (name, record) in &self.configuration.policies {
            if let Ok(policy) = Policy::compile(name, &record.document) {
                self.policies.put(name, policy);
            }
        }
    }
}
