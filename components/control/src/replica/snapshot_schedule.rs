//! When a replica takes a snapshot of its state.
//!
//! A snapshot is due by the number of the entries applied since the last one, and by their
//! bytes, since the log keeps them in memory. Replicas take snapshots independently of each
//! other, so that this is no part of the replicated state.

use garnet_consensus::Entry;

/// Bytes of applied entries after which a snapshot is due, unless the last one is large.
const MIN_LOG_BYTES: u64 = 16 * 1024 * 1024;
/// While a snapshot is being sent to another replica the next one waits, as it would start
/// the transfer anew, until the log has this many bytes.
pub(crate) const MAX_LOG_BYTES: usize = 64 * 1024 * 1024;
/// Size of an entry in memory without its content.
const ENTRY_OVERHEAD_BYTES: u64 = size_of::<Entry>() as u64;
/// The bytes between two snapshots are at least this many times the size of the first one,
/// so that a large state is not written with each entry.
const MIN_LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 4;
/// The number of entries between two snapshots is at least the size of the first one
/// divided by this, so that a large state is written less often.
const SNAPSHOT_BYTES_PER_ENTRY: u64 = 2048;

/// Decides when the next snapshot is due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotSchedule {
    /// Minimum number of entries between two snapshots that are due by number.
    every: u64,
    /// Size of the latest snapshot.
    snapshot_bytes: u64,
    /// Entries applied since then.
    entries: u64,
    /// Bytes of these entries.
    log_bytes: u64,
}

impl SnapshotSchedule {
    /// Starts after a snapshot of this size, or with 0 bytes without one.
    pub(crate) fn new(every: u64, snapshot_bytes: u64) -> Self {
        SnapshotSchedule {
            every,
            snapshot_bytes,
            entries: 0,
            log_bytes: 0,
        }
    }

    /// Counts an applied entry.
    pub(crate) fn on_applied(&mut self, entry_bytes: usize) {
        self.entries += 1;
        self.log_bytes += entry_bytes as u64 + ENTRY_OVERHEAD_BYTES;
    }

    /// Starts anew after a snapshot of this size was taken or received.
    pub(crate) fn on_snapshot(&mut self, bytes: usize) {
        *self = SnapshotSchedule::new(self.every, bytes as u64);
    }

    /// Bytes of applied entries after which a snapshot is due that follows one of
    /// `snapshot_bytes`.
    pub(crate) fn max_log_bytes(snapshot_bytes: u64) -> u64 {
        MIN_LOG_BYTES.max(snapshot_bytes * MIN_LOG_BYTES_PER_SNAPSHOT_BYTE)
    }

    /// Whether a snapshot is due.
    pub(crate) fn is_due(&self) -> bool {
        let due_entries = self
            .every
            .max(self.snapshot_bytes / SNAPSHOT_BYTES_PER_ENTRY);
        let due_bytes = SnapshotSchedule::max_log_bytes(self.snapshot_bytes);
        self.entries >= due_entries || self.log_bytes >= due_bytes
    }
}
