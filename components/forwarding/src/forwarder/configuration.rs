//! The configuration in force at a gateway. It never reverts to an older one.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use garnet_control::{
    Configuration, ConfigurationChange, ConfigurationPart, PartOutcome, PartRequest, WatchUpdate,
};
use garnet_routes::{CallerLimits, RouteIndex};
use garnet_types::{BackendId, EncodingVersion, Millis};

use crate::backend_groups::group_key;
use crate::backends::Backend;

use super::Forwarder;

/// An unconfirmed configuration is dropped if no leader has confirmed it within this
/// time.
const MAX_UNCONFIRMED_AGE: Millis = Millis::from_secs(10);

impl Forwarder {
    /// Handles the leader's offer to send the full configuration of this index in parts.
    /// Returns the part to request, if none is in flight.
    pub fn on_parts_offered(&mut self, index: u64, now: Millis) -> Option<PartRequest> {
        self.loader.on_offer(index, now)
    }

    /// Takes a part of the full configuration. Returns the next part to request.
    pub fn take_configuration_part(
        &mut self,
        part: ConfigurationPart,
        now: Millis,
    ) -> Option<PartRequest> {
        match self.loader.take(part, now) {
            PartOutcome::Next(next) => return Some(next),
            PartOutcome::Complete(full) => self.take_full_configuration(full),
            PartOutcome::Ignored => {}
        }
        None
    }

    /// Records that a new connection to the leader was opened, with this encoding version.
    pub fn connected(&mut self, version: EncodingVersion, now: Millis) {
        self.loader.on_connected();
        self.on_leader_change(now);
        self.limits.connected();
        self.set_permits_granted(version >= EncodingVersion::V16);
        self.crash_log
            .set_uses_report_connection(version < EncodingVersion::V16);
    }

    /// Applies an update of the leader. A configuration older than the one in force is
    /// ignored, so that nothing reverts.
    pub fn update(&mut self, update: WatchUpdate) {
        match update {
            WatchUpdate::UnderWay | WatchUpdate::Parts { .. } => {}
            WatchUpdate::Current => self.unconfirmed_since = None,
            WatchUpdate::Snapshot(full) => self.take_full_configuration(full.into_inner()),
            WatchUpdate::Changes { from, to, changes } => self.take_changes(from, to, &changes),
        }
    }

    fn take_full_configuration(&mut self, full: Configuration) {
        self.unconfirmed_since = None;
        if full.index >= self.configuration.index {
            self.configuration = full;
            self.apply_configuration();
        }
    }

    fn take_changes(&mut self, from: u64, to: u64, changes: &[(u64, ConfigurationChange)]) {
        self.unconfirmed_since = None;
        let known = self.configuration.index;
        if from > known || to < known {
            return;
        }
        let mut changed = Vec::new();
        for (index, change) in changes.iter().filter(|(index, _)| *index > known) {
            self.configuration.change(*index, change);
            changed.extend(change.backend().cloned());
        }
        self.apply_rest();
        self.apply_backends(&changed);
    }

    /// Takes the last configuration of a replica while there is no leader, if none is
    /// known here: a gateway that has just started need not wait for a leader. Until a
    /// leader confirms it, unknown routes are not denied, and the fixed number of the
    /// retry budgets is not used.
    pub fn take_unconfirmed(&mut self, configuration: Arc<Configuration>, now: Millis) {
        if self.configuration.index == 0 {
            self.unconfirmed_since = Some(now);
            self.configuration = Arc::unwrap_or_clone(configuration);
            self.apply_configuration();
        }
    }

    /// Drops an unconfirmed configuration that is too old.
    pub fn forget_unconfirmed(&mut self, now: Millis) {
        let is_old = |since| now.since(since) > MAX_UNCONFIRMED_AGE;
        if self.unconfirmed_since.is_some_and(is_old) {
            self.unconfirmed_since = None;
            self.configuration = Configuration::default();
            self.routes = RouteIndex::default();
            self.share_connections();
            self.apply_configuration();
        }
    }

    /// Whether a leader has confirmed the configuration in force here.
    pub fn is_confirmed(&self) -> bool {
        self.configuration.index > 0 && self.unconfirmed_since.is_none()
    }

    /// Sets the number of gateways that share the retry budgets.
    pub fn set_gateways(&mut self, gateways: u64) {
        self.gateways = gateways.max(1);
    }

    /// The last known number of gateways that share the retry budgets.
    pub fn gateways(&self) -> u64 {
        self.gateways
    }

    /// Log index of the configuration in force here.
    pub fn configuration_index(&self) -> u64 {
        self.configuration.index
    }

    /// Version of the route table in force here.
    pub fn routes_version(&self) -> Option<u64> {
        Some(self.configuration.routes.as_ref()?.version)
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.routes.table().limits
    }

    fn apply_configuration(&mut self) {
        self.apply_rest();
        let known = self.backends.keys();
        let named = self.configuration.backends.keys();
        let all: BTreeSet<BackendId> = known.chain(named).cloned().collect();
        self.apply_backends(&Vec::from_iter(all));
    }

    /// Applies everything but the back ends.
    fn apply_rest(&mut self) {
        if let Some(table) = &self.configuration.routes
            && table.version != self.routes.table().version
        {
            self.routes = RouteIndex::new((**table).clone());
            let routes = table.routes.iter().map(|route| route.name.as_str());
            let names: HashSet<&str> = routes.collect();
            self.answer_times
                .retain(|name, _| names.contains(name.as_str()));
            self.share_connections();
        }
        let quarantined = self.configuration.quarantine.keys().copied();
        for released in self.crash_log.update_quarantined(quarantined) {
            self.prompt_log.release(released);
        }
    }

    /// Applies the records of these back ends; all others are unchanged.
    fn apply_backends(&mut self, changed: &[BackendId]) {
        let mut members_changed = false;
        for id in changed {
            self.records_applied += 1;
            let record = self.configuration.backends.get(id);
            match (record, self.backends.get_mut(id)) {
                (Some(record), Some(backend)) => {
                    let old_key = group_key(backend);
                    if backend.update(record) {
                        self.residency.remove(id);
                        self.limits.forget(id);
                        backend.has_limit = false;
                    }
                    self.groups.update_group(&old_key, backend);
                    if let Some(residency) = self.residency.get_mut(id) {
                        residency.share_lifetime(self.groups.cache_lifetime(backend));
                    }
                }
                (Some(record), None) => {
                    members_changed = true;
                    let mut backend = Backend::new(record);
                    backend.build = self.builds.get(id).cloned();
                    self.backends.insert(id.clone(), backend);
                    self.note_whether_limited(id);
                    self.share_connections_of(id);
                }
                (None, Some(_)) => {
                    members_changed = true;
                    self.backends.remove(id);
                    self.builds.remove(id);
                    self.residency.remove(id);
                    self.limits.forget(id);
                }
                (None, None) => {}
            }
        }
        if members_changed {
            self.groups.update_members(&mut self.backends);
        }
    }

    /// Number of back-end records applied so far, a measure of the cost of configuration
    /// changes.
    pub fn records_applied(&self) -> u64 {
        self.records_applied
    }
}
