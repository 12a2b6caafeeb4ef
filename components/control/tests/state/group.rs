//! How the leader repairs the group: the next step, given the state of the members.

use garnet_control::{GroupSettings, GroupStep, JoinRequest, MemberStatus, next_step};
use garnet_types::{Millis, ReplicaId};
use rstest::rstest;

const FIVE: GroupSettings = GroupSettings { voters: 5 };

fn voter(id: u64) -> MemberStatus {
    MemberStatus {
        id: ReplicaId(id),
        peer_address: format!("10.0.0.{id}:7380"),
        voter: true,
        is_leader: id == 1,
        silent_for: Millis(50),
        caught_up: true,
    }
}

fn silent(id: u64, for_ms: u64) -> MemberStatus {
    MemberStatus {
        silent_for: Millis(for_ms),
        ..voter(id)
    }
}

fn learner(id: u64, caught_up: bool) -> MemberStatus {
    MemberStatus {
        voter: false,
        caught_up,
        ..voter(id)
    }
}

fn join_request(id: u64, address: u64) -> JoinRequest {
    JoinRequest {
        id: ReplicaId(id),
        peer_address: format!("10.0.0.{address}:7380"),
        admin_address: format!("10.0.0.{address}:8144"),
    }
}

fn voters(ids: &[u64]) -> Vec<MemberStatus> {
    ids.iter().map(|id| voter(*id)).collect()
}

#[rstest]
#[case::complete(voters(&[1, 2, 3, 4, 5]), vec![], None)]
#[case::asks_to_join(voters(&[1, 2, 3]), vec![join_request(4, 4)], Some(GroupStep::Admit(join_request(4, 4))))]
#[case::already_a_member(voters(&[1, 2, 3]), vec![join_request(3, 3)], None)]
#[case::caught_up([voters(&[1, 2, 3]), vec![learner(4, true)]].concat(), vec![], Some(GroupStep::Promote(ReplicaId(4))))]
#[case::behind([voters(&[1, 2, 3]), vec![learner(4, false)]].concat(), vec![], None)]
#[case::enough_voters([voters(&[1, 2, 3, 4, 5]), vec![learner(6, true)]].concat(), vec![], None)]
#[case::lost_its_disk(voters(&[1, 2, 3, 4, 5]), vec![join_request(99, 5)], Some(GroupStep::Remove(ReplicaId(5))))]
#[case::silent_without_a_replacement([voters(&[1, 2, 3, 4]), vec![silent(5, 60_000)]].concat(), vec![], None)]
#[case::silent_with_a_learner_behind([voters(&[1, 2, 3, 4]), vec![silent(5, 60_000), learner(6, false)]].concat(), vec![], None)]
#[case::silent_and_replaced([voters(&[1, 2, 3, 4]), vec![silent(5, 60_000), learner(6, true)]].concat(), vec![], Some(GroupStep::Remove(ReplicaId(5))))]
#[case::silent_for_a_moment([voters(&[1, 2, 3, 4]), vec![silent(5, 1_000), learner(6, true)]].concat(), vec![], None)]
#[case::silent_learner([voters(&[1, 2, 3, 4, 5]), vec![MemberStatus { silent_for: Millis(60_000), ..learner(6, true) }]].concat(), vec![], Some(GroupStep::Remove(ReplicaId(6))))]
fn the_next_step(
    #[case] members: Vec<MemberStatus>,
    #[case] candidates: Vec<JoinRequest>,
    #[case] step: Option<GroupStep>,
) {
    assert_eq!(next_step(&members, &candidates, FIVE), step);
}
