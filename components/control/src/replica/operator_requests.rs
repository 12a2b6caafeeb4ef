//! Commands, queries and membership changes of operators.

use std::collections::BTreeMap;

use garnet_consensus::{Member, PeerRole, ProposeError};
use garnet_policy::Policy;
use garnet_types::{Millis, ReplicaId};

use crate::answer::CommandAnswer;
use crate::command::{Command, CommandEnvelope};
use crate::effects::Effect;
use crate::operator::{MemberChange, MemberView, OperatorAnswer, OperatorRequest, StatusView};

use super::level::ProposalError;
use super::{PendingProposal, Removal, Replica, Requester};

/// How long a removal waits for responses of a majority of the remaining members.
const REMOVAL_TIMEOUT: Millis = Millis(1000);

impl Replica {
    pub(super) fn handle_operator(&mut self, ticket: u64, request: OperatorRequest) {
        match request {
            OperatorRequest::Status => {
                let view = Box::new(self.status_view());
                self.answer_operator(ticket, OperatorAnswer::Status(view));
            }
            OperatorRequest::Routes if self.may_answer_reads() => {
                let document = self.state.routes_document.clone();
                self.answer_operator(ticket, OperatorAnswer::Routes(document));
            }
            OperatorRequest::Configuration if self.may_answer_reads() => {
                let configuration = Box::new(self.state.configuration.clone());
                self.answer_operator(ticket, OperatorAnswer::Configuration(configuration));
            }
            OperatorRequest::Command { mut envelope, wait } => {
                envelope.at = self.now;
                self.handle_command(ticket, &envelope, wait);
            }
            OperatorRequest::Member(change) => self.handle_member(ticket, change),
            OperatorRequest::RaiseLevel if self.may_answer_reads() => {
                let answer = match self.raise_level_now() {
                    Ok(()) => OperatorAnswer::Committed {
                        answer: CommandAnswer::Accepted {
                            revision: self.state.configuration.index,
                        },
                        in_force: false,
                    },
                    Err(reason) => OperatorAnswer::NotYet(reason),
                };
                self.answer_operator(ticket, answer);
            }
            OperatorRequest::Configuration
            | OperatorRequest::Routes
            | OperatorRequest::RaiseLevel => {
                let answer = OperatorAnswer::NotLeader(self.leader_admin_address());
                self.answer_operator(ticket, answer);
            }
        }
    }

    pub(super) fn handle_command(&mut self, ticket: u64, envelope: &CommandEnvelope, wait: bool) {
        if let Command::PutPolicy { name, document } = &envelope.command
            && let Err(findings) = Policy::compile(name, document)
        {
            let answer = OperatorAnswer::Refused(findings.to_string());
            self.answer_operator(ticket, answer);
            return;
        }
        let requester = Requester::Operator { ticket, wait };
        match self.propose(envelope, requester) {
            Ok(_) => {}
            Err(ProposalError::Consensus(error)) => self.answer_refused(ticket, &error),
            Err(ProposalError::LogNotReadable(_) | ProposalError::LevelUnknown) => {
                self.answer_operator(ticket, OperatorAnswer::Unconfirmed);
            }
            Err(error @ ProposalError::Level(_)) => {
                self.request_level();
                self.answer_operator(ticket, OperatorAnswer::NotYet(error.to_string()));
            }
        }
    }

    pub(super) fn handle_member(&mut self, ticket: u64, change: MemberChange) {
        let proposed = match change {
            MemberChange::AddLearner {
                id,
                peer_address,
                admin_address,
            } => self.node.add_learner(id, peer_address, admin_address),
            MemberChange::Promote(id) => self.node.promote(id),
            MemberChange::Remove(id) if self.node.is_leader() => {
                let requested_at = self.now;
                self.removals.push(Removal {
                    ticket,
                    id,
                    requested_at,
                });
                return;
            }
            MemberChange::Remove(id) => self.node.remove_member(id),
            MemberChange::TransferLeadership => {
                self.transfer(ticket);
                return;
            }
        };
        self.track_member_proposal(ticket, proposed);
    }

    /// Proposes removals for which a majority of the remaining members has responded since
    /// the request, and refuses those for which it has not in time. A membership change is
    /// in force from its proposal on: one that could not be committed would leave the group
    /// without a majority for good.
    pub(super) fn process_removals(&mut self) {
        for removal in std::mem::take(&mut self.removals) {
            let Removal {
                ticket,
                id,
                requested_at,
            } = removal;
            if self.node.confirms_quorum_without(id, requested_at) {
                let proposed = self.node.remove_member(id);
                self.track_member_proposal(ticket, proposed);
            } else if self.now.since(requested_at) >= REMOVAL_TIMEOUT {
                self.answer_refused(ticket, &ProposeError::WouldLoseQuorum);
            } else {
                self.removals.push(removal);
            }
        }
    }

    fn track_member_proposal(&mut self, ticket: u64, proposed: Result<u64, ProposeError>) {
        match proposed {
            Ok(index) => {
                let term = self.node.status().term;
                let wait = false;
                let requester = Requester::Operator { ticket, wait };
                self.pending
                    .insert(index, PendingProposal { term, requester });
            }
            Err(error) => self.answer_refused(ticket, &error),
        }
    }

    pub(super) fn transfer(&mut self, ticket: u64) {
        match self.node.transfer_leadership() {
            Ok(_) => {
                let answer = CommandAnswer::Accepted {
                    revision: self.state.configuration.index,
                };
                let in_force = false;
                self.answer_operator(ticket, OperatorAnswer::Committed { answer, in_force });
            }
            Err(error) => self.answer_refused(ticket, &error),
        }
    }

    pub(super) fn answer_refused(&mut self, ticket: u64, error: &ProposeError) {
        let answer = match error {
            ProposeError::NotLeader(_) | ProposeError::Transferring => {
                OperatorAnswer::NotLeader(self.leader_admin_address())
            }
            other => OperatorAnswer::Refused(other.to_string()),
        };
        self.answer_operator(ticket, answer);
    }

    pub(super) fn answer_operator(&mut self, ticket: u64, answer: OperatorAnswer) {
        self.effects.push(Effect::AnswerOperator { ticket, answer });
    }

    pub(super) fn status_view(&self) -> StatusView {
        let status = self.node.status();
        let role = match status.role {
            PeerRole::Follower => "follower",
            PeerRole::PreCandidate => "pre_candidate",
            PeerRole::Candidate => "candidate",
            PeerRole::Leader => "leader",
        };
        let backends = &self.state.configuration.backends;
        let orders = backends
            .iter()
            .filter_map(|(id, record)| Some((id.to_string(), record.order.as_ref()?.fence)))
            .collect();
        StatusView {
            replica: self.node.id(),
            role: role.to_owned(),
            term: status.term,
            leader: status.leader,
            holds_lease: self.node.holds_lease(self.now),
            commit_index: status.commit_index,
            applied_index: status.applied_index,
            configuration_index: self.state.configuration.index,
            claims: self.state.claims.len(),
            version: self.version(),
            level: self.level(),
            halted: self.halted.as_ref().map(|halted| halted.cause.to_string()),
            survives_one_loss: self.node.survives_one_loss(),
            members: self.member_views(),
            gateways: self
                .gateways
                .view(self.now, |gateway| self.gateway_version(gateway)),
            orders,
        }
    }

    pub(super) fn member_views(&self) -> BTreeMap<ReplicaId, MemberView> {
        let followers = self.node.followers();
        let view = |(id, member): (&ReplicaId, &Member)| {
            let progress = followers.get(id);
            let silent_for = progress
                .and_then(|progress| progress.acknowledged_at)
                .map(|at| self.now.since(at));
            let view = MemberView {
                peer_address: member.peer_address.clone(),
                admin_address: member.admin_address.clone(),
                voter: member.voter,
                match_index: progress.map(|progress| progress.match_index),
                silent_for,
                version: self.member_version(*id),
            };
            (*id, view)
        };
        self.node.membership().members.iter().map(view).collect()
    }
}
