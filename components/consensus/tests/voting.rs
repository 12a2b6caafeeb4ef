//! Votes: one per term, durable across a restart, and none against a valid lease.

use garnet_consensus::{
    Config, Entry, EntryPayload, Envelope, HardState, Member, Membership, Message, Node, Restored,
};
use garnet_types::{Millis, ReplicaId};

const VOTER: ReplicaId = ReplicaId(1);
const FIRST: ReplicaId = ReplicaId(2);
const SECOND: ReplicaId = ReplicaId(3);
/// Long enough after the start for any lease from before it to have expired.
const LATER: Millis = Millis(10_000);

fn membership() -> Membership {
    let member = || Member {
        peer_address: String::new(),
        admin_address: String::new(),
        voter: true,
    };
    Membership {
        members: [VOTER, FIRST, SECOND]
            .into_iter()
            .map(|id| (id, member()))
            .collect(),
    }
}

fn voter(hard_state: HardState, entries: Vec<Entry>) -> Node {
    let restored = Restored {
        hard_state,
        entries,
        initial_membership: membership(),
        ..Restored::default()
    };
    Node::new(Config::new(VOTER, 1), restored, Millis(1000))
}

fn noop(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Noop,
    }
}

fn request(from: ReplicaId, term: u64, last_index: u64, last_term: u64) -> Envelope {
    Envelope {
        from,
        to: VOTER,
        term,
        message: Message::RequestVote {
            pre_vote: false,
            transfer: false,
            last_index,
            last_term,
        },
    }
}

/// Returns whether the voter grants the request, and the hard state to make durable.
fn request_vote(node: &mut Node, envelope: Envelope, now: Millis) -> (bool, Option<HardState>) {
    node.step(envelope, now);
    let ready = node.ready();
    let granted = ready
        .messages
        .iter()
        .any(|sent| matches!(sent.message, Message::VoteReply { granted: true, .. }));
    (granted, ready.hard_state)
}

#[test]
fn a_second_candidate_of_a_term_gets_no_vote() {
    let mut node = voter(HardState::default(), Vec::new());
    assert!(request_vote(&mut node, request(FIRST, 5, 0, 0), LATER).0);
    assert!(!request_vote(&mut node, request(SECOND, 5, 0, 0), LATER).0);
    assert!(
        request_vote(&mut node, request(FIRST, 5, 0, 0), LATER).0,
        "the same candidate again"
    );
}

#[test]
fn a_vote_is_durable_before_its_reply_and_binds_after_a_restart() {
    let mut node = voter(HardState::default(), Vec::new());
    let (granted, stored) = request_vote(&mut node, request(FIRST, 5, 0, 0), LATER);
    assert!(granted);
    let stored = stored.expect("the vote is made durable before the reply is sent");
    assert_eq!(stored.voted_for, Some(FIRST));
    let mut restarted = voter(stored, Vec::new());
    assert!(!request_vote(&mut restarted, request(SECOND, 5, 0, 0), LATER).0);
}

#[test]
fn a_candidate_with_a_shorter_log_gets_no_vote() {
    let mut node = voter(HardState::default(), vec![noop(1, 1), noop(2, 2)]);
    assert!(!request_vote(&mut node, request(FIRST, 5, 1, 2), LATER).0);
    assert!(
        !request_vote(&mut node, request(FIRST, 6, 9, 1), LATER).0,
        "an older term"
    );
    assert!(request_vote(&mut node, request(FIRST, 7, 2, 2), LATER).0);
}

#[test]
fn a_voter_refuses_votes_after_contact_with_a_leader() {
    let mut node = voter(HardState::default(), Vec::new());
    let heartbeat = Envelope {
        from: FIRST,
        to: VOTER,
        term: 4,
        message: Message::Append {
            previous_index: 0,
            previous_term: 0,
            entries: Vec::new(),
            commit_index: 0,
            sent_at: LATER,
        },
    };
    node.step(heartbeat, LATER);
    let soon = LATER + Millis(900);
    assert!(!request_vote(&mut node, request(SECOND, 5, 0, 0), soon).0);
    let after = LATER + Millis(1000);
    assert!(request_vote(&mut node, request(SECOND, 6, 0, 0), after).0);
}

/// The voter may have acknowledged a heartbeat just before it stopped.
#[test]
fn a_restarted_voter_waits_until_a_lease_has_expired() {
    let mut node = voter(HardState::default(), Vec::new());
    assert!(!request_vote(&mut node, request(FIRST, 5, 0, 0), Millis(1500)).0);
    assert!(request_vote(&mut node, request(FIRST, 5, 0, 0), Millis(2000)).0);
}

#[test]
fn entries_that_do_not_follow_the_local_log_are_rejected() {
    let mut node = voter(HardState::default(), vec![noop(1, 1), noop(2, 1)]);
    let append = |previous_index, previous_term| Envelope {
        from: FIRST,
        to: VOTER,
        term: 4,
        message: Message::Append {
            previous_index,
            previous_term,
            entries: vec![noop(previous_index + 1, 4)],
            commit_index: 0,
            sent_at: LATER,
        },
    };
    let mut accepted = |previous_index, previous_term| {
        node.step(append(previous_index, previous_term), LATER);
        let replies = node.ready().messages;
        replies
            .iter()
            .any(|sent| matches!(sent.message, Message::AppendReply { accepted: true, .. }))
    };
    assert!(!accepted(5, 4), "a gap");
    assert!(!accepted(2, 3), "another term at the index");
    assert!(accepted(2, 1));
}

/// The receivers of the replica's vote requests at `now`, and whether they are pre-votes.
fn vote_requests(node: &mut Node, now: Millis) -> Vec<(ReplicaId, bool)> {
    node.tick(now);
    let asks = |sent: Envelope| match sent.message {
        Message::RequestVote { pre_vote, .. } => Some((sent.to, pre_vote)),
        _ => None,
    };
    node.ready().messages.into_iter().filter_map(asks).collect()
}

/// A request may be lost, for example on a connection whose peer has gone. It is
/// resent, so that the candidate need not wait for another election.
#[test]
fn a_candidate_resends_unanswered_vote_requests() {
    let mut node = voter(HardState::default(), Vec::new());
    let interval = Config::new(VOTER, 1).heartbeat_interval;
    assert_eq!(
        vote_requests(&mut node, LATER),
        [(FIRST, true), (SECOND, true)]
    );
    assert_eq!(vote_requests(&mut node, LATER), [], "not at once");
    let again = LATER + interval;
    assert_eq!(
        vote_requests(&mut node, again),
        [(FIRST, true), (SECOND, true)]
    );
    let granted = Envelope {
        from: SECOND,
        to: VOTER,
        term: 1,
        message: Message::VoteReply {
            pre_vote: true,
            granted: true,
        },
    };
    node.step(granted, again);
    assert_eq!(
        vote_requests(&mut node, again),
        [(FIRST, false), (SECOND, false)]
    );
    let later = again + interval;
    assert_eq!(
        vote_requests(&mut node, later),
        [(FIRST, false), (SECOND, false)]
    );
}
