//! The gateway's configuration and the lease on it.

use garnet_control::{CONFIGURATION_LEASE, Configuration, ConfigurationLoader, WatchUpdate};
use garnet_policy::{Policy, PolicySet};
use garnet_types::Millis;

/// The current configuration, its compiled policies and its lease.
#[derive(Default)]
pub(crate) struct WatchedConfiguration {
    pub(crate) configuration: Configuration,
    pub(crate) policies: PolicySet,
    /// Highest index on disk, which is reported to the leader.
    pub(crate) persisted_index: u64,
    /// Highest index that this gateway has used, including earlier starts of the process.
    highest_index: u64,
    lease_until: Millis,
    /// Assembles a full configuration that is received in parts.
    pub(crate) loader: ConfigurationLoader,
    /// When the latest answered watch was sent.
    pub(crate) answered_watch_sent_at: Option<Millis>,
}

impl WatchedConfiguration {
    pub(crate) fn new(highest_index: u64) -> Self {
        WatchedConfiguration {
            highest_index,
            ..WatchedConfiguration::default()
        }
    }

    /// Whether the lease is valid at `now`, so that new requests may be accepted.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until
    }

    /// Applies the answer to a watch that was sent at `sent_at`. Returns the new index if it
    /// increased.
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

    /// Applies an update. Returns `false`, and extends no lease, if the update doesn't follow
    /// the current configuration or is older than the highest index.
    fn apply(&mut self, update: WatchUpdate) -> bool {
        match update {
            // The leader confirms only an index that this gateway sent and had on disk.
            WatchUpdate::Current => self.configuration.index >= self.highest_index,
            // Until the new configuration arrives, the current one may be outdated.
            WatchUpdate::UnderWay | WatchUpdate::Parts { .. } => false,
            WatchUpdate::Changes { from, to, changes } => {
                let is_contiguous =
                    from <= self.configuration.index && self.configuration.index > 0;
                if !is_contiguous || to < self.highest_index {
                    return false;
                }
                // Changes are idempotent, and one command may make several changes at one
                // index, so all changes after the current index are applied.
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

    /// Applies a full configuration that was received in parts. Returns the new index if it
    /// increased. The lease is extended by the next answer to a watch.
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

    /// Compiles the policies. Documents were checked when they were accepted; one that this
    /// version can't compile is skipped, and its requests get the safe default verdict.
    fn compile_policies(&mut self) {
        self.policies.clear();
        for (name, record) in &self.configuration.policies {
            if let Ok(policy) = Policy::compile(name, &record.document) {
                self.policies.put(name, policy);
            }
        }
    }
}
