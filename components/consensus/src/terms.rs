//! Rules about terms: a replica adopts a higher term, replies to a lower one
//! with its own, and ignores elections shortly after contact with a leader.

use garnet_types::ReplicaId;

use crate::entry::HardState;
use crate::message::{Envelope, Message};
use crate::node::{Node, PeerRole};

impl Node {
    /// Applies the rules about terms. Returns whether the message is handled further.
    pub(crate) fn accept_term(&mut self, envelope: &Envelope) -> bool {
        let own = self.hard_state.term;
        if envelope.term > own {
            return self.accept_higher_term(envelope);
        }
        if envelope.term < own {
            self.answer_lower_term(envelope);
            return false;
        }
        true
    }

    fn accept_higher_term(&mut self, envelope: &Envelope) -> bool {
        match &envelope.message {
            Message::RequestVote {
                pre_vote, transfer, ..
            } => {
                // Ignoring elections shortly after contact with a leader keeps
                // its lease valid, and keeps a replica that was partitioned
                // from disturbing the leader.
                let may_have_leader = self.now < self.no_vote_before || self.is_leader();
                if may_have_leader && !transfer {
                    return false;
                }
                if !pre_vote {
                    self.become_follower(envelope.term, None);
                }
                true
            }
            Message::VoteReply {
                pre_vote: true,
                granted: true,
            } => true,
            Message::Append { .. } | Message::SnapshotChunk { .. } => {
                self.become_follower(envelope.term, Some(envelope.from));
                true
            }
            _ => {
                self.become_follower(envelope.term, None);
                true
            }
        }
    }

    fn answer_lower_term(&mut self, envelope: &Envelope) {
        let message = match envelope.message {
            // The reply carries the current term to a deposed leader or an
            // outdated candidate.
            Message::Append { sent_at, .. } | Message::SnapshotChunk { sent_at, .. } => {
                Message::AppendReply {
                    match_index: 0,
                    accepted: false,
                    sent_at,
                }
            }
            Message::RequestVote { pre_vote, .. } => Message::VoteReply {
                pre_vote,
                granted: false,
            },
            _ => return,
        };
        self.send(envelope.from, message);
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.hard_state_changed = true;
        }
        self.role = PeerRole::Follower;
        self.leader = leader;
        self.transfer_to = None;
        self.progress.clear();
        self.reset_election_timer();
    }
}
