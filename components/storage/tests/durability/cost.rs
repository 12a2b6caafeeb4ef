//! The syncs of a start.

use std::sync::Arc;

use garnet_consensus::{Entry, EntryPayload, Membership, Ready, Snapshot};
use garnet_storage::{Directory, MemoryDirectory, ReplicaStorage, load_value, save_value};

/// Small, so that each frame fills a segment.
const SEGMENT_BYTES: u64 = 50;
const FRAMES: u64 = 6;
/// Index of the snapshot, which covers all segments but the last two.
const SNAPSHOT_INDEX: u64 = FRAMES - 2;

fn folder_with_segments_and_a_snapshot() -> MemoryDirectory {
    let mut disk = MemoryDirectory::default();
    let opened = ReplicaStorage::open_with_segment_bytes(&mut disk, SEGMENT_BYTES);
    let (mut storage, _) = opened.expect("an empty folder");
    for index in 1..=FRAMES {
        let ready = Ready {
            entries: vec![Entry {
                index,
                term: 1,
                payload: EntryPayload::Command(vec![1; SEGMENT_BYTES as usize]),
            }],
            ..Ready::default()
        };
        storage.write(&ready).expect("written");
    }
    let snapshot = Snapshot {
        index: SNAPSHOT_INDEX,
        term: 1,
        membership: Membership::default(),
        data: Arc::new(vec![7]),
    };
    storage.save_snapshot(&snapshot).expect("saved");
    disk.after_process_death()
}

#[test]
fn a_start_syncs_each_file_that_it_reads_and_the_folder_once() {
    let mut disk = folder_with_segments_and_a_snapshot();
    let files = disk.list().expect("listed").len() as u64;
    assert_eq!(files, 3, "two segments and a snapshot");
    (disk.syncs, disk.name_syncs) = (0, 0);
    let opened = ReplicaStorage::open_with_segment_bytes(&mut disk, SEGMENT_BYTES);
    assert!(opened.is_ok());
    assert_eq!((disk.syncs, disk.name_syncs), (files, 1));
}

#[test]
fn a_value_that_is_loaded_costs_one_sync_and_one_of_the_folder() {
    let mut disk = MemoryDirectory::default();
    save_value(&mut disk, "value", &1_u64).expect("saved");
    (disk.syncs, disk.name_syncs) = (0, 0);
    let value: Option<u64> = load_value(&mut disk, "value").expect("readable");
    assert_eq!(value, Some(1));
    let missing: Option<u64> = load_value(&mut disk, "missing").expect("readable");
    assert_eq!(missing, None);
    assert_eq!((disk.syncs, disk.name_syncs), (1, 1));
}
