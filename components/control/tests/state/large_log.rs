//! A start from a log that is too large for the memory of the process.

use garnet_consensus::{Entry, EntryPayload, HardState, Membership, Ready, Restored};
use garnet_control::{LogCompactor, Replica};
use garnet_storage::{MemoryDirectory, Recovered, ReplicaStorage};
use garnet_types::{EncodingVersion, Millis, ReplicaId};

use crate::leader::{Leader, encoded, group};
use crate::retained_bytes::put_large_table;

const ENTRIES: u64 = 340;
/// Half of the memory of a process of the core.
const MAX_RETAINED_BYTES: usize = 128 * 1024 * 1024;

fn entry(index: u64, term: u64) -> Entry {
    let command = encoded(put_large_table(index), EncodingVersion::CURRENT);
    Entry {
        index,
        term,
        payload: EntryPayload::Command(command),
    }
}

/// A folder whose log holds [`ENTRIES`] changes, each committed by the one after it.
fn folder_with_large_log() -> MemoryDirectory {
    let (mut storage, _) = ReplicaStorage::open(MemoryDirectory::default()).expect("a new folder");
    for index in 1..=ENTRIES {
        let committed = (index > 1).then(|| entry(index - 1, 1));
        let ready = Ready {
            hard_state: (index == 1).then_some(HardState {
                term: 1,
                voted_for: None,
            }),
            entries: vec![entry(index, 1)],
            committed: committed.into_iter().collect(),
            ..Ready::default()
        };
        storage.write(&ready).expect("room on the disk");
    }
    storage.directory().clone()
}

fn bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.len_bytes()).sum()
}

/// Reads the folder, and returns the largest size of the entries in memory as well.
fn read(
    folder: MemoryDirectory,
    compactor: &LogCompactor,
) -> (ReplicaStorage<MemoryDirectory>, Recovered, usize) {
    let mut largest = 0;
    let opened = ReplicaStorage::open_with(folder, |log| {
        largest = largest.max(bytes(&log.entries));
        compactor.compact(&mut log.snapshot, &mut log.entries, log.commit_index);
    });
    let (storage, recovered) = opened.expect("an intact folder");
    (storage, recovered, largest)
}

fn replica(recovered: Recovered, group: Membership) -> Replica {
    let restored = Restored {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        entries: recovered.entries,
        commit_index: recovered.commit_index,
        initial_membership: group,
    };
    let mut replica =
        Replica::new(Leader::settings(), restored, Millis::ZERO).expect("a readable snapshot");
    let ready = replica.ready();
    replica.persisted(ready, Millis::ZERO);
    replica
}

/// Guards against a replica that exceeds its memory at each start. What it recovers must not
/// differ from the state of the whole log.
#[test]
fn a_log_that_exceeds_the_memory_is_read_in_parts() {
    let folder = folder_with_large_log();
    let group = group(ReplicaId(1), 2);
    let (_, whole) = ReplicaStorage::open(folder.clone()).expect("an intact folder");
    let whole = replica(whole, group.clone());
    let compactor = LogCompactor::new(EncodingVersion::CURRENT, group.clone());
    let (mut storage, recovered, largest) = read(folder, &compactor);
    assert!(
        largest <= MAX_RETAINED_BYTES,
        "{largest} bytes of entries in memory"
    );
    let snapshot = recovered.snapshot.clone().expect("a snapshot");
    assert_eq!(snapshot.membership, group);
    let in_parts = replica(recovered, group.clone());
    assert_eq!(in_parts.state(), whole.state());
    assert_eq!(
        in_parts.node().status().last_index,
        whole.node().status().last_index
    );
    // Once the snapshot is saved, the next start reads what is left.
    storage.save_snapshot(&snapshot).expect("room on the disk");
    let (_, left) = ReplicaStorage::open(storage.directory().clone()).expect("an intact folder");
    assert!(
        bytes(&left.entries) <= MAX_RETAINED_BYTES,
        "{} bytes",
        bytes(&left.entries)
    );
    assert_eq!(replica(left, group).state(), whole.state());
}

/// An entry that is not known to be committed may be replaced, and one that can't be read
/// halts the replica as before.
#[test]
fn only_committed_entries_that_can_be_read_are_applied_at_a_start() {
    let compactor = LogCompactor::new(EncodingVersion::CURRENT, Membership::default());
    let entry = |index| entry(index, 1);
    let mut entries: Vec<Entry> = (1..=80).map(entry).collect();
    let mut snapshot = None;
    assert!(!compactor.compact(&mut snapshot, &mut entries, 0));
    assert_eq!(entries.len(), 80);
    assert!(compactor.compact(&mut snapshot, &mut entries, 60));
    assert_eq!(snapshot.as_ref().map(|snapshot| snapshot.index), Some(60));
    assert_eq!(entries.first().map(|entry| entry.index), Some(61));

    let mut entries: Vec<Entry> = (1..=80).map(entry).collect();
    let later = EncodingVersion(EncodingVersion::CURRENT.0 + 1);
    if let EntryPayload::Command(bytes) = &mut entries[49].payload {
        bytes[0] = u8::try_from(later.0).expect("a byte");
    }
    let mut snapshot = None;
    assert!(compactor.compact(&mut snapshot, &mut entries, 80));
    assert_eq!(snapshot.as_ref().map(|snapshot| snapshot.index), Some(49));
    assert!(!compactor.compact(&mut snapshot, &mut entries, 80));
    assert_eq!(entries.first().map(|entry| entry.index), Some(50));
}
