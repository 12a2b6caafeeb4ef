//! What a replica that starts again knows before it hears anybody.

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

/// A log of the entries 1 to 3, with `commit_index` as its disk tells it.
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
#[case::a_part(2, &[1, 2])]
#[case::the_whole_log(3, &[1, 2, 3])]
#[case::more_than_the_log_holds(9, &[1, 2, 3])]
fn entries_that_were_known_to_be_committed_are_applied_at_once(
    #[case] commit_index: u64,
    #[case] expected: &[u64],
) {
    let mut node = with_log(commit_index);
    let ready = node.ready();
    let applied: Vec<u64> = ready.committed.iter().map(|entry| entry.index).collect();
    assert_eq!(applied, expected);
    let whole = expected.len() == 3;
    assert_eq!(node.is_wholly_committed(), whole);
}

#[test]
fn a_snapshot_that_is_newer_than_the_note_counts() {
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
