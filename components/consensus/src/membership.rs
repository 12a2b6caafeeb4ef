//! Membership changes, one replica at a time.
//!
//! Two groups that differ by one voter share a member in any two majorities,
//! so a change is in force as soon as it is in the log. The next one may start
//! only when the last is committed, and only after the leader has committed an
//! entry of its own term (the correction of 2015 to section 4.1).

use garnet_types::{Millis, ReplicaId};

use crate::entry::{EntryPayload, Member, Membership};
use crate::error::ProposeError;
use crate::node::Node;

/// How far a learner's log may lag when it is given a vote, in entries.
pub(crate) const CAUGHT_UP_ENTRIES: u64 = 64;

impl Node {
    /// Adds a replica that receives the log and does not vote.
    ///
    /// # Errors
    /// As [`ProposeError`] says; nothing is changed then.
    pub fn add_learner(
        &mut self,
        id: ReplicaId,
        peer_address: String,
        admin_address: String,
    ) -> Result<u64, ProposeError> {
        self.check_may_change()?;
        if self.membership.members.contains_key(&id) {
            return Err(ProposeError::AlreadyMember(id));
        }
        let mut next = self.membership.clone();
        let learner = Member {
            peer_address,
            admin_address,
            voter: false,
        };
        next.members.insert(id, learner);
        Ok(self.change_membership(next))
    }

    /// Gives a caught-up learner its vote.
    ///
    /// # Errors
    /// As [`ProposeError`] says; nothing is changed then.
    pub fn promote(&mut self, id: ReplicaId) -> Result<u64, ProposeError> {
        self.check_may_change()?;
        let mut next = self.membership.clone();
        let member = next
            .members
            .get_mut(&id)
            .ok_or(ProposeError::UnknownMember(id))?;
        if member.voter {
            return Err(ProposeError::AlreadyMember(id));
        }
        if !self.is_caught_up(id) {
            return Err(ProposeError::NotCaughtUp(id));
        }
        member.voter = true;
        Ok(self.change_membership(next))
    }

    /// Takes a replica out of the group.
    ///
    /// # Errors
    /// As [`ProposeError`] says; nothing is changed then. The last voter, and a
    /// voter without which the reachable ones are no quorum, stay.
    pub fn remove_member(&mut self, id: ReplicaId) -> Result<u64, ProposeError> {
        self.check_may_change()?;
        let mut next = self.membership.clone();
        next.members
            .remove(&id)
            .ok_or(ProposeError::UnknownMember(id))?;
        if !self.reachable_quorum(&next) {
            return Err(ProposeError::WouldLoseQuorum);
        }
        Ok(self.change_membership(next))
    }

    /// Whether a majority of the group without `id` answered a message that
    /// was sent at `since` or later: a removal can surely be committed then.
    pub fn confirms_quorum_without(&self, id: ReplicaId, since: Millis) -> bool {
        let mut next = self.membership.clone();
        next.members.remove(&id);
        let answered = |voter| self.acknowledged_at(voter).is_some_and(|at| at >= since);
        next.has_quorum(answered)
    }

    /// Whether one more voter could be lost now without losing the quorum:
    /// a repair is not done before this holds.
    pub fn survives_one_loss(&self) -> bool {
        let last = self.log.last_index();
        let current = self
            .membership
            .voters()
            .filter(|id| self.is_current(*id, last))
            .count();
        self.is_leader() && current > self.membership.quorum()
    }

    pub(crate) fn step_down_if_removed(&mut self) {
        let removed = !self.membership.is_voter(self.config.id);
        if self.is_leader() && removed && self.membership_index <= self.commit_index {
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn check_may_change(&self) -> Result<(), ProposeError> {
        self.check_may_propose()?;
        if !self.term_is_committed() {
            return Err(ProposeError::TermNotCommitted);
        }
        if self.membership_index > self.commit_index {
            return Err(ProposeError::ChangePending);
        }
        Ok(())
    }

    fn change_membership(&mut self, next: Membership) -> u64 {
        let index = self.append(EntryPayload::Membership(next));
        self.track_members();
        self.broadcast_append();
        index
    }

    fn reachable_quorum(&self, next: &Membership) -> bool {
        next.voters().count() > 0 && next.has_quorum(|id| self.is_in_touch(id))
    }

    /// Whether a member answered within the last heartbeats. One that died a
    /// moment longer ago must not count: a change that then needs it could
    /// never be committed, and the change is in force from its proposal on.
    fn is_in_touch(&self, id: ReplicaId) -> bool {
        let heartbeat = self.config.heartbeat_interval;
        self.acknowledged_at(id)
            .is_some_and(|at| self.now.since(at) < heartbeat + heartbeat)
    }

    fn is_current(&self, id: ReplicaId, last: u64) -> bool {
        let held = match self.progress.get(&id) {
            Some(progress) => progress.match_index,
            None => self.log.persisted_index(),
        };
        self.is_in_touch(id) && held + CAUGHT_UP_ENTRIES >= last
    }
}
