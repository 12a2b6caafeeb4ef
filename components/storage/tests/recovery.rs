//! Recovery of a data folder returns everything that a completed call wrote.

use std::sync::Arc;

use garnet_consensus::{Entry, EntryPayload, HardState, Membership, Ready, Snapshot};
use garnet_storage::{
    DiskIdentity, MemoryDirectory, PowerLoss, ReplicaStorage, StorageError, load_value, save_value,
};
use garnet_types::ReplicaId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![index as u8; 40]),
    }
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Ready {
    Ready {
        entries: indexes.map(|index| entry(index, term)).collect(),
        hard_state: Some(HardState {
            term,
            voted_for: Some(ReplicaId(1)),
        }),
        ..Ready::default()
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: Membership::default(),
        data: Arc::new(vec![7; 100]),
    }
}

fn open(directory: MemoryDirectory) -> ReplicaStorage<MemoryDirectory> {
    ReplicaStorage::open(directory).expect("an intact folder").0
}

#[test]
fn synced_entries_and_votes_survive() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=5, 3)).expect("written");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.entries.len(), 5);
    assert_eq!(recovered.hard_state.term, 3);
    assert_eq!(recovered.hard_state.voted_for, Some(ReplicaId(1)));
}

/// The vote is not in the hard state at the start of the segment, only in a later record.
#[test]
fn a_vote_alone_survives() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=5, 3)).expect("written");
    let vote = HardState {
        term: 4,
        voted_for: Some(ReplicaId(3)),
    };
    let ready = Ready {
        hard_state: Some(vote),
        ..Ready::default()
    };
    storage.write(&ready).expect("written");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.hard_state, vote);
}

/// A replica that restarts relies on the commit index that it wrote.
#[test]
fn the_commit_index_survives() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=5, 3)).expect("written");
    let committed = Ready {
        committed: (1..=4).map(|index| entry(index, 3)).collect(),
        ..Ready::default()
    };
    storage.write(&committed).expect("written");
    storage.write(&entries(6..=6, 3)).expect("written");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.commit_index, 4);
    assert_eq!(recovered.entries.len(), 6);
}

#[test]
fn a_later_entry_replaces_all_entries_from_its_index_on() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=5, 1)).expect("written");
    storage.write(&entries(3..=3, 2)).expect("written");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    let recovered_entries: Vec<(u64, u64)> = recovered
        .entries
        .iter()
        .map(|e| (e.index, e.term))
        .collect();
    assert_eq!(recovered_entries, vec![(1, 1), (2, 1), (3, 2)]);
}

#[test]
fn snapshots_bound_the_size_of_the_folder() {
    let mut storage = open(MemoryDirectory::default());
    let mut largest = 0;
    for round in 0..200_u64 {
        let first = round * 100 + 1;
        storage
            .write(&entries(first..=first + 99, 1))
            .expect("written");
        storage
            .save_snapshot(&snapshot(first + 99, 1))
            .expect("saved");
        largest = largest.max(storage.directory().total_bytes());
    }
    assert!(largest < 3 << 20, "{largest} bytes");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.snapshot.map(|s| s.index), Some(20_000));
    assert!(recovered.entries.is_empty());
}

#[test]
fn entries_of_a_superseded_log_are_dropped_after_a_leaders_snapshot() {
    // The crash comes between the snapshot and the record that resets the old log.
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=9, 1)).expect("written");
    storage.save_snapshot(&snapshot(6, 4)).expect("saved");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert!(
        recovered.entries.is_empty(),
        "entries of term 1 behind a snapshot of term 4"
    );
}

#[test]
fn damage_before_valid_records_is_refused_with_file_and_offset() {
    let mut storage = open(MemoryDirectory::default());
    for index in 1..=5 {
        storage.write(&entries(index..=index, 1)).expect("written");
    }
    let mut after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    after.damage("segment-0000000000000000", 120);
    match ReplicaStorage::open(after) {
        Err(StorageError::Damaged { file, offset, .. }) => {
            assert_eq!(file, "segment-0000000000000000");
            assert!(offset <= 120);
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_failed_sync_is_final() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&entries(1..=1, 1)).expect("written");
    storage.directory_mut().broken = true;
    assert!(storage.write(&entries(2..=2, 1)).is_err());
    storage.directory_mut().broken = false;
    let again = storage.write(&entries(2..=2, 1));
    assert!(matches!(again, Err(StorageError::Poisoned)), "{again:?}");
}

/// Entries that fill a segment, so that the next write starts another one.
fn long_entries(indexes: std::ops::RangeInclusive<u64>) -> Ready {
    let long = |index| Entry {
        index,
        term: 1,
        payload: EntryPayload::Command(vec![index as u8; 600_000]),
    };
    Ready {
        entries: indexes.map(long).collect(),
        ..Ready::default()
    }
}

#[rstest]
#[case::within_a_segment(entries(1..=4, 1))]
#[case::between_segments(long_entries(1..=4))]
fn a_full_disk_loses_nothing_and_the_write_can_be_retried(
    #[case] before: Ready,
    #[values(1, 3)] refusals: usize,
    #[values(PowerLoss::DropUnsynced, PowerLoss::KeepPrefix(30))] loss: PowerLoss,
) {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&before).expect("written");
    let second_write = entries(5..=6, 2);
    storage.directory_mut().full = true;
    for _ in 0..refusals {
        let refused = storage.write(&second_write).expect_err("no room");
        assert!(refused.is_full(), "{refused}");
    }
    // After a power loss while the disk is full, earlier writes are still recovered.
    let during_full_disk = storage.directory().after_power_loss(loss);
    let (_, recovered) = ReplicaStorage::open(during_full_disk).expect("an intact folder");
    assert_eq!(recovered.entries.len(), 4);
    storage.directory_mut().full = false;
    storage.write(&second_write).expect("room again");
    storage.write(&entries(7..=7, 2)).expect("written");
    let after = storage.directory().after_power_loss(loss);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.entries.len(), 7);
    assert_eq!(recovered.hard_state.term, 2);
}

#[test]
fn a_snapshot_that_failed_on_a_full_disk_can_be_saved_later() {
    let mut storage = open(MemoryDirectory::default());
    storage.write(&long_entries(1..=2)).expect("written");
    storage.write(&long_entries(3..=4)).expect("written");
    storage.directory_mut().full = true;
    let refused = storage.save_snapshot(&snapshot(2, 1)).expect_err("no room");
    assert!(refused.is_full(), "{refused}");
    storage.directory_mut().full = false;
    storage.save_snapshot(&snapshot(3, 1)).expect("room again");
    storage.write(&entries(5..=5, 1)).expect("written");
    let after = storage
        .directory()
        .after_power_loss(PowerLoss::DropUnsynced);
    let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
    assert_eq!(recovered.snapshot.map(|snapshot| snapshot.index), Some(3));
    assert_eq!(recovered.entries.last().map(|entry| entry.index), Some(5));
}

#[rstest]
#[case::drop(PowerLoss::DropUnsynced)]
#[case::torn(PowerLoss::KeepPrefix(5))]
fn a_value_is_replaced_atomically(#[case] loss: PowerLoss) {
    let mut directory = MemoryDirectory::default();
    save_value(&mut directory, "v", &1_u64).expect("saved");
    let mut later = directory.clone();
    save_value(&mut later, "v", &2_u64).expect("saved");
    for mut state in [
        directory.after_power_loss(loss),
        later.after_power_loss(loss),
    ] {
        let value: Option<u64> = load_value(&mut state, "v").expect("an intact file");
        assert!(matches!(value, Some(1 | 2)));
    }
}

#[test]
fn a_folder_of_another_owner_or_a_newer_format_is_refused() {
    let mut directory = MemoryDirectory::default();
    let (identity, created) =
        DiskIdentity::open_or_create(&mut directory, "control-1", 77).expect("made");
    assert!(created);
    assert_eq!(identity.incarnation, 77);
    let (again, created) =
        DiskIdentity::open_or_create(&mut directory, "control-1", 88).expect("opened");
    assert!(!created);
    assert_eq!(again.incarnation, 77, "the identity stays with its disk");
    let foreign = DiskIdentity::open_or_create(&mut directory, "control-2", 1);
    assert!(matches!(foreign, Err(StorageError::WrongOwner { .. })));
    let newer = DiskIdentity {
        format: 99,
        ..identity
    };
    save_value(&mut directory, "identity", &newer).expect("saved");
    let refused = DiskIdentity::open_or_create(&mut directory, "control-1", 1);
    assert!(matches!(
        refused,
        Err(StorageError::NewerFormat { found: 99, .. })
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    /// Whatever part of a torn last write is left, it is dropped, all earlier writes are
    /// recovered, and the log can be continued.
    #[test]
    fn any_torn_last_write_loses_only_itself(
        batches in prop::collection::vec(1_u64..6, 1..12),
        kept in 0_usize..400,
        flip in any::<bool>(),
    ) {
        let mut storage = open(MemoryDirectory::default());
        let mut next = 1;
        for count in &batches {
            storage.write(&entries(next..=next + count - 1, 1)).expect("written");
            next += count;
        }
        let synced = next - 1;
        // Appends the unsynced bytes of a torn last write.
        let mut torn = storage.directory().clone();
        let bytes = vec![0x47; kept];
        garnet_storage::Directory::append(&mut torn, "segment-0000000000000000", &bytes)
            .expect("appended");
        let loss = if flip { PowerLoss::Flip(kept / 2) } else { PowerLoss::KeepPrefix(kept / 2) };
        let (mut again, recovered) =
            ReplicaStorage::open(torn.after_power_loss(loss)).expect("an intact folder");
        prop_assert_eq!(recovered.entries.len() as u64, synced);
        again.write(&entries(next..=next, 1)).expect("written");
        let after = again.directory().after_power_loss(PowerLoss::DropUnsynced);
        let (_, recovered) = ReplicaStorage::open(after).expect("an intact folder");
        prop_assert_eq!(recovered.entries.len() as u64, synced + 1);
    }
}
