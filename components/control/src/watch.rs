//! Recent changes of the configuration, and the updates that bring gateways up to date.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis};

use crate::configuration::{Configuration, ConfigurationChange};
use crate::configuration_transfer::{BACKENDS_IN_PART, ConfigurationPart, PartRequest, Parts};
use crate::kept_changes::{IndexedChange, KeptChanges};
use crate::messages::WatchUpdate;
use crate::shared::Shared;

/// Minimum number of changes that are kept; in a larger fleet, as many as there are back
/// ends. A gateway that is farther behind gets the full configuration, which is smaller
/// than its missing changes.
const MIN_KEPT_CHANGES: usize = 4096;
/// Maximum size of the lists of changes that are kept encoded; beyond it they are built anew.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;
/// The parts of a configuration are handed out until it is this many changes behind; the
/// changes then follow in one message of about 30 KB. So during a start, while the log
/// keeps growing, hundreds of gateways are sent the same encoded parts.
const MAX_CHANGES_BEHIND: usize = 1024;

/// An update counts as lost if the gateway's watch requests do not confirm it within this
/// time, in which it sends two of them, plus [`UPDATE_TIMEOUT_PER_CHANGE`] for each change.
const UPDATE_TIMEOUT: Millis = Millis(500);
/// Time that one change takes on a link of 100 KB/s.
const UPDATE_TIMEOUT_PER_CHANGE: Millis = Millis(2);

/// The latest update sent to each gateway, so that an update in flight is not sent again
/// in answer to each watch request.
#[derive(Debug, Default)]
pub(crate) struct SentUpdates {
    sent: BTreeMap<GatewayId, Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    /// Connection of the update; updates on one connection arrive in order.
    connection: u64,
    /// Index of the gateway's configuration once the update has arrived.
    index: u64,
    /// When the update counts as lost.
    lost_at: Millis,
}

impl SentUpdates {
    /// The index that the next update applies to, for a gateway that reports
    /// `reported_index` as the index of its configuration.
    fn base(&self, gateway: &GatewayId, connection: u64, reported_index: u64, now: Millis) -> u64 {
        let in_flight = |sent: &&Sent| {
            sent.connection == connection && sent.index > reported_index && now < sent.lost_at
        };
        let sent = self.sent.get(gateway).filter(in_flight);
        sent.map_or(reported_index, |sent| sent.index)
    }

    /// The update for a gateway that reports `reported_index` as the index of its
    /// configuration.
    pub(crate) fn update_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        reported_index: u64,
        now: Millis,
        recent: &mut RecentChanges,
        configuration: &Configuration,
    ) -> WatchUpdate {
        let base = self.base(gateway, connection, reported_index, now);
        let update = recent.update_for(base, configuration);
        match update {
            WatchUpdate::Current if base > reported_index => return WatchUpdate::UnderWay,
            // Parts are tracked by the gateway, which requests them itself.
            WatchUpdate::Current | WatchUpdate::Parts { .. } => return update,
            _ => {}
        }
        let sent = Sent {
            connection,
            index: configuration.index,
            lost_at: now + UPDATE_TIMEOUT + Millis(UPDATE_TIMEOUT_PER_CHANGE.0 * update.changes()),
        };
        self.sent.insert(gateway.clone(), sent);
        update
    }

    /// Forgets updates that have arrived or count as lost.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.sent.retain(|_, sent| now < sent.lost_at);
    }
}

/// The latest changes of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: KeptChanges,
    /// The newest configuration that was sent in one message, kept because many gateways
    /// ask for it at once when they all start.
    full: Option<Shared<Configuration>>,
    /// The configuration that is sent in parts.
    parts: Option<Parts>,
    /// Lists of changes sent since the last change, by the index that they start from;
    /// most gateways are at the same index.
    sent_changes: BTreeMap<u64, Shared<Vec<IndexedChange>>>,
    /// Size of these lists.
    sent_bytes: usize,
}

impl RecentChanges {
    /// Starts without the changes up to `index`.
    pub fn starting_at(index: u64) -> Self {
        RecentChanges {
            changes: KeptChanges::starting_at(index),
            full: None,
            parts: None,
            sent_changes: BTreeMap::new(),
            sent_bytes: 0,
        }
    }

    /// Adds a change of a configuration that has `backends` back ends.
    pub fn push(&mut self, index: u64, change: ConfigurationChange, backends: usize) {
        self.clear_sent();
        let max_changes = MIN_KEPT_CHANGES.max(backends);
        self.changes.push(index, change, max_changes);
    }

    /// The update that brings a gateway from index `from` up to date.
    pub fn update_for(&mut self, from: u64, configuration: &Configuration) -> WatchUpdate {
        if from == configuration.index {
            return WatchUpdate::Current;
        }
        let unknown = from < self.changes.complete_after() || from > configuration.index;
        if unknown || from == 0 {
            return self.full_update(configuration);
        }
        WatchUpdate::Changes {
            from,
            to: configuration.index,
            changes: self.since(from),
        }
    }
}

impl RecentChanges {
    /// Does the same as [`Self::update_for`], for a gateway whose version does not support
    /// parts.
    pub(crate) fn update_in_one(
        &mut self,
        from: u64,
        configuration: &Configuration,
    ) -> WatchUpdate {
        match self.update_for(from, configuration) {
            WatchUpdate::Parts { .. } => {
                WatchUpdate::Snapshot(self.full_configuration(configuration))
            }
            update => update,
        }
    }

    fn full_update(&mut self, configuration: &Configuration) -> WatchUpdate {
        if configuration.backends.len() <= BACKENDS_IN_PART {
            return WatchUpdate::Snapshot(self.full_configuration(configuration));
        }
        let index = self.parts(configuration).index();
        WatchUpdate::Parts { index }
    }

    /// A part of the configuration that is currently sent in parts.
    pub(crate) fn part(&self, request: PartRequest) -> Option<ConfigurationPart> {
        self.parts.as_ref()?.part(request)
    }

    fn parts(&mut self, configuration: &Configuration) -> &Parts {
        let previous = self.parts.take();
        let parts = previous.filter(|parts| self.is_recent(parts.index()));
        self.parts
            .insert(parts.unwrap_or_else(|| Parts::of(configuration)))
    }

    /// Returns whether at most [`MAX_CHANGES_BEHIND`] changes were made since the index.
    fn is_recent(&self, index: u64) -> bool {
        let newer = self.changes.count_since(index, MAX_CHANGES_BEHIND + 1);
        index >= self.changes.complete_after() && newer <= MAX_CHANGES_BEHIND
    }

    fn since(&mut self, from: u64) -> Shared<Vec<IndexedChange>> {
        if let Some(changes) = self.sent_changes.get(&from) {
            return changes.clone();
        }
        let changes = without_replaced(self.changes.since(from));
        let bytes: usize = changes.iter().map(|(_, change)| change.len_bytes()).sum();
        if self.sent_bytes + bytes > MAX_SENT_BYTES {
            self.clear_sent();
        }
        let changes = Shared::from(changes);
        self.sent_bytes += bytes;
        self.sent_changes.insert(from, changes.clone());
        changes
    }

    fn clear_sent(&mut self) {
        self.sent_changes.clear();
        self.sent_bytes = 0;
    }

    /// The full configuration, shared by all gateways that are sent it.
    pub fn full_configuration(&mut self, configuration: &Configuration) -> Shared<Configuration> {
        let same = |full: &&Shared<Configuration>| full.index == configuration.index;
        if let Some(full) = self.full.as_ref().filter(same) {
            return full.clone();
        }
        let full = Shared::from(configuration.clone());
        self.full = Some(full.clone());
        full
    }
}

/// The item that a change replaces completely.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Replaced<'a> {
    Routes,
    Backend(&'a BackendId),
}

fn replaced(change: &ConfigurationChange) -> Option<Replaced<'_>> {
    match change {
        ConfigurationChange::RoutesPut(_) => Some(Replaced::Routes),
        ConfigurationChange::BackendPut(record) => Some(Replaced::Backend(&record.registration.id)),
        ConfigurationChange::BackendRemoved(id) => Some(Replaced::Backend(id)),
        _ => None,
    }
}

/// The changes without superseded ones: of the changes to the route table and to each
/// back end only the newest is kept, as it replaces the earlier ones completely.
fn without_replaced<'a>(
    changes: impl Iterator<Item = &'a IndexedChange> + Clone,
) -> Vec<IndexedChange> {
    let mut newest = BTreeMap::new();
    for (position, (_, change)) in changes.clone().enumerate() {
        if let Some(replaced) = replaced(change) {
            newest.insert(replaced, position);
        }
    }
    let is_newest = |(position, (_, change)): &(usize, &IndexedChange)| {
        replaced(change).is_none_or(|replaced| newest.get(&replaced) == Some(position))
    };
    changes
        .enumerate()
        .filter(is_newest)
        .map(|(_, change)| change.clone())
        .collect()
}
