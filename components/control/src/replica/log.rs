//! Proposals, the application of committed entries, and snapshots.

use garnet_consensus::{Entry, EntryPayload, Snapshot};
use garnet_types::Millis;

use crate::answer::{ClaimAnswer, CommandAnswer};
use crate::command::{Command, CommandEnvelope};
use crate::configuration::ConfigurationChange;
use crate::effects::{Effect, Halted};
use crate::encoding::{EntryError, encode_entry};
use crate::engine_removals::EngineRemovals;
use crate::messages::ControlReply;
use crate::operator::OperatorAnswer;
use crate::state::ControlState;
use crate::watch::RecentChanges;

use super::level::ProposalError;
use super::snapshot_schedule::MAX_LOG_BYTES;
use super::{PendingProposal, Replica, Requester, Waiter};

/// Longest time that an operator request waits for its change to be in force.
const MAX_IN_FORCE_WAIT: Millis = Millis::from_secs(30);

impl Replica {
    pub(super) fn propose(
        &mut self,
        envelope: &CommandEnvelope,
        requester: Requester,
    ) -> Result<u64, ProposalError> {
        let version = self.entry_version()?;
        let bytes = encode_entry(envelope, version)?;
        let index = self.node.propose(bytes)?;
        let term = self.node.status().term;
        self.pending
            .insert(index, PendingProposal { term, requester });
        Ok(index)
    }

    pub(super) fn propose_own(&mut self, command: Command) -> Option<u64> {
        let envelope = CommandEnvelope::unnamed(command, self.now);
        self.propose(&envelope, Requester::Leader).ok()
    }

    pub(super) fn apply(&mut self, entry: &Entry) {
        if self.halted.is_some() {
            return;
        }
        let applied = match &entry.payload {
            EntryPayload::Command(bytes) => self.apply_command(entry, bytes),
            EntryPayload::Noop | EntryPayload::Membership(_) => Ok(CommandAnswer::Accepted {
                revision: self.state.configuration.index,
            }),
        };
        let answer = match applied {
            Ok(answer) => answer,
            Err(cause) => return self.halt(entry.index, cause),
        };
        self.snapshots.on_applied(entry.payload.len_bytes());
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        if pending.term == entry.term {
            self.answer(pending.requester, answer);
        } else {
            self.answer_unconfirmed(pending.requester);
        }
    }

    fn apply_command(&mut self, entry: &Entry, bytes: &[u8]) -> Result<CommandAnswer, EntryError> {
        let supported = self.settings.upgrade.version;
        let applied = self
            .state
            .apply_encoded(supported, entry.index, entry.term, bytes)?;
        let backends = self.state.configuration.backends.len();
        for change in applied.changes {
            match &change {
                ConfigurationChange::BackendPut(record) => {
                    self.reconciler.update(record);
                    self.engine_removals.on_put(record);
                    self.builds.on_put(record);
                }
                ConfigurationChange::BackendRemoved(id) => {
                    self.reconciler.forget(id);
                    self.engine_removals.on_removed(id, self.state.clock());
                }
                ConfigurationChange::RequestQuarantined(id, _) => self.quarantining.on_logged(id),
                _ => {}
            }
            self.recent.push(entry.index, change, backends);
        }
        Ok(applied.answer)
    }

    /// Stops applying the log: the entries after one that can't be read build on it. The
    /// replica continues to store the log and to vote, and answers no requests.
    fn halt(&mut self, index: u64, cause: EntryError) {
        let halted = Halted { index, cause };
        self.effects.push(Effect::Halted(halted.clone()));
        self.halted = Some(halted);
        self.node.disable_candidacy();
        self.abandon_pending();
    }

    pub(super) fn answer(&mut self, requester: Requester, answer: CommandAnswer) {
        match requester {
            Requester::Operator { ticket, wait } => self.answer_command(ticket, wait, answer),
            Requester::Gateway { connection, claim } => {
                let answer = match answer {
                    CommandAnswer::Claim(answer) => answer,
                    _ => ClaimAnswer::Noted,
                };
                let reply = ControlReply::Claim { claim, answer };
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            Requester::Leader => {}
        }
    }

    pub(super) fn answer_command(&mut self, ticket: u64, wait: bool, answer: CommandAnswer) {
        match answer {
            CommandAnswer::Accepted { revision } if wait => self.waiters.push(Waiter {
                ticket,
                revision,
                answer,
                deadline: self.now + MAX_IN_FORCE_WAIT,
            }),
            answer => {
                let in_force = false;
                self.answer_operator(ticket, OperatorAnswer::Committed { answer, in_force });
            }
        }
    }

    pub(super) fn answer_waiters(&mut self) {
        let now = self.now;
        let mut still_waiting = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            let in_force = self.gateways.all_confirmed(waiter.revision, now);
            if !in_force && now < waiter.deadline {
                still_waiting.push(waiter);
                continue;
            }
            let answer = waiter.answer;
            self.answer_operator(
                waiter.ticket,
                OperatorAnswer::Committed { answer, in_force },
            );
        }
        self.waiters = still_waiting;
    }

    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match ControlState::decode_by(self.settings.upgrade.version, &snapshot.data) {
            Ok(state) => {
                self.recent = RecentChanges::starting_at(state.configuration.index);
                self.engine_removals = EngineRemovals::new(&state.configuration, state.clock());
                self.snapshots.on_snapshot(snapshot.data.len());
                self.state = state;
                self.halted = None;
                if self.has_all_commands() {
                    self.quarantining.on_snapshot();
                }
            }
            Err(error) => self.restore_error = Some(error),
        }
    }

    pub(super) fn take_snapshot_if_due(&mut self) {
        if !self.snapshots.is_due() || self.halted.is_some() {
            return;
        }
        if self.node.is_sending_snapshot() && self.node.log_bytes() < MAX_LOG_BYTES {
            return;
        }
        // This does not fail: a command that the level's version can't express is refused
        // before it is proposed.
        let Ok(data) = self.state.encode() else {
            return;
        };
        let applied_index = self.node.status().applied_index;
        if let Some(snapshot) = self.node.compact(applied_index, data) {
            self.snapshots.on_snapshot(snapshot.data.len());
            self.snapshot_due = Some(snapshot);
        }
    }
}
