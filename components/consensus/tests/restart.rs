//! State of a restarted replica before it receives any message.

use garnet_consensus::{Config, Entry, EntryPayload, HardState, Node, Restored, Snapshot};
use garnet_types::{Millis, ReplicaId};
use rstest::rstest;

fn noop(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: EntryPayload::Noop,
    }
}

fn restarted(restored: Restored) -> Node {
    Node::new(Config::new(ReplicaId(1), 1), restored, Millis(1000))
}

/// A restarted replica with the entries 1 to 3 and `commit_index` on disk.
fn with_log(commit_index: u64) -> Node {
    restarted(Restored {
        hard_state: HardState {
            term: 1,
            voted_for: None,
        },
        entries: (1..=3).map(noop).collect(),
        commit_index,
        ..Restored::default()
    })
}

#[rstest]
#[case::nothing_known(0, &[])]
#[case::some(2, &[1, 2])]
#[case::all(3, &[1, 2, 3])]
#[case::more_than_the_log_holds(9, &[1, 2, 3])]
fn entries_known_to_be_committed_are_applied_at_once(
    #[case] commit_index: u64,
    #[case] expected: &[u64],
) {
    let mut node = with_log(commit_index);
    let ready = node.ready();
    let applied: Vec<u64> = ready.committed.iter().map(|entry| entry.index).collect();
    assert_eq!(applied, expected);
    let is_complete = expected.len() == 3;
    assert_eq!(node.has_applied_whole_log(), is_complete);
}

#[test]
fn a_snapshot_newer_than_the_stored_commit_index_counts() {
    let snapshot = Snapshot {
        index: 7,
        term: 1,
        membership: Default::default(),
        data: Default::default(),
    };
    let node = restarted(Restored {
        snapshot: Some(snapshot),
        commit_index: 5,
        ..Restored::default()
    });
    assert_eq!(node.status().commit_index, 7);
}
