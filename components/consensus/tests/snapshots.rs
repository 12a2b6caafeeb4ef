//! Effect of a snapshot from the leader on the log of a follower.

use garnet_consensus::{
    Config, Entry, EntryPayload, Envelope, Member, Membership, Message, Node, Restored,
};
use garnet_types::{Millis, ReplicaId};

const FOLLOWER: ReplicaId = ReplicaId(1);
const LEADER: ReplicaId = ReplicaId(2);
const TERM: u64 = 3;
const NOW: Millis = Millis(10_000);

fn membership() -> Membership {
    let member = |id| {
        let member = Member {
            peer_address: String::new(),
            admin_address: String::new(),
            voter: true,
        };
        (id, member)
    };
    Membership {
        members: [FOLLOWER, LEADER, ReplicaId(3)]
            .into_iter()
            .map(member)
            .collect(),
    }
}

fn follower() -> Node {
    let restored = Restored {
        initial_membership: membership(),
        ..Restored::default()
    };
    Node::new(Config::new(FOLLOWER, 1), restored, Millis(1000))
}

/// Delivers a message from the leader and returns the replies.
fn deliver(node: &mut Node, message: Message) -> Vec<Message> {
    let envelope = Envelope {
        from: LEADER,
        to: FOLLOWER,
        term: TERM,
        message,
    };
    node.step(envelope, NOW);
    let ready = node.ready();
    node.advance(&ready);
    let replies = ready.messages.into_iter();
    replies.map(|envelope| envelope.message).collect()
}

/// Appends the entries 1 to `last` of a term, committed up to `commit_index`.
fn append(last: u64, term: u64, commit_index: u64) -> Message {
    let entry = |index| Entry {
        index,
        term,
        payload: EntryPayload::Noop,
    };
    Message::Append {
        previous_index: 0,
        previous_term: 0,
        entries: (1..=last).map(entry).collect(),
        commit_index,
        sent_at: NOW,
    }
}

fn snapshot(index: u64, snapshot_term: u64) -> Message {
    Message::SnapshotChunk {
        index,
        snapshot_term,
        membership: membership(),
        offset: 0,
        data: b"state".to_vec(),
        done: true,
        sent_at: NOW,
    }
}

fn acknowledged(replies: &[Message]) -> Option<u64> {
    replies.iter().find_map(|reply| match reply {
        Message::AppendReply {
            match_index,
            accepted: true,
            ..
        } => Some(*match_index),
        _ => None,
    })
}

/// Guards against the loss of acknowledged entries: a snapshot at index 301 arrived late at
/// a replica with 311 entries, 288 of them known to be committed, and replaced its log. The
/// leader still counted 311 as durable there, and the replica rejected all later entries, so
/// that nothing more was committed.
#[test]
fn a_late_snapshot_drops_no_acknowledged_entry() {
    let mut node = follower();
    assert_eq!(
        acknowledged(&deliver(&mut node, append(5, TERM, 2))),
        Some(5)
    );
    let replies = deliver(&mut node, snapshot(3, TERM));
    assert_eq!(node.status().last_index, 5);
    assert_eq!(node.status().commit_index, 3);
    assert_eq!(acknowledged(&replies), Some(3));
}

/// A snapshot replaces the entries of a deposed leader.
#[test]
fn a_snapshot_replaces_a_log_that_differs() {
    let mut node = follower();
    deliver(&mut node, append(5, TERM - 1, 0));
    let replies = deliver(&mut node, snapshot(3, TERM));
    assert_eq!(node.status().last_index, 3);
    assert_eq!(acknowledged(&replies), Some(3));
}
