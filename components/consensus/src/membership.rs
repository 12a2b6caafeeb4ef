//! Membership changes, one replica at a time.
//!
//! Any majorities of two groups that differ by one voter have a member in
//! common, so a change takes effect as soon as it is appended. The next change
//! may start only when the previous one is committed and the leader has
//! committed an entry of its own term (the 2015 correction to section 4.1 of the
//! Raft dissertation).

use garnet_types::{Millis, ReplicaId};

use crate::entry::{EntryPayload, Member, Membership};
use crate::error::ProposeError;
use crate::node::Node;

/// Maximum count of entries by which a replica may lag and still be caught up.
pub(crate) const CAUGHT_UP_ENTRIES: u64 = 64;

impl Node {
    /// Adds a learner: a replica that receives the log and does not vote.
    ///
    /// # Errors
    /// See [`ProposeError`]; nothing changes then.
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

    /// Makes a caught-up learner a voter.
    ///
    /// # Errors
    /// See [`ProposeError`]; nothing changes then.
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

    /// Removes a replica from the group.
    ///
    /// # Errors
    /// See [`ProposeError`]; nothing changes then. The last voter can't be
    /// removed, nor one without which the reachable voters are no quorum.
    pub fn remove_member(&mut self, id: ReplicaId) -> Result<u64, ProposeError> {
        self.check_may_change()?;
        let mut next = self.membership.clone();
        next.members
            .remove(&id)
            .ok_or(ProposeError::UnknownMember(id))?;
        if !self.has_reachable_quorum(&next) {
            return Err(ProposeError::WouldLoseQuorum);
        }
        Ok(self.change_membership(next))
    }

    /// Whether a majority of the group without `id` acknowledged a message sent
    /// at `since` or later, so that the removal of `id` can be committed.
    pub fn confirms_quorum_without(&self, id: ReplicaId, since: Millis) -> bool {
        let mut next = self.membership.clone();
        next.members.remove(&id);
        let acknowledged = |voter| self.acknowledged_at(voter).is_some_and(|at| at >= since);
        next.has_quorum(acknowledged)
    }

    /// Whether the group would keep its quorum if one more voter failed now. A
    /// group repair is complete only when this holds.
    pub fn survives_one_loss(&self) -> bool {
        let last = self.log.last_index();
        let current = self
            .membership
            .voters()
            .filter(|id| self.is_nearly_current(*id, last))
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

    fn has_reachable_quorum(&self, next: &Membership) -> bool {
        next.voters().count() > 0 && next.has_quorum(|id| self.is_reachable(id))
    }

    /// Whether a member acknowledged a message sent within the last two
    /// heartbeat intervals. A longer window could count a member that has failed: a change
    /// that needs it could never be committed, but takes effect when proposed.
    fn is_reachable(&self, id: ReplicaId) -> bool {
        let heartbeat = self.config.heartbeat_interval;
        self.acknowledged_at(id)
            .is_some_and(|at| self.now.since(at) < heartbeat + heartbeat)
    }

    fn is_nearly_current(&self, id: ReplicaId, last: u64) -> bool {
        let durable_index = match self.progress.get(&id) {
            Some(progress) => progress.match_index,
            None => self.log.persisted_index(),
        };
        self.is_reachable(id) && durable_index + CAUGHT_UP_ENTRIES >= last
    }
}
