//! The in-memory log, from some entry that a snapshot covers on.

use crate::entry::{Entry, EntryPayload, Membership};

/// Entries after a base index, which a snapshot covers, and the index up to which they are
/// durable.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedLog {
    base_index: u64,
    base_term: u64,
    entries: Vec<Entry>,
    persisted_index: u64,
}

impl ReplicatedLog {
    /// Restores a log from disk; all of its entries are durable.
    pub fn restored(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let persisted_index = entries.last().map_or(base_index, |entry| entry.index);
        ReplicatedLog {
            base_index,
            base_term,
            entries,
            persisted_index,
        }
    }

    /// Index of the last entry that was dropped.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Index of the last durable entry.
    pub fn persisted_index(&self) -> u64 {
        self.persisted_index
    }

    /// Term at `index`, or `None` when the log does not hold it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.position(index).map(|at| self.entries[at].term)
    }

    /// Up to `limit` entries from `from` on.
    pub fn slice(&self, from: u64, limit: usize) -> &[Entry] {
        let Some(start) = self.position(from) else {
            return &[];
        };
        let end = self.entries.len().min(start + limit);
        &self.entries[start..end]
    }

    /// Entries from `from` on for one message: at most `limit` entries and
    /// `max_bytes` bytes, but at least one entry if there is any.
    pub fn batch(&self, from: u64, limit: usize, max_bytes: usize) -> &[Entry] {
        let entries = self.slice(from, limit);
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.payload.len_bytes();
            bytes <= max_bytes
        };
        let count = entries.iter().take_while(fits).count();
        &entries[..count.max(1).min(entries.len())]
    }

    /// Bytes of the entries from `from` up to but without `end`, as far as the log holds them.
    pub fn bytes_between(&self, from: u64, end: u64) -> usize {
        let first = from.max(self.base_index + 1);
        let count = end.saturating_sub(first) as usize;
        let entries = self.slice(first, count).iter();
        entries.map(|entry| entry.payload.len_bytes()).sum()
    }

    /// The lowest index from `index` on after which at most `max_bytes` of entries up to
    /// `end` follow.
    pub fn index_before(&self, index: u64, end: u64, max_bytes: usize) -> u64 {
        let mut bytes = self.bytes_between(index + 1, end + 1);
        let mut index = index.max(self.base_index);
        while bytes > max_bytes && index < end {
            index += 1;
            bytes -= self.bytes_between(index, index + 1);
        }
        index
    }

    /// Entries that are not durable yet.
    pub fn unpersisted(&self) -> &[Entry] {
        self.slice(self.persisted_index + 1, usize::MAX >> 1)
    }

    /// Appends one entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops all entries from `index` on, and lowers the durable index accordingly.
    pub fn truncate_from(&mut self, index: u64) {
        if let Some(at) = self.position(index) {
            self.entries.truncate(at);
            self.persisted_index = self.persisted_index.min(index - 1);
        }
    }

    /// Marks the entries up to `index` as durable. Does nothing if the entry at
    /// `index` no longer has this `term`, because it was replaced.
    pub fn mark_persisted(&mut self, index: u64, term: u64) {
        if self.term_at(index) == Some(term) {
            self.persisted_index = self.persisted_index.max(index);
        }
    }

    /// Drops the entries up to `index`, which a snapshot covers.
    pub fn compact(&mut self, index: u64) {
        let Some(at) = self.position(index) else {
            return;
        };
        self.base_term = self.entries[at].term;
        self.base_index = index;
        self.entries.drain(..=at);
    }

    /// Replaces the log with a snapshot from the leader.
    pub fn reset(&mut self, index: u64, term: u64) {
        *self = ReplicatedLog::restored(index, term, Vec::new());
    }

    /// The latest membership entry in the log with its index, if there is one.
    pub fn latest_membership(&self) -> Option<(u64, &Membership)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                EntryPayload::Membership(membership) => Some((entry.index, membership)),
                _ => None,
            })
    }

    fn position(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base_index + 1)?;
        let offset = usize::try_from(offset).ok()?;
        (offset < self.entries.len()).then_some(offset)
    }
}
