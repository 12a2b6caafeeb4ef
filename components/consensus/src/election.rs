//! Pre-vote, election and leadership transfer.

use garnet_types::{Millis, ReplicaId};

use crate::entry::EntryPayload;
use crate::error::ProposeError;
use crate::message::{Envelope, Message};
use crate::node::{Node, PeerRole};
use crate::progress::Progress;

impl Node {
    /// Starts a leadership transfer, before a planned stop, to the most recently
    /// reachable voter that holds the whole log. Proposals are refused during
    /// the transfer.
    ///
    /// # Errors
    /// When this replica is not the leader, or no other voter holds the whole log.
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
        let may_campaign = self.membership.is_voter(self.config.id) && !self.candidacy_disabled;
        if !may_campaign {
            return;
        }
        if self.now >= self.election_due {
            self.campaign(true, false);
        } else if self.now.since(self.votes_requested_at) >= self.config.heartbeat_interval {
            self.resend_vote_requests();
        }
    }

    /// Resends vote requests to the voters that have not granted one, as a lost
    /// request could otherwise fail the election.
    fn resend_vote_requests(&mut self) {
        let term = self.hard_state.term;
        match self.role {
            PeerRole::PreCandidate => self.request_votes(term + 1, true),
            PeerRole::Candidate => self.request_votes(term, false),
            PeerRole::Follower | PeerRole::Leader => {}
        }
    }

    pub(crate) fn handle_timeout_now(&mut self, from: ReplicaId) {
        let from_leader = self.leader == Some(from);
        let may_campaign = self.membership.is_voter(self.config.id) && !self.candidacy_disabled;
        if from_leader && may_campaign {
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
        let lease_may_be_valid = self.now < self.no_vote_before && !transfer;
        let vote_is_available = match self.hard_state.voted_for {
            Some(voted) => voted == envelope.from,
            None => !self.is_leader(),
        };
        let may_grant = pre_vote || vote_is_available;
        let granted = log_is_current && may_grant && !lease_may_be_valid;
        if granted && !pre_vote {
            self.hard_state.voted_for = Some(envelope.from);
            self.hard_state_changed = true;
            self.reset_election_timer();
        }
        // The reply to a granted pre-vote carries the term of the request.
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
        let is_expected = match self.role {
            PeerRole::PreCandidate => pre_vote && term == self.hard_state.term + 1,
            PeerRole::Candidate => !pre_vote && term == self.hard_state.term,
            _ => false,
        };
        if !is_expected || !granted {
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
        self.campaign_is_transfer = transfer;
        self.request_votes(term, pre_vote);
        self.count_votes();
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool) {
        self.votes_requested_at = self.now;
        let message = Message::RequestVote {
            pre_vote,
            transfer: self.campaign_is_transfer,
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

    /// Adds a progress record for each new member and drops those of removed members.
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

    /// When the latest message that `id` acknowledged was sent, by this leader's clock.
    pub(crate) fn acknowledged_at(&self, id: ReplicaId) -> Option<Millis> {
        if id == self.config.id {
            return Some(self.now);
        }
        self.progress.get(&id)?.acknowledged_at
    }
}
