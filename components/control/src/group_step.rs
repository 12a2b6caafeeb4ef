//! How the leader repairs the group: it admits replicas that ask to join and removes
//! members that lost their disk or were replaced, one step at a time. The decision is a
//! pure function of what the leader knows about the members.
//!
//! Invariant: a voter that is merely silent is removed only when a caught-up replica can
//! take its place. It may be partitioned with its disk intact, and a smaller group would
//! commit on fewer disks than the settings promise. A voter whose address now belongs to
//! another identity has lost its disk: it can never answer again, so it is removed at
//! once.

use garnet_types::{Millis, ReplicaId};

use crate::messages::JoinRequest;

/// A voter that is silent for this long may be replaced.
const VOTER_TIMEOUT: Millis = Millis(2500);
/// A learner that is silent for this long is removed.
const LEARNER_TIMEOUT: Millis = Millis::from_secs(30);
/// A learner must have answered within this time to be promoted.
const MAX_PROMOTION_SILENCE: Millis = Millis(500);

/// Settings of the group's repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupSettings {
    /// Wanted number of voters: twice the number of disks that may be lost at once, plus
    /// one.
    pub voters: usize,
}

/// State of one member as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Address for peers.
    pub peer_address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it is this leader.
    pub is_leader: bool,
    /// Time since its last message.
    pub silent_for: Millis,
    /// Whether it has nearly all of the log.
    pub caught_up: bool,
}

/// A change of the group's members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupStep {
    /// Adds a replica that asked to join as a learner.
    Admit(JoinRequest),
    /// Gives a caught-up learner a vote.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Decides the next step of the repair, if there is any.
pub fn next_step(
    members: &[MemberStatus],
    join_requests: &[JoinRequest],
    settings: GroupSettings,
) -> Option<GroupStep> {
    let replaced = |member: &&MemberStatus| {
        let has_its_address = |join_request: &&JoinRequest| {
            join_request.peer_address == member.peer_address && join_request.id != member.id
        };
        !member.is_leader
            && join_requests
                .iter()
                .any(|request| has_its_address(&request))
    };
    if let Some(member) = members.iter().find(replaced) {
        return Some(GroupStep::Remove(member.id));
    }
    let is_member = |id: ReplicaId| members.iter().any(|member| member.id == id);
    if let Some(join_request) = join_requests.iter().find(|request| !is_member(request.id)) {
        return Some(GroupStep::Admit(join_request.clone()));
    }
    let ready = members.iter().find(|member| {
        !member.voter && member.caught_up && member.silent_for < MAX_PROMOTION_SILENCE
    });
    if let Some(learner) = ready {
        let voters = members.iter().filter(|member| member.voter);
        if voters.clone().count() < settings.voters {
            return Some(GroupStep::Promote(learner.id));
        }
        let silent = voters
            .filter(|voter| !voter.is_leader && voter.silent_for >= VOTER_TIMEOUT)
            .max_by_key(|voter| voter.silent_for);
        if let Some(voter) = silent {
            return Some(GroupStep::Remove(voter.id));
        }
    }
    let is_lost_learner = |member: &&MemberStatus| {
        !member.voter && !member.is_leader && member.silent_for >= LEARNER_TIMEOUT
    };
    let learner = members.iter().find(is_lost_learner)?;
    Some(GroupStep::Remove(learner.id))
}
