//! Pre-vote, election and the handing over of the leader's office.

use garnet_types::{Millis, ReplicaId};

use crate::entry::EntryPayload;
use crate::error::ProposeError;
use crate::message::{Envelope, Message};
use crate::node::{Node, PeerRole};
use crate::progress::Progress;

impl Node {
    /// Asks the caught-up follower with the longest log to lead, for a planned
    /// stop. Proposals are refused meanwhile.
    ///
    /// # Errors
    /// When this replica does not lead, or no other voter is caught up.
    pub fn transfer_leadership(&mut self) -> Result<ReplicaId, ProposeError> {
        self.check_may_propose()?;
        let last = self.log.last_index();
        let target = self
            .progress
            .iter()
            .filter(|(id, progress)| self.membership.is_voter(**id) && progress.match_index == last)
            .max_by_key(|(_, progress)| progress.acknowledged_at)
            .map(|(id, _)| *id)
            .ok_or(ProposeError::WouldLoseQuorum)?;
        self.transfer_to = Some(target);
        self.transfer_due = self.now + self.config.election_timeout;
        self.send(target, Message::TimeoutNow);
        Ok(target)
    }

    pub(crate) fn tick_election(&mut self) {
        let may_stand = self.membership.is_voter(self.config.id) && !self.stands_aside;
        if !may_stand {
            return;
        }
        if self.now >= self.election_due {
            self.campaign(true, false);
        } else if self.now.since(self.asked_at) >= self.config.heartbeat_interval {
            self.ask_again();
        }
    }

    /// Asks again those that have not answered: a request may be lost, and an
    /// election with it.
    fn ask_again(&mut self) {
        let term = self.hard_state.term;
        match self.role {
            PeerRole::PreCandidate => self.request_votes(term + 1, true),
            PeerRole::Candidate => self.request_votes(term, false),
            PeerRole::Follower | PeerRole::Leader => {}
        }
    }

    pub(crate) fn handle_timeout_now(&mut self, from: ReplicaId) {
        let from_leader = self.leader == Some(from);
        let may_stand = self.membership.is_voter(self.config.id) && !self.stands_aside;
        if from_leader && may_stand {
            self.campaign(false, true);
        }
    }

    pub(crate) fn handle_vote_request(&mut self, envelope: &Envelope) {
        let Message::RequestVote {
            pre_vote,
            transfer,
            last_index,
            last_term,
        } = envelope.message
        else {
            return;
        };
        let log_is_current =
            (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let lease_may_stand = self.now < self.no_vote_before && !transfer;
        let vote_is_free = match self.hard_state.voted_for {
            Some(voted) => voted == envelope.from,
            None => !self.is_leader(),
        };
        let free = pre_vote || vote_is_free;
        let granted = log_is_current && free && !lease_may_stand;
        if granted && !pre_vote {
            self.hard_state.voted_for = Some(envelope.from);
            self.hard_state_changed = true;
            self.reset_election_timer();
        }
        // A granted pre-vote is answered in the term it asks about.
        let reply_term = if pre_vote && granted {
            envelope.term
        } else {
            self.hard_state.term
        };
        self.send_in_term(
            envelope.from,
            reply_term,
            Message::VoteReply { pre_vote, granted },
        );
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        let awaited = match self.role {
            PeerRole::PreCandidate => pre_vote && term == self.hard_state.term + 1,
            PeerRole::Candidate => !pre_vote && term == self.hard_state.term,
            _ => false,
        };
        if !awaited || !granted {
            return;
        }
        self.votes.insert(from);
        self.count_votes();
    }

    fn campaign(&mut self, pre_vote: bool, transfer: bool) {
        self.reset_election_timer();
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.config.id);
        let term = self.hard_state.term + 1;
        if pre_vote {
            self.role = PeerRole::PreCandidate;
        } else {
            self.role = PeerRole::Candidate;
            self.hard_state.term = term;
            self.hard_state.voted_for = Some(self.config.id);
            self.hard_state_changed = true;
        }
        self.asked_by_transfer = transfer;
        self.request_votes(term, pre_vote);
        self.count_votes();
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool) {
        self.asked_at = self.now;
        let message = Message::RequestVote {
            pre_vote,
            transfer: self.asked_by_transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            if !self.votes.contains(&voter) {
                self.send_in_term(voter, term, message.clone());
            }
        }
    }

    fn count_votes(&mut self) {
        if !self.membership.has_quorum(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            PeerRole::PreCandidate => self.campaign(false, false),
            PeerRole::Candidate => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = PeerRole::Leader;
        self.leader = Some(self.config.id);
        self.transfer_to = None;
        self.leader_since = self.now;
        self.progress.clear();
        self.track_members();
        self.append(EntryPayload::Noop);
    }

    /// Gives every other member a progress record and forgets removed ones.
    pub(crate) fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        let own = self.config.id;
        let now = self.now;
        let members = &self.membership.members;
        self.progress.retain(|id, _| members.contains_key(id));
        for id in members.keys().filter(|id| **id != own) {
            self.progress
                .entry(*id)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.config.id;
        self.membership.voters().filter(|id| *id != own).collect()
    }

    /// When `id` is known to have been in touch, by this leader's clock.
    pub(crate) fn acknowledged_at(&self, id: ReplicaId) -> Option<Millis> {
        if id == self.config.id {
            return Some(self.now);
        }
        self.progress.get(&id)?.acknowledged_at
    }
}
