//! The replicated state and how each command changes it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use garnet_quarantine::{EngineStart, RequestFingerprint, SuspectedRequest};
use garnet_routes::RouteTable;
use garnet_types::{
    BackendId, BackendKind, CommandId, EncodingVersion, Fence, MachineState, Millis, ServiceId,
};
use serde::{Deserialize, Serialize};

use crate::answer::CommandAnswer;
use crate::claims::Claims;
use crate::command::{Command, CommandEnvelope, MachineUpdate};
use crate::configuration::{
    BackendRecord, BackendRegistration, Configuration, ConfigurationChange, EngineObservation,
    OutstandingOrder, PolicyRecord, QuarantineRecord, Session,
};

use crate::duties::{Tenure, Tenures};
use crate::encoding::{DecodedEntry, EntryError, LogEncoding};
use crate::usage::Usage;

mod formats;

pub use formats::{STATE_FORMAT, StateDecodeError};

/// Number of first answers that are kept for resent commands; the oldest are dropped.
const KEPT_ANSWERS: usize = 10_000;

/// How long a request is quarantined: by then its caller has given up, or an operator has
/// looked at it. Afterwards it is served again, also if it was quarantined by mistake, and
/// may again crash three engines.
pub(crate) const QUARANTINE_DURATION: Millis = Millis::from_secs(4 * 3600);
/// Maximum number of quarantined requests, about 30 bytes each; beyond it the one whose
/// quarantine ends first is released.
const MAX_QUARANTINED: usize = 1024;
/// Maximum number of suspected requests, about 150 bytes each; the oldest are dropped.
const MAX_SUSPECTS: usize = 512;
/// How long a suspected request is kept after it was last reported.
const SUSPECT_RETENTION: Millis = Millis::from_secs(900);

/// The replicated state of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration that gateways work by.
    pub configuration: Configuration,
    /// The document of the route table in force, as the operator wrote it.
    pub routes_document: Option<String>,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Counts of requests by tenant, which are reported to the platform.
    pub usage: Usage,
    /// Holders of the duties towards the platform.
    pub tenures: Tenures,
    /// Number of engines that each service needs, if its engines are bought.
    pub needed_engines: BTreeMap<ServiceId, u32>,
    /// Requests that are suspected of crashing engines but not quarantined yet.
    pub suspects: BTreeMap<RequestFingerprint, SuspectRecord>,
    /// The clock of the log: the highest clock reading of any command.
    clock: Millis,
    answers: BTreeMap<CommandId, CommandAnswer>,
    answer_order: VecDeque<CommandId>,
    /// Encoding versions of the log's entries.
    pub encoding: LogEncoding,
}

/// Record of a suspected request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Engines that ended while they ran it.
    pub engines: Vec<EngineStart>,
    /// When it was last reported, by the clock of the log.
    pub noted_at: Millis,
}

/// The answer to a command and the changes of the configuration that it made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The answer.
    pub answer: CommandAnswer,
    /// Changes of the configuration; none for most refused commands.
    pub changes: Vec<ConfigurationChange>,
}

impl Applied {
    fn without_change(answer: CommandAnswer) -> Self {
        Applied {
            answer,
            changes: Vec::new(),
        }
    }

    fn changed(index: u64, change: ConfigurationChange) -> Self {
        Applied {
            answer: CommandAnswer::Accepted { revision: index },
            changes: vec![change],
        }
    }
}

impl ControlState {
    /// The clock of the log: the highest clock reading of any command.
    pub(crate) fn clock(&self) -> Millis {
        self.clock
    }

    /// Applies the command at `index`, written by the leader of `term`.
    pub fn apply(&mut self, index: u64, term: u64, envelope: &CommandEnvelope) -> Applied {
        self.apply_by(EncodingVersion::CURRENT, index, term, envelope)
    }

    /// Applies a command by the rules of the version that it was written in: members of
    /// that version apply it too, and all must reach the same state.
    pub(crate) fn apply_by(
        &mut self,
        version: EncodingVersion,
        index: u64,
        term: u64,
        envelope: &CommandEnvelope,
    ) -> Applied {
        self.clock = self.clock.max(envelope.at);
        if let Some(first) = self.first_answer(envelope) {
            return Applied::without_change(first);
        }
        let fence = Fence { term, index };
        let applied = self.execute(version, fence, envelope);
        for change in &applied.changes {
            self.configuration.change(index, change);
        }
        if let Some(id) = &envelope.command_id {
            self.keep_answer(id.clone(), applied.answer.clone());
        }
        applied
    }

    /// Decodes an entry as a replica that supports versions up to `supported` does, and
    /// applies its command.
    ///
    /// # Errors
    /// When the entry can't be decoded: the log must not be applied any further.
    pub(crate) fn apply_encoded(
        &mut self,
        supported: EncodingVersion,
        index: u64,
        term: u64,
        bytes: &[u8],
    ) -> Result<Applied, EntryError> {
        let DecodedEntry { envelope, version } = self.encoding.decode_up_to(supported, bytes)?;
        Ok(self.apply_by(version, index, term, &envelope))
    }

    fn first_answer(&self, envelope: &CommandEnvelope) -> Option<CommandAnswer> {
        let id = envelope.command_id.as_ref()?;
        self.answers.get(id).cloned()
    }

    fn keep_answer(&mut self, id: CommandId, answer: CommandAnswer) {
        self.answers.insert(id.clone(), answer);
        self.answer_order.push_back(id);
        while self.answer_order.len() > KEPT_ANSWERS {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }

    fn execute(
        &mut self,
        version: EncodingVersion,
        fence: Fence,
        envelope: &CommandEnvelope,
    ) -> Applied {
        let expected = envelope.expected_revision;
        match &envelope.command {
            Command::CreateSession(session) => self.create_session(fence.index, session),
            Command::CloseSession(id) => {
                let exists = self.configuration.sessions.contains_key(id);
                let change = ConfigurationChange::SessionClosed(id.clone());
                change_if(exists, fence.index, change)
            }
            Command::PutPolicy { name, document } => {
                self.put_policy(fence.index, name, document, expected)
            }
            Command::WithdrawPolicy(name) => self.withdraw_policy(fence.index, name, expected),
            Command::PutRoutes { table, document } => self.put_routes(fence.index, table, document),
            Command::PutBackend(registration) => self.put_backend(fence.index, registration),
            Command::SetMachine { backend, state } => {
                let state = *state;
                self.edit(backend, fence.index, |record| {
                    record.machine = state;
                    Ok(())
                })
            }
            Command::RemoveBackend(id) => self.remove_backend(fence.index, id),
            Command::Assign { engine, assignment } => {
                if let Some(conflict) = self.backend_conflict(engine, expected) {
                    return Applied::without_change(conflict);
                }
                self.edit(engine, fence.index, |record| {
                    if record.registration.kind != BackendKind::Engine {
                        return Err("an application instance has no role".into());
                    }
                    record.desired = Some(assignment.clone());
                    Ok(())
                })
            }
            Command::BeginOrder(engine) => {
                let can_spare = self.configuration.pool_can_spare(engine);
                self.begin_order(fence, engine, can_spare)
            }
            Command::BeginIdleOrder(engine) => {
                let can_spare = self.configuration.idle_pool_can_spare(engine);
                self.begin_order(fence, engine, can_spare)
            }
            Command::RenewOrder { engine, replaces } => self.renew_order(fence, engine, *replaces),
            Command::SettleOrder {
                engine,
                fence: settled,
                observation,
            } => {
                let observation = self.observed(version, engine, observation);
                self.settle_order(fence.index, engine, *settled, observation)
            }
            Command::Observe {
                engine,
                observation,
            } => {
                let observation = self.observed(version, engine, observation);
                self.edit(engine, fence.index, |record| {
                    record.observed = Some(observation);
                    Ok(())
                })
            }
            Command::Claim(claim) => {
                let answer = self.claims.claim(claim, self.clock);
                Applied::without_change(CommandAnswer::Claim(answer))
            }
            Command::ReleaseClaim(claim) => {
                let answer = self.claims.release(claim, self.clock);
                Applied::without_change(CommandAnswer::Claim(answer))
            }
            Command::RecordResult { claim, response } => {
                let answer = self.claims.record(claim, response.clone());
                Applied::without_change(CommandAnswer::Claim(answer))
            }
            Command::BeginTenure(holder) => {
                self.tenures.begin(Tenure {
                    holder: *holder,
                    term: fence.term,
                    token: fence.index,
                });
                self.accepted()
            }
            Command::CountUsage(reports) => {
                reports.iter().for_each(|report| self.usage.count(report));
                self.accepted()
            }
            Command::CloseUsage(window) => {
                self.usage.close(*window);
                self.accepted()
            }
            Command::NoteNeeded { service, engines } => {
                self.needed_engines.insert(service.clone(), *engines);
                self.accepted()
            }
            Command::UsageTold(window) => {
                self.usage.mark_reported(*window);
                self.accepted()
            }
            Command::QuarantineRequest {
                fingerprint,
                crashes,
            } => self.quarantine(fence.index, *fingerprint, *crashes),
            Command::ReleaseRequest(fingerprint) => {
                let exists = self.configuration.quarantine.contains_key(fingerprint);
                let change = ConfigurationChange::RequestReleased(*fingerprint);
                change_if(exists, fence.index, change)
            }
            Command::NoteSuspects(suspects) => {
                self.note_suspects(suspects);
                self.accepted()
            }
            Command::NoteMachines(updates) => self.update_machines(fence.index, updates),
            Command::ForgetMachines(ids) => self.remove_machines(fence.index, ids),
            // The version of the entry has already raised the level.
            Command::RaiseLevel(_) => self.accepted(),
        }
    }

    fn note_suspects(&mut self, suspects: &[SuspectedRequest]) {
        let noted_at = self.clock;
        for SuspectedRequest {
            fingerprint,
            engines,
        } in suspects
        {
            if engines.is_empty() {
                self.suspects.remove(fingerprint);
                continue;
            }
            let engines = engines.clone();
            let record = SuspectRecord { engines, noted_at };
            self.suspects.insert(*fingerprint, record);
        }
        let is_fresh =
            |record: &SuspectRecord| noted_at.since(record.noted_at) <= SUSPECT_RETENTION;
        self.suspects.retain(|_, record| is_fresh(record));
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, r)| r.noted_at);
            let Some(oldest) = oldest.map(|(id, _)| *id) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Invariant: at most [`MAX_QUARANTINED`] requests are quarantined at once.
    fn quarantine(&self, index: u64, fingerprint: RequestFingerprint, crashes: u32) -> Applied {
        let record = QuarantineRecord {
            crashes,
            until: self.clock + QUARANTINE_DURATION,
        };
        let held = &self.configuration.quarantine;
        let mut changes = Vec::new();
        if held.len() >= MAX_QUARANTINED && !held.contains_key(&fingerprint) {
            let first = held.iter().min_by_key(|(_, record)| record.until);
            changes.extend(first.map(|(id, _)| ConfigurationChange::RequestReleased(*id)));
        }
        changes.push(ConfigurationChange::RequestQuarantined(fingerprint, record));
        Applied {
            answer: CommandAnswer::Accepted { revision: index },
            changes,
        }
    }

    /// The result of a command that does not change the configuration.
    fn accepted(&self) -> Applied {
        Applied::without_change(CommandAnswer::Accepted {
            revision: self.configuration.index,
        })
    }

    fn create_session(&self, index: u64, session: &Session) -> Applied {
        match self.configuration.sessions.get(&session.id) {
            None => Applied::changed(index, ConfigurationChange::SessionCreated(session.clone())),
            Some(existing) if existing == session => {
                Applied::without_change(CommandAnswer::Accepted {
                    revision: self.configuration.index,
                })
            }
            Some(_) => Applied::without_change(CommandAnswer::Rejected(
                "a session of this name exists with another content".into(),
            )),
        }
    }

    fn put_policy(&self, index: u64, name: &str, document: &str, expected: Option<u64>) -> Applied {
        if let Some(conflict) = self.policy_conflict(name, expected) {
            return Applied::without_change(conflict);
        }
        let record = PolicyRecord {
            document: document.to_owned(),
            revision: index,
        };
        let name = name.to_owned();
        Applied::changed(index, ConfigurationChange::PolicyPut { name, record })
    }

    fn withdraw_policy(&self, index: u64, name: &str, expected: Option<u64>) -> Applied {
        if let Some(conflict) = self.policy_conflict(name, expected) {
            return Applied::without_change(conflict);
        }
        let exists = self.configuration.policies.contains_key(name);
        let change = ConfigurationChange::PolicyWithdrawn(name.to_owned());
        change_if(exists, index, change)
    }

    /// Invariant: the version only increases. Resent, overtaken and older documents are
    /// all acknowledged and change nothing.
    fn put_routes(&mut self, index: u64, table: &Arc<RouteTable>, document: &str) -> Applied {
        let held = self.routes_version();
        if held.is_some_and(|held| table.version <= held) {
            return Applied::without_change(CommandAnswer::Accepted {
                revision: self.configuration.index,
            });
        }
        self.routes_document = Some(document.to_owned());
        Applied::changed(index, ConfigurationChange::RoutesPut(Arc::clone(table)))
    }

    /// Version of the route table in force.
    pub fn routes_version(&self) -> Option<u64> {
        Some(self.configuration.routes.as_ref()?.version)
    }

    fn policy_conflict(&self, name: &str, expected: Option<u64>) -> Option<CommandAnswer> {
        let record = self.configuration.policies.get(name);
        conflict(record.map_or(0, |record| record.revision), expected)
    }

    fn backend_conflict(&self, id: &BackendId, expected: Option<u64>) -> Option<CommandAnswer> {
        let record = self.configuration.backends.get(id);
        conflict(record.map_or(0, |record| record.revision), expected)
    }

    fn put_backend(&self, index: u64, registration: &BackendRegistration) -> Applied {
        let record = self.registered(index, registration);
        Applied::changed(index, ConfigurationChange::BackendPut(record))
    }

    /// The record of a back end with a new registration.
    fn registered(&self, index: u64, registration: &BackendRegistration) -> BackendRecord {
        match self.configuration.backends.get(&registration.id) {
            Some(existing) => BackendRecord {
                registration: registration.with_known_start(&existing.registration),
                revision: index,
                ..existing.clone()
            },
            None => BackendRecord {
                registration: registration.clone(),
                machine: MachineState::Live,
                desired: None,
                observed: None,
                order: None,
                revision: index,
            },
        }
    }

    /// Updates without effect are skipped, so that a list that was read twice sends
    /// nothing to gateways.
    fn update_machines(&self, index: u64, updates: &[MachineUpdate]) -> Applied {
        let put = |update: &MachineUpdate| {
            let mut record = self.registered(index, &update.registration);
            record.machine = update.state;
            if let Some(observed) = &update.observed {
                record.observed = Some(observed.with_known_start(record.observed.as_ref()));
            }
            let held = self.configuration.backends.get(&update.registration.id);
            let is_changed = held.is_none_or(|held| {
                record.registration != held.registration
                    || record.machine != held.machine
                    || record.observed != held.observed
            });
            is_changed.then_some(ConfigurationChange::BackendPut(record))
        };
        self.changed_by(index, updates.iter().filter_map(put).collect())
    }

    fn remove_machines(&self, index: u64, ids: &[BackendId]) -> Applied {
        let removed = ids
            .iter()
            .flat_map(|id| self.remove_backend(index, id).changes);
        self.changed_by(index, removed.collect())
    }

    /// The result of a command that made these changes, which may be none.
    fn changed_by(&self, index: u64, changes: Vec<ConfigurationChange>) -> Applied {
        if changes.is_empty() {
            return self.accepted();
        }
        Applied {
            answer: CommandAnswer::Accepted { revision: index },
            changes,
        }
    }

    fn remove_backend(&self, index: u64, id: &BackendId) -> Applied {
        match self.configuration.backends.get(id) {
            // An order to an engine on a leaving machine can't be settled any more, so only
            // an order on a live machine prevents the removal.
            Some(record) if record.order.is_some() && record.machine == MachineState::Live => {
                let reason = "an order of this engine is not settled";
                Applied::without_change(CommandAnswer::Rejected(reason.into()))
            }
            found => {
                let change = ConfigurationChange::BackendRemoved(id.clone());
                change_if(found.is_some(), index, change)
            }
        }
    }

    /// Invariant: an engine has at most one outstanding order, and a pool has no more
    /// engines out of routing than it can spare. This is checked when the command is
    /// applied, where commands have one order: of two commands that were proposed at the
    /// same time, each looked right when it was proposed.
    fn begin_order(&self, fence: Fence, engine: &BackendId, can_spare: bool) -> Applied {
        if !can_spare {
            let reason = "the rest of the pool would not serve what it serves now";
            return Applied::without_change(CommandAnswer::Rejected(reason.into()));
        }
        self.edit(engine, fence.index, |record| {
            if record.order.is_some() {
                return Err("an order of this engine is not settled".into());
            }
            let assignment = record.desired.clone().ok_or("nothing is desired")?;
            record.order = Some(OutstandingOrder {
                fence,
                assignment,
                out_of_service_since: fence.index,
            });
            Ok(())
        })
    }

    fn renew_order(&self, fence: Fence, engine: &BackendId, replaces: Fence) -> Applied {
        self.edit(engine, fence.index, |record| match &mut record.order {
            Some(order) if order.fence == replaces => {
                order.fence = fence;
                Ok(())
            }
            _ => Err("the order is not outstanding".into()),
        })
    }

    fn settle_order(
        &self,
        index: u64,
        engine: &BackendId,
        settled: Fence,
        observation: EngineObservation,
    ) -> Applied {
        self.edit(engine, index, |record| {
            if record.order.as_ref().map(|order| order.fence) != Some(settled) {
                return Err("the order is not outstanding".into());
            }
            record.order = None;
            record.observed = Some(observation);
            Ok(())
        })
    }

    /// The observed state of an engine after an observation. Version 11 records each
    /// observation as it is, also if it has no start.
    fn observed(
        &self,
        version: EncodingVersion,
        engine: &BackendId,
        observation: &EngineObservation,
    ) -> EngineObservation {
        if version <= EncodingVersion::V11 {
            return observation.clone();
        }
        let record = self.configuration.backends.get(engine);
        observation.with_known_start(record.and_then(|record| record.observed.as_ref()))
    }

    fn edit(
        &self,
        id: &BackendId,
        index: u64,
        edit: impl FnOnce(&mut BackendRecord) -> Result<(), String>,
    ) -> Applied {
        let Some(existing) = self.configuration.backends.get(id) else {
            return Applied::without_change(CommandAnswer::NotFound);
        };
        let mut record = existing.clone();
        match edit(&mut record) {
            Ok(()) => {
                record.revision = index;
                Applied::changed(index, ConfigurationChange::BackendPut(record))
            }
            Err(reason) => Applied::without_change(CommandAnswer::Rejected(reason)),
        }
    }
}

fn conflict(current_revision: u64, expected: Option<u64>) -> Option<CommandAnswer> {
    let differs = expected.is_some_and(|expected| expected != current_revision);
    differs.then_some(CommandAnswer::Conflict { current_revision })
}

fn change_if(exists: bool, index: u64, change: ConfigurationChange) -> Applied {
    if exists {
        Applied::changed(index, change)
    } else {
        Applied::without_change(CommandAnswer::NotFound)
    }
}
