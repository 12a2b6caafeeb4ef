//! Log segments and snapshots of one control replica.
//!
//! Segments are append-only. An entry replaces earlier entries at its index and all
//! later indexes, so that truncating the log needs no rewriting. Each segment starts
//! with the hard state, so that older segments can be removed.
//!
//! Contract: a call that fails on a full disk ([`StorageError::is_full`]) changed no
//! recoverable state and may be retried; the next call first truncates what it left
//! behind. Any other failure is final, since it is unknown what is durable.

use garnet_consensus::{Entry, HardState, Ready, Snapshot};
use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::error::StorageError;
use crate::frame;
use crate::value::{TEMPORARY_SUFFIX, decode, encode, read_value, save_value};

/// Size of a segment at which it is closed, if the caller names no other.
const SEGMENT_BYTES: u64 = 1 << 20;
const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
    /// The log was replaced by a snapshot at this index.
    Reset(u64),
    /// Everything up to this index is committed.
    Committed(u64),
}

#[derive(Debug)]
struct Segment {
    name: String,
    /// Highest index of any entry in the segment.
    highest_index: u64,
    bytes: u64,
}

/// The state that was recovered from a replica's folder.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Highest index that is known to be committed, or 0.
    pub commit_index: u64,
    /// Bytes of a torn last write that were truncated.
    pub truncated_bytes: u64,
}

impl Recovered {
    /// Last index that the snapshot covers, or 0.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
}

/// The open files of one replica.
#[derive(Debug)]
pub struct ReplicaStorage<D: Directory> {
    directory: D,
    segments: Vec<Segment>,
    /// Size at which a segment is closed and the next one is started.
    segment_bytes: u64,
    next_segment: u64,
    hard_state: HardState,
    poisoned: bool,
    /// Whether a write that failed on a full disk may have left a part behind.
    has_partial_write: bool,
}

impl<D: Directory> ReplicaStorage<D> {
    /// Recovers the state from a folder, truncates a torn last write and makes durable what
    /// was recovered.
    ///
    /// # Errors
    /// When synced content is damaged or a disk operation fails.
    pub fn open(directory: D) -> Result<(Self, Recovered), StorageError> {
        Self::open_with(directory, |_| {})
    }

    /// Does the same as [`Self::open`], and calls `compact` after each segment, so that a
    /// log of any size can be read. `compact` may replace entries up to the commit index by
    /// a snapshot, which is not saved here.
    ///
    /// # Errors
    /// When synced content is damaged or a disk operation fails.
    pub fn open_with(
        directory: D,
        compact: impl FnMut(&mut Recovered),
    ) -> Result<(Self, Recovered), StorageError> {
        Self::recover(directory, SEGMENT_BYTES, compact)
    }

    /// Like [`ReplicaStorage::open`], for tests that fill many segments.
    ///
    /// # Errors
    /// When synced content is damaged or a disk operation fails.
    pub fn open_with_segment_bytes(
        directory: D,
        segment_bytes: u64,
    ) -> Result<(Self, Recovered), StorageError> {
        Self::recover(directory, segment_bytes, |_| {})
    }

    fn recover(
        mut directory: D,
        segment_bytes: u64,
        mut compact: impl FnMut(&mut Recovered),
    ) -> Result<(Self, Recovered), StorageError> {
        let names = directory.list().map_err(StorageError::io("list", "."))?;
        remove_temporary_files(&mut directory, &names)?;
        let snapshot = newest_snapshot(&mut directory, &names)?;
        let mut recovered = Recovered {
            snapshot,
            ..Recovered::default()
        };
        let mut segments = Vec::new();
        let segment_names = with_prefix(&names, SEGMENT_PREFIX);
        let last = segment_names.len().saturating_sub(1);
        for (position, name) in segment_names.into_iter().enumerate() {
            let is_last = position == last;
            let segment = replay_segment(&mut directory, name, is_last, &mut recovered)?;
            segments.extend(segment);
            compact(&mut recovered);
        }
        discard_replaced_log(&mut recovered);
        check_contiguous(&recovered)?;
        // A killed process may have made or renamed these files without syncing the folder.
        directory
            .sync_names()
            .map_err(StorageError::io("sync of the folder for", SEGMENT_PREFIX))?;
        let next_segment = segments.last().map_or(0, |s| segment_number(&s.name) + 1);
        let storage = ReplicaStorage {
            directory,
            segments,
            segment_bytes,
            next_segment,
            hard_state: recovered.hard_state,
            poisoned: false,
            has_partial_write: false,
        };
        Ok((storage, recovered))
    }

    /// Writes the records of `ready` and makes them durable with one sync of the log.
    ///
    /// # Errors
    /// Any failure but a full disk poisons the storage: see the module's
    /// contract.
    pub fn write(&mut self, ready: &Ready) -> Result<(), StorageError> {
        if !ready.needs_sync() {
            return Ok(());
        }
        self.run_unless_poisoned(|storage| storage.write_records(ready))
    }

    /// Makes a snapshot durable and removes the segments and snapshots that it covers.
    ///
    /// # Errors
    /// Any failure but a full disk poisons the storage: see the module's
    /// contract.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_unless_poisoned(|storage| {
            storage.write_snapshot(snapshot)?;
            storage.remove_covered(snapshot.index)
        })
    }

    /// The folder, for writing the identity and small values.
    pub fn directory_mut(&mut self) -> &mut D {
        &mut self.directory
    }

    /// The folder.
    pub fn directory(&self) -> &D {
        &self.directory
    }

    fn run_unless_poisoned(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let result = self.truncate_partial_write().and_then(|()| work(self));
        match &result {
            Ok(()) => {}
            Err(error) if error.is_full() => self.has_partial_write = true,
            Err(_) => self.poisoned = true,
        }
        result
    }

    /// Truncates what a write left behind that failed on a full disk. It was not
    /// acknowledged, and later records must not follow a partial one.
    fn truncate_partial_write(&mut self) -> Result<(), StorageError> {
        if !self.has_partial_write {
            return Ok(());
        }
        let unfinished = segment_name(self.next_segment);
        let names = self
            .directory
            .list()
            .map_err(StorageError::io("list", "."))?;
        if names.contains(&unfinished) {
            self.directory
                .remove(&unfinished)
                .map_err(StorageError::io("remove", &unfinished))?;
        }
        if let Some(segment) = self.segments.last() {
            self.directory
                .truncate(&segment.name, segment.bytes)
                .map_err(StorageError::io("truncate", &segment.name))?;
        }
        self.has_partial_write = false;
        Ok(())
    }

    fn write_records(&mut self, ready: &Ready) -> Result<(), StorageError> {
        let mut records = Vec::new();
        if let Some(hard_state) = ready.hard_state {
            self.hard_state = hard_state;
            records.push(Record::HardState(hard_state));
        }
        if let Some(snapshot) = &ready.snapshot {
            self.write_snapshot(snapshot)?;
            records.push(Record::Reset(snapshot.index));
        }
        records.extend(ready.entries.iter().cloned().map(Record::Entry));
        records.extend(ready.commit_index().map(Record::Committed));
        self.append_frame(&records)?;
        if let Some(snapshot) = &ready.snapshot {
            self.remove_covered(snapshot.index)?;
        }
        Ok(())
    }

    fn append_frame(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|segment| segment.bytes >= self.segment_bytes);
        if is_full {
            self.start_segment()?;
        }
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let bytes = frame::encode(&encode(&records)?);
        self.directory
            .append(&segment.name, &bytes)
            .map_err(StorageError::io("write", &segment.name))?;
        self.directory
            .sync(&segment.name)
            .map_err(StorageError::io("sync", &segment.name))?;
        segment.bytes += bytes.len() as u64;
        for record in records {
            if let Record::Entry(entry) = record {
                segment.highest_index = segment.highest_index.max(entry.index);
            }
        }
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let name = segment_name(self.next_segment);
        let first_records = [Record::HardState(self.hard_state)];
        let bytes = frame::encode(&encode(&first_records.as_slice())?);
        self.directory
            .append(&name, &bytes)
            .map_err(StorageError::io("write", &name))?;
        self.directory
            .sync(&name)
            .map_err(StorageError::io("sync", &name))?;
        self.directory
            .sync_names()
            .map_err(StorageError::io("sync of the folder for", &name))?;
        self.next_segment += 1;
        self.segments.push(Segment {
            name,
            highest_index: 0,
            bytes: bytes.len() as u64,
        });
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        save_value(
            &mut self.directory,
            &snapshot_name(snapshot.index),
            snapshot,
        )
    }

    fn remove_covered(&mut self, index: u64) -> Result<(), StorageError> {
        // The last segment stays open. Earlier ones are removed in order, up to the first
        // that is still needed.
        while self.segments.len() > 1 && self.segments[0].highest_index <= index {
            self.segments.remove(0);
        }
        let names = self
            .directory
            .list()
            .map_err(StorageError::io("list", "."))?;
        let kept_snapshot = snapshot_name(index);
        // Obsolete files are found by listing the folder, so that a removal that failed on
        // a full disk is made up for by the next call.
        let old_snapshots = with_prefix(&names, SNAPSHOT_PREFIX);
        let old_snapshots = old_snapshots
            .into_iter()
            .filter(|name| *name < kept_snapshot);
        let first_kept = self.segments.first().map(|segment| segment.name.clone());
        let old_segments = with_prefix(&names, SEGMENT_PREFIX);
        let old_segments = old_segments
            .into_iter()
            .filter(|name| first_kept.as_ref().is_some_and(|oldest| name < oldest));
        let obsolete: Vec<String> = old_segments.chain(old_snapshots).collect();
        for name in &obsolete {
            self.directory
                .remove(name)
                .map_err(StorageError::io("remove", name))?;
        }
        self.directory
            .sync_names()
            .map_err(StorageError::io("sync of the folder for", &kept_snapshot))
    }
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016}")
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn segment_number(name: &str) -> u64 {
    name[SEGMENT_PREFIX.len()..].parse().unwrap_or(0)
}

fn with_prefix(names: &[String], prefix: &str) -> Vec<String> {
    names
        .iter()
        .filter(|name| name.starts_with(prefix) && !name.ends_with(TEMPORARY_SUFFIX))
        .cloned()
        .collect()
}

fn remove_temporary_files(
    directory: &mut dyn Directory,
    names: &[String],
) -> Result<(), StorageError> {
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        directory
            .remove(name)
            .map_err(StorageError::io("remove", name))?;
    }
    Ok(())
}

/// Reads the newest snapshot and syncs its content. The caller syncs its name.
fn newest_snapshot(
    directory: &mut dyn Directory,
    names: &[String],
) -> Result<Option<Snapshot>, StorageError> {
    let Some(name) = with_prefix(names, SNAPSHOT_PREFIX).pop() else {
        return Ok(None);
    };
    let snapshot = read_value(directory, &name)?;
    directory
        .sync(&name)
        .map_err(StorageError::io("sync", &name))?;
    Ok(Some(snapshot))
}

fn replay_segment(
    directory: &mut dyn Directory,
    name: String,
    is_last: bool,
    recovered: &mut Recovered,
) -> Result<Option<Segment>, StorageError> {
    let bytes = directory
        .read(&name)
        .map_err(StorageError::io("read", &name))?;
    let frames = frame::read_all(&bytes);
    let torn = frames.valid_length < bytes.len();
    if torn && (frames.damaged || !is_last) {
        return Err(StorageError::Damaged {
            file: name,
            offset: frames.valid_length as u64,
            reason: "a frame with a wrong checksum precedes valid ones",
        });
    }
    if frames.payloads.is_empty() {
        // The segment was created just before a crash, and lacks even its first frame.
        recovered.truncated_bytes = bytes.len() as u64;
        directory
            .remove(&name)
            .map_err(StorageError::io("remove", &name))?;
        return Ok(None);
    }
    let mut highest_index = 0;
    for payload in &frames.payloads {
        for record in decode::<Vec<Record>>(payload, &name)? {
            if let Record::Entry(entry) = &record {
                highest_index = highest_index.max(entry.index);
            }
            replay_record(record, recovered);
        }
    }
    if torn {
        recovered.truncated_bytes = (bytes.len() - frames.valid_length) as u64;
        directory
            .truncate(&name, frames.valid_length as u64)
            .map_err(StorageError::io("truncate", &name))?;
    }
    // A killed process may have written these frames without syncing them, and a full
    // segment is never written again.
    directory
        .sync(&name)
        .map_err(StorageError::io("sync", &name))?;
    Ok(Some(Segment {
        name,
        highest_index,
        bytes: frames.valid_length as u64,
    }))
}

/// Drops entries that a snapshot from a leader replaced just before a crash.
///
/// Terms never decrease along a log. An entry after the snapshot with a lower term
/// belongs to a log that was superseded. Keeping it would make this replica's log look
/// older in elections than it is.
fn discard_replaced_log(recovered: &mut Recovered) {
    let snapshot_term = recovered.snapshot.as_ref().map_or(0, |s| s.term);
    let replaced = recovered
        .entries
        .first()
        .is_some_and(|entry| entry.term < snapshot_term);
    if replaced {
        recovered.entries.clear();
    }
}

fn replay_record(record: Record, recovered: &mut Recovered) {
    match record {
        Record::HardState(hard_state) => recovered.hard_state = hard_state,
        Record::Reset(_) => recovered.entries.clear(),
        Record::Committed(index) => recovered.commit_index = recovered.commit_index.max(index),
        Record::Entry(entry) => {
            while recovered
                .entries
                .last()
                .is_some_and(|last_entry| last_entry.index >= entry.index)
            {
                recovered.entries.pop();
            }
            if entry.index > recovered.snapshot_index() {
                recovered.entries.push(entry);
            }
        }
    }
}

/// Checks that the entries follow the snapshot without a gap.
fn check_contiguous(recovered: &Recovered) -> Result<(), StorageError> {
    for (expected, entry) in (recovered.snapshot_index() + 1..).zip(&recovered.entries) {
        if entry.index != expected {
            return Err(StorageError::Damaged {
                file: format!("{SEGMENT_PREFIX}*"),
                offset: 0,
                reason: "log entries are missing",
            });
        }
    }
    Ok(())
}
