//! A start from a log that is too large for the memory of the process.

use garnet_consensus::{Entry, EntryPayload, HardState, Ready};
use garnet_storage::{MemoryDirectory, ReplicaStorage};
use garnet_types::EncodingVersion;

use crate::leader::encoded;
use crate::retained_bytes::put_large_table;

const ENTRIES: u64 = 340;
/// Half of the memory of a process of the core.
const MAX_RETAINED_BYTES: usize = 128 * 1024 * 1024;

/// A folder whose log holds [`ENTRIES`] changes, each committed by the one after it.
fn folder_with_large_log() -> MemoryDirectory {
    let (mut storage, _) = ReplicaStorage::open(MemoryDirectory::default()).expect("a new folder");
    for index in 1..=ENTRIES {
        let entry = |index| Entry {
            index,
            term: 1,
            payload: EntryPayload::Command(encoded(
                put_large_table(index),
                EncodingVersion::CURRENT,
            )),
        };
        let committed = (index > 1).then(|| entry(index - 1));
        let ready = Ready {
            hard_state: (index == 1).then_some(HardState {
                term: 1,
                voted_for: None,
            }),
            entries: vec![entry(index)],
            committed: committed.into_iter().collect(),
            ..Ready::default()
        };
        storage.write(&ready).expect("room on the disk");
    }
    storage.directory().clone()
}

#[test]
fn a_log_that_exceeds_the_memory_is_read_in_parts() {
    let (_, recovered) = ReplicaStorage::open(folder_with_large_log()).expect("an intact folder");
    let bytes = |entry: &Entry| entry.payload.len_bytes();
    let retained: usize = recovered.entries.iter().map(bytes).sum();
    assert!(
        retained <= MAX_RETAINED_BYTES,
        "{} entries of {retained} bytes in memory",
        recovered.entries.len()
    );
}
