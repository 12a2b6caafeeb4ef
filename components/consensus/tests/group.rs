//! Elections, replication and membership changes of a group on a simulated network.

mod network;

use garnet_consensus::{EntryPayload, PeerRole, ProposeError};
use garnet_types::{Millis, ReplicaId};
use network::Network;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn a_group_elects_one_leader_and_commits(#[case] size: u64) {
    let mut network = Network::new(size);
    let leader = network.elect();
    network.propose(leader, b"first");
    network.run(Millis(500));
    for id in network.ids() {
        assert_eq!(
            network.commands(id),
            vec![b"first".to_vec()],
            "replica {id}"
        );
    }
}

#[test]
fn an_isolated_leader_commits_nothing_and_its_entries_are_replaced() {
    let mut network = Network::new(3);
    let old = network.elect();
    network.isolate(old);
    network.propose(old, b"lost");
    network.run(Millis(5000));
    let new = network.leader_among(|id| id != old).expect("a new leader");
    network.propose(new, b"kept");
    network.run(Millis(500));
    network.heal();
    network.run(Millis(3000));
    for id in network.ids() {
        assert_eq!(network.commands(id), vec![b"kept".to_vec()], "replica {id}");
    }
    assert_ne!(network.node(old).status().role, PeerRole::Leader);
}

#[test]
fn a_lease_ends_before_another_replica_can_lead() {
    for seed in 0..50 {
        let mut network = Network::with_seed(3, seed);
        let old = network.elect();
        network.run(Millis(1000));
        assert!(network.node(old).holds_lease(network.now()));
        network.isolate(old);
        loop {
            network.run(Millis(10));
            let others = network.leader_among(|id| id != old);
            let old_holds = network.node(old).holds_lease(network.now());
            assert!(
                !(old_holds && others.is_some()),
                "two leases at seed {seed}"
            );
            if others.is_some() {
                break;
            }
        }
    }
}

#[test]
fn a_reconnected_replica_does_not_disturb_the_leader() {
    let mut network = Network::new(3);
    let leader = network.elect();
    let term = network.node(leader).status().term;
    let other = network
        .ids()
        .into_iter()
        .find(|id| *id != leader)
        .expect("another");
    network.isolate(other);
    network.run(Millis(20_000));
    network.heal();
    network.run(Millis(3000));
    assert_eq!(
        network.node(leader).status().term,
        term,
        "no needless election"
    );
    assert!(network.node(leader).is_leader());
}

#[test]
fn a_lagging_replica_catches_up_by_a_snapshot_in_chunks() {
    let mut network = Network::new(3);
    let leader = network.elect();
    let behind = network
        .ids()
        .into_iter()
        .find(|id| *id != leader)
        .expect("another");
    network.isolate(behind);
    for number in 0..200_u32 {
        network.propose(leader, &number.to_le_bytes());
        network.run(Millis(20));
    }
    network.compact(leader);
    network.heal();
    network.run(Millis(5000));
    assert_eq!(network.commands(behind), network.commands(leader));
    assert_eq!(network.commands(behind).len(), 200);
    assert!(
        network.node(behind).snapshot_index() > 0,
        "it received a snapshot"
    );
}

#[test]
fn leadership_is_transferred_without_waiting_for_a_timeout() {
    let mut network = Network::new(3);
    let old = network.elect();
    network.run(Millis(500));
    let now = network.now();
    let target = network
        .node_mut(old)
        .transfer_leadership()
        .expect("a follower is caught up");
    assert!(
        !network.node(old).holds_lease(now),
        "the lease ends at once"
    );
    network.run(Millis(200));
    assert!(network.node(target).is_leader());
}

#[test]
fn members_change_one_at_a_time_and_a_learner_catches_up_first() {
    let mut network = Network::new(3);
    let leader = network.elect();
    for number in 0..100_u32 {
        network.propose(leader, &number.to_le_bytes());
        network.run(Millis(10));
    }
    let joining = ReplicaId(9);
    network.join(joining);
    let added = network
        .node_mut(leader)
        .add_learner(joining, "9".into(), "9".into());
    assert!(added.is_ok());
    let early = network.node_mut(leader).promote(joining);
    assert_eq!(early, Err(ProposeError::ChangePending));
    network.run(Millis(1000));
    assert!(network.node_mut(leader).promote(joining).is_ok());
    network.run(Millis(1000));
    assert_eq!(network.node(joining).membership().voters().count(), 4);
    assert_eq!(network.commands(joining).len(), 100);
    assert!(network.node(leader).survives_one_loss());
}

#[test]
fn a_removal_that_would_lose_the_quorum_is_refused() {
    let mut network = Network::new(3);
    let leader = network.elect();
    network.run(Millis(500));
    let others = network.others(leader);
    network.isolate(others[0]);
    network.run(Millis(1500));
    assert!(!network.node(leader).survives_one_loss());
    let refused = network.node_mut(leader).remove_member(others[1]);
    assert_eq!(refused, Err(ProposeError::WouldLoseQuorum));
    assert!(network.node_mut(leader).remove_member(others[0]).is_ok());
}

/// A replica that has just failed must not count as reachable: a removal that
/// needs it could never be committed.
#[test]
fn a_removal_right_after_a_loss_is_refused() {
    let mut network = Network::new(3);
    let leader = network.elect();
    network.run(Millis(500));
    let others = network.others(leader);
    network.isolate(others[0]);
    network.run(Millis(400));
    let refused = network.node_mut(leader).remove_member(others[1]);
    assert_eq!(refused, Err(ProposeError::WouldLoseQuorum));
}

#[test]
fn a_quorum_is_confirmed_only_by_replies_to_messages_sent_since() {
    let mut network = Network::new(3);
    let leader = network.elect();
    network.run(Millis(500));
    let others = network.others(leader);
    network.isolate(others[0]);
    let since = network.now();
    let confirms = |network: &Network, id| network.node(leader).confirms_quorum_without(id, since);
    assert!(!confirms(&network, others[0]), "nothing was sent since");
    network.run(Millis(400));
    assert!(
        confirms(&network, others[0]),
        "the lost replica can be removed"
    );
    assert!(
        !confirms(&network, others[1]),
        "the live replica can't be removed"
    );
}

#[test]
fn a_replica_with_a_new_disk_can_not_vote_under_its_old_identity() {
    // The leader and a follower commit an entry while the other follower is
    // isolated. Then the first follower loses its disk. With its old identity it
    // could elect the other follower, and the committed entry would be lost.
    let mut network = Network::new(3);
    let leader = network.elect();
    let others = network.others(leader);
    network.isolate(others[1]);
    network.propose(leader, b"committed");
    network.run(Millis(1000));
    network.isolate(leader);
    network.lose_disk(others[0], ReplicaId(77));
    network.reconnect(others[1]);
    network.run(Millis(30_000));
    assert!(
        network.leader_among(|id| id != leader).is_none(),
        "the vote of an unknown replica elected a leader without the committed entry"
    );
}

#[test]
fn membership_entries_reach_every_replica() {
    let mut network = Network::new(3);
    let leader = network.elect();
    network.run(Millis(300));
    let log = network.applied(leader);
    assert!(log.iter().any(|entry| entry.payload == EntryPayload::Noop));
}

/// A previous leader reconnects with uncommitted entries, after many entries
/// were committed without it. Whatever the delay of its link, it is sent little
/// more than the missing entries.
#[rstest]
#[case::near(5)]
#[case::far(60)]
#[case::slower_than_a_heartbeat(400)]
fn missing_entries_are_sent_about_once(#[case] delay_ms: u64) {
    const COMMAND: [u8; 200] = [7; 200];
    const MISSING: usize = 300;
    let mut network = Network::new(3);
    let old = network.elect();
    network.isolate(old);
    for _ in 0..40 {
        network.propose(old, b"lost");
    }
    network.run(Millis(5000));
    let new = network.leader_among(|id| id != old).expect("a new leader");
    for _ in 0..MISSING {
        network.propose(new, &COMMAND);
    }
    network.run(Millis(500));
    network.delay(old, Millis(delay_ms));
    let before = network.entry_bytes_sent_to(old);
    network.heal();
    network.run(Millis(8000));
    assert_eq!(network.commands(old).len(), MISSING, "it has caught up");
    let sent = network.entry_bytes_sent_to(old) - before;
    let missing_bytes = MISSING * COMMAND.len();
    assert!(
        sent <= 2 * missing_bytes,
        "{sent} bytes for {missing_bytes}"
    );
}

/// Entries in flight to a follower that replies late are not resent with each
/// heartbeat.
#[test]
fn entries_in_flight_are_not_resent_while_they_may_arrive() {
    let mut network = Network::new(3);
    let leader = network.elect();
    let far = network.others(leader)[0];
    network.delay(far, Millis(500));
    network.run(Millis(2000));
    let before = network.entry_bytes_sent_to(far);
    for _ in 0..100 {
        network.propose(leader, &[7; 200]);
        network.run(Millis(10));
    }
    network.run(Millis(3000));
    assert_eq!(network.commands(far).len(), 100);
    let sent = network.entry_bytes_sent_to(far) - before;
    assert!(sent <= 2 * 100 * 200, "{sent} bytes for {}", 100 * 200);
}

/// A message does not exceed its size limit, however many entries are pending.
#[test]
fn large_entries_are_sent_one_by_one() {
    let mut network = Network::new(3);
    let leader = network.elect();
    let other = network.others(leader)[0];
    network.isolate(other);
    for _ in 0..20 {
        network.propose(leader, &[7; 200_000]);
    }
    network.run(Millis(500));
    network.heal();
    network.run(Millis(3000));
    assert_eq!(network.commands(other).len(), 20);
    let largest = network.largest_message();
    assert!(largest <= 500_000, "{largest} bytes in one message");
}

/// Messages in flight wait in memory, so that their number alone is no bound for large
/// entries.
#[test]
fn large_entries_in_flight_are_bounded() {
    const ENTRY_BYTES: usize = 1_000_000;
    const MAX_IN_FLIGHT_BYTES: usize = 5 * 1024 * 1024;
    let mut network = Network::new(3);
    let leader = network.elect();
    let other = network.others(leader)[0];
    network.delay(other, Millis(400));
    let sent_before = network.entry_bytes_sent_to(other);
    for _ in 0..8 {
        network.propose(leader, &[7; ENTRY_BYTES]);
    }
    network.run(Millis(100));
    let sent = network.entry_bytes_sent_to(other) - sent_before;
    assert!(sent <= MAX_IN_FLIGHT_BYTES, "{sent} bytes in flight");
    network.run(Millis(5000));
    assert_eq!(network.commands(other).len(), 8);
    let sent = network.entry_bytes_sent_to(other) - sent_before;
    assert!(sent <= 9 * ENTRY_BYTES, "{sent} bytes for 8 entries");
}

/// The driver waits with its next snapshot while one is being sent, which a newer one would
/// start anew, but not for a replica that no longer responds.
#[test]
fn a_snapshot_is_being_sent_until_it_has_arrived_or_the_receiver_is_silent() {
    let mut network = Network::new(3);
    let leader = network.elect();
    let behind = network.others(leader)[0];
    network.isolate(behind);
    for number in 0..200_u32 {
        network.propose(leader, &number.to_le_bytes());
        network.run(Millis(20));
    }
    network.compact(leader);
    assert!(!network.node(leader).is_sending_snapshot());
    network.delay(behind, Millis(50));
    network.reconnect(behind);
    network.run(Millis(400));
    assert!(network.node(leader).is_sending_snapshot());
    network.isolate(behind);
    network.run(Millis(2500));
    assert!(!network.node(leader).is_sending_snapshot());
    network.reconnect(behind);
    network.run(Millis(400));
    assert!(network.node(leader).is_sending_snapshot());
    network.run(Millis(5000));
    assert!(!network.node(leader).is_sending_snapshot());
    assert_eq!(network.commands(behind).len(), 200);
}

/// A follower that responds is sent the entries that it lacks, also if a snapshot covers them.
#[test]
fn a_snapshot_leaves_the_entries_that_a_slow_follower_lacks() {
    const ENTRY_BYTES: usize = 1_000_000;
    let mut network = Network::new(3);
    let leader = network.elect();
    let slow = network.others(leader)[0];
    network.delay(slow, Millis(400));
    network.run(Millis(1000));
    for _ in 0..8 {
        network.propose(leader, &[7; ENTRY_BYTES]);
    }
    network.run(Millis(100));
    network.compact(leader);
    assert!(network.node(leader).log_bytes() >= 8 * ENTRY_BYTES);
    network.run(Millis(5000));
    assert_eq!(network.commands(slow).len(), 8);
    assert_eq!(
        network.node(slow).snapshot_index(),
        0,
        "it was sent no snapshot"
    );
    network.propose(leader, b"last");
    network.run(Millis(1000));
    network.compact(leader);
    assert!(network.node(leader).log_bytes() < ENTRY_BYTES);
}
