//! How the leader mends the group: replicas that ask to join get in, ones whose
//! disk is gone and ones that were replaced get out, one step at a time. A pure
//! decision over what the leader sees of the members.
//!
//! Invariant: a voter that is merely silent leaves only when a caught-up
//! replica stands ready for its place. It may be cut off with its disk whole,
//! and a smaller group would commit on fewer disks than the settings promise.
//! A voter whose address belongs to another identity now has lost its disk: it
//! can never answer again, so it leaves at once.

use garnet_types::{Millis, ReplicaId};

use crate::messages::JoinRequest;

/// A voter that was silent for so long may be replaced.
const REPLACE_AFTER: Millis = Millis(2500);
/// A learner that was silent for so long is forgotten.
const FORGET_LEARNER_AFTER: Millis = Millis::from_secs(30);
/// A learner must have answered within this time to get a vote.
const LEARNER_FRESH: Millis = Millis(500);

/// How the leader keeps the group whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupSettings {
    /// Voters that the group shall have: twice the disks that may be lost at
    /// once, and one.
    pub voters: usize,
}

/// One member as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Where peers reach it.
    pub peer_address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it is this leader.
    pub is_leader: bool,
    /// Time since it was heard.
    pub silent_for: Millis,
    /// Whether it holds nearly all of the log.
    pub caught_up: bool,
}

/// The next step towards a whole group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupStep {
    /// A replica that asked gets the log.
    Admit(JoinRequest),
    /// A caught-up learner gets a vote.
    Promote(ReplicaId),
    /// A member leaves.
    Remove(ReplicaId),
}

/// Decides the next step.
pub fn next_step(
    members: &[MemberStatus],
    candidates: &[JoinRequest],
    settings: GroupSettings,
) -> Option<GroupStep> {
    let replaced = |member: &&MemberStatus| {
        let has_its_address = |candidate: &&JoinRequest| {
            candidate.peer_address == member.peer_address && candidate.id != member.id
        };
        !member.is_leader && candidates.iter().any(|c| has_its_address(&c))
    };
    if let Some(member) = members.iter().find(replaced) {
        return Some(GroupStep::Remove(member.id));
    }
    let is_member = |id: ReplicaId| members.iter().any(|member| member.id == id);
    if let Some(candidate) = candidates.iter().find(|c| !is_member(c.id)) {
        return Some(GroupStep::Admit(candidate.clone()));
    }
    let ready = members
        .iter()
        .find(|member| !member.voter && member.caught_up && member.silent_for < LEARNER_FRESH);
    if let Some(learner) = ready {
        let voters = members.iter().filter(|member| member.voter);
        if voters.clone().count() < settings.voters {
            return Some(GroupStep::Promote(learner.id));
        }
        let silent = voters
            .filter(|voter| !voter.is_leader && voter.silent_for >= REPLACE_AFTER)
            .max_by_key(|voter| voter.silent_for);
        if let Some(voter) = silent {
            return Some(GroupStep::Remove(voter.id));
        }
    }
    let forgotten = |member: &&MemberStatus| {
        !member.voter && !member.is_leader && member.silent_for >= FORGET_LEARNER_AFTER
    };
    let learner = members.iter().find(forgotten)?;
    Some(GroupStep::Remove(learner.id))
}
