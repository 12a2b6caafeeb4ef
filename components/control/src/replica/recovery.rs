//! Applies a log to the state while it is read from disk, so that a log of any size can be
//! recovered.
//!
//! Contract: the recovered snapshot and entries give the same state as the whole log. Only
//! entries that are known to be committed are applied, as they are never replaced.

use garnet_consensus::{Entry, EntryPayload, Membership, Snapshot};
use garnet_types::EncodingVersion;

use super::snapshot_schedule::SnapshotSchedule;
use crate::encoding::EntryError;
use crate::state::ControlState;

/// Replaces committed entries of a log that is being read by a snapshot.
#[derive(Debug, Clone)]
pub struct LogCompactor {
    version: EncodingVersion,
    initial_membership: Membership,
}

impl LogCompactor {
    /// Reads entries and snapshots up to those of `version`. `initial_membership` is the
    /// group before the first membership entry.
    pub fn new(version: EncodingVersion, initial_membership: Membership) -> Self {
        LogCompactor {
            version,
            initial_membership,
        }
    }

    /// Replaces the committed entries by a snapshot, if they are as large as a running
    /// replica lets them become. Returns whether it did.
    ///
    /// Changes nothing if the snapshot can't be read, which `Replica::new` reports, and
    /// stops before an entry that can't be read, which halts the replica.
    pub fn compact(
        &self,
        snapshot: &mut Option<Snapshot>,
        entries: &mut Vec<Entry>,
        commit_index: u64,
    ) -> bool {
        let committed = committed(snapshot.as_ref(), entries, commit_index);
        let bytes: usize = committed.iter().map(|e| e.payload.len_bytes()).sum();
        let snapshot_bytes = snapshot.as_ref().map_or(0, |s| s.data.len() as u64);
        if (bytes as u64) < SnapshotSchedule::max_log_bytes(snapshot_bytes) {
            return false;
        }
        let Some((state, applied)) = self.apply(snapshot.as_ref(), committed) else {
            return false;
        };
        let Some(last) = applied.last() else {
            return false;
        };
        // This does not fail: the entries are of the level's version or an earlier one.
        let Ok(data) = state.encode() else {
            return false;
        };
        let compacted = Snapshot {
            index: last.index,
            term: last.term,
            membership: self.membership(snapshot.as_ref(), applied),
            data: data.into(),
        };
        let count = applied.len();
        entries.drain(..count);
        *snapshot = Some(compacted);
        true
    }

    /// The state after the entries, up to the first one that can't be read, and the
    /// entries applied; `None` if the snapshot can't be read.
    fn apply<'a>(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &'a [Entry],
    ) -> Option<(ControlState, &'a [Entry])> {
        let mut state = match snapshot {
            Some(snapshot) => ControlState::decode_by(self.version, &snapshot.data).ok()?,
            None => ControlState::default(),
        };
        let unreadable = entries
            .iter()
            .position(|entry| self.apply_entry(&mut state, entry).is_err());
        let applied = &entries[..unreadable.unwrap_or(entries.len())];
        Some((state, applied))
    }

    fn apply_entry(&self, state: &mut ControlState, entry: &Entry) -> Result<(), EntryError> {
        if let EntryPayload::Command(bytes) = &entry.payload {
            state.apply_encoded(self.version, entry.index, entry.term, bytes)?;
        }
        Ok(())
    }

    fn membership(&self, snapshot: Option<&Snapshot>, applied: &[Entry]) -> Membership {
        let newest = applied.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership),
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        });
        let before = || snapshot.map_or(&self.initial_membership, |s| &s.membership);
        newest.unwrap_or_else(before).clone()
    }
}

/// The committed entries that follow the snapshot without a gap.
fn committed<'a>(
    snapshot: Option<&Snapshot>,
    entries: &'a [Entry],
    commit_index: u64,
) -> &'a [Entry] {
    let first = snapshot.map_or(1, |snapshot| snapshot.index + 1);
    let expected = first..=commit_index;
    let follows = expected
        .zip(entries)
        .take_while(|(index, e)| e.index == *index);
    &entries[..follows.count()]
}
