//! The latest changes of the configuration, bounded in number and in bytes.
//!
//! Contract: all changes after [`KeptChanges::complete_after`] are kept, except for route
//! tables that a later change replaced, which are never sent.

use std::collections::VecDeque;

use crate::configuration::ConfigurationChange;

/// Maximum size of the changes that are kept. A gateway that is farther behind gets the
/// full configuration.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// A change and the log index that made it.
pub(crate) type IndexedChange = (u64, ConfigurationChange);

#[derive(Debug, Clone, Default)]
pub(crate) struct KeptChanges {
    changes: VecDeque<IndexedChange>,
    bytes: usize,
    complete_after: u64,
}

impl KeptChanges {
    /// Starts without the changes up to `index`.
    pub(crate) fn starting_at(index: u64) -> Self {
        KeptChanges {
            complete_after: index,
            ..KeptChanges::default()
        }
    }

    /// All changes after this index are kept.
    pub(crate) fn complete_after(&self) -> u64 {
        self.complete_after
    }

    /// Adds a change, and drops the oldest ones beyond `max_changes` and [`MAX_KEPT_BYTES`].
    pub(crate) fn push(&mut self, index: u64, change: ConfigurationChange, max_changes: usize) {
        if is_route_table(&change) {
            self.drop_route_tables();
        }
        self.bytes += kept_bytes(&change);
        self.changes.push_back((index, change));
        while self.changes.len() > max_changes || self.bytes > MAX_KEPT_BYTES {
            self.drop_oldest();
        }
    }

    fn drop_route_tables(&mut self) {
        let bytes = &mut self.bytes;
        self.changes.retain(|(_, change)| {
            let is_replaced = is_route_table(change);
            if is_replaced {
                *bytes -= kept_bytes(change);
            }
            !is_replaced
        });
    }

    /// The changes after `index`, oldest first.
    pub(crate) fn since(&self, index: u64) -> impl Iterator<Item = &IndexedChange> + Clone {
        self.changes.iter().filter(move |(at, _)| *at > index)
    }

    /// The number of changes after `index`, but at most `limit`.
    pub(crate) fn count_since(&self, index: u64, limit: usize) -> usize {
        let newer = self.changes.iter().rev().take_while(|(at, _)| *at > index);
        newer.take(limit).count()
    }

    fn drop_oldest(&mut self) {
        if let Some((index, change)) = self.changes.pop_front() {
            self.bytes -= kept_bytes(&change);
            self.complete_after = index;
        }
    }
}

fn is_route_table(change: &ConfigurationChange) -> bool {
    matches!(change, ConfigurationChange::RoutesPut(_))
}

/// Bytes that a change takes here. The only route table that is kept is the one in force,
/// which the configuration shares.
fn kept_bytes(change: &ConfigurationChange) -> usize {
    match change {
        ConfigurationChange::RoutesPut(_) => size_of::<IndexedChange>(),
        other => other.len_bytes(),
    }
}
