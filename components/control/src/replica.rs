//! One replica of the control group: consensus, state and the leader's duties.

use std::collections::{BTreeMap, BTreeSet};

use displaydoc::Display;
use garnet_consensus::{
    Config, Entry, EntryPayload, Member, Node, PeerRole, ProposeError, Ready, Restored, Snapshot,
};
use garnet_planner::PlannerSettings;
use garnet_policy::Policy;
use garnet_types::{BackendId, Fence, GatewayId, MachineState, Millis, OrderAnswer, ReplicaId};
use thiserror::Error;

use crate::answer::{ClaimAnswer, CommandAnswer};
use crate::command::{ClaimCommand, Command, CommandEnvelope};
use crate::configuration::BackendRegistration;
use crate::effects::{Effect, EngineRequest, Event, MachineEntry};
use crate::gateways::GatewayLeases;
use crate::messages::{ClaimRequest, ControlReply, GatewayRequest, PoolMix};
use crate::operator::{MemberChange, MemberView, OperatorAnswer, OperatorRequest, StatusView};
use crate::planning::{EngineFacts, Planning};
use crate::reconciler::{Present, Reconciler, Step};
use crate::state::{ControlState, StateDecodeError};
use crate::watch::RecentChanges;

/// How often the leader looks at the engines.
const RECONCILE_INTERVAL: Millis = Millis(100);
/// A machine that is missing from the list for this long counts as leaving.
const MISSING_MACHINE: Millis = Millis::from_secs(10);
/// Longest wait of an operator for a change to be in force.
const LONGEST_WAIT: Millis = Millis::from_secs(30);

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Consensus timing and identity.
    pub consensus: Config,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// The role planner; `None` leaves roles to the operators.
    pub planner: Option<PlannerSettings>,
}

/// A replica's disk holds a state that this program can't read.
#[derive(Debug, Display, Error)]
pub enum RestoreError {
    /// snapshot at index {index}: {source}
    Snapshot {
        /// Index of the snapshot.
        index: u64,
        /// What is wrong with it.
        source: StateDecodeError,
    },
}

/// Who waits for a proposed command.
#[derive(Debug)]
enum Asker {
    Operator {
        ticket: u64,
        wait: bool,
    },
    Gateway {
        connection: u64,
        claim: ClaimCommand,
    },
    Leader,
}

#[derive(Debug)]
struct Pending {
    term: u64,
    asker: Asker,
}

/// An operator who waits for a change to be in force.
#[derive(Debug)]
struct Waiter {
    ticket: u64,
    revision: u64,
    answer: CommandAnswer,
    until: Millis,
}

/// The state machine of one replica.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    state: ControlState,
    recent: RecentChanges,
    settings: ReplicaSettings,
    pending: BTreeMap<u64, Pending>,
    waiters: Vec<Waiter>,
    gateways: GatewayLeases,
    reconciler: Reconciler,
    planning: Option<Planning>,
    reconciled_at: Millis,
    missing_since: BTreeMap<BackendId, Millis>,
    led_term: Option<u64>,
    effects: Vec<Effect>,
    snapshot_due: Option<Snapshot>,
    failed: Option<StateDecodeError>,
    now: Millis,
}

impl Replica {
    /// Starts a replica from what its disk holds.
    ///
    /// # Errors
    /// When the snapshot can't be read by this program.
    pub fn new(
        settings: ReplicaSettings,
        restored: Restored,
        now: Millis,
    ) -> Result<Self, RestoreError> {
        let state = match &restored.snapshot {
            Some(snapshot) => {
                ControlState::decode(&snapshot.data).map_err(|source| RestoreError::Snapshot {
                    index: snapshot.index,
                    source,
                })?
            }
            None => ControlState::default(),
        };
        let recent = RecentChanges::starting_at(state.configuration.index);
        Ok(Replica {
            node: Node::new(settings.consensus.clone(), restored, now),
            planning: settings.planner.map(Planning::new),
            state,
            recent,
            settings,
            pending: BTreeMap::new(),
            waiters: Vec::new(),
            gateways: GatewayLeases::default(),
            reconciler: Reconciler::default(),
            reconciled_at: Millis::ZERO,
            missing_since: BTreeMap::new(),
            led_term: None,
            effects: Vec::new(),
            snapshot_due: None,
            failed: None,
            now,
        })
    }

    /// The replicated state as applied here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The consensus node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Why the replica can't go on, once it can't: a snapshot from the leader
    /// that this program can't read.
    pub fn failure(&self) -> Option<&StateDecodeError> {
        self.failed.as_ref()
    }

    /// Whether an order under `fence` may leave at `now`: this replica still
    /// leads the fence's term and its lease stands.
    pub fn may_send_order(&self, fence: Fence, now: Millis) -> bool {
        let own_term = self.node.status().term == fence.term;
        own_term && self.node.holds_lease(now)
    }

    /// Takes what happened.
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Peer(envelope) => self.node.step(envelope, self.now),
            Event::Gateway {
                connection,
                request,
            } => self.handle_gateway(connection, request),
            Event::Operator { ticket, request } => self.handle_operator(ticket, request),
            Event::EngineStatus { engine, status } => {
                self.reconciler.observe(&engine, status, self.now);
            }
            Event::EngineOrder { engine, answer } => self.handle_order_answer(engine, answer),
            Event::Machines(machines) => self.handle_machines(&machines),
        }
        self.note_leadership();
    }

    /// Whether there is work for the disk or the network.
    pub fn has_ready(&self) -> bool {
        self.node.has_ready()
    }

    /// Takes the work. Its durable part must be synced before [`Self::persisted`].
    pub fn ready(&mut self) -> Ready {
        self.node.ready()
    }

    /// Goes on with work whose durable part is synced.
    pub fn persisted(&mut self, ready: Ready, now: Millis) {
        self.now = self.now.max(now);
        self.node.advance(&ready);
        if let Some(snapshot) = &ready.snapshot {
            self.restore(snapshot);
        }
        for entry in &ready.committed {
            self.apply(entry);
        }
        self.effects
            .extend(ready.messages.into_iter().map(Effect::SendPeer));
        self.take_snapshot_if_due();
        self.note_leadership();
        self.serve_waiters();
    }

    /// Takes a snapshot that the driver has to save.
    pub fn take_snapshot(&mut self) -> Option<Snapshot> {
        self.snapshot_due.take()
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        self.node.tick(self.now);
        self.note_leadership();
        let leads = self.node.holds_lease(self.now);
        if leads && self.now.since(self.reconciled_at) >= RECONCILE_INTERVAL {
            self.reconciled_at = self.now;
            self.reconcile();
            self.plan();
            self.gateways.forget_silent(self.now);
        }
        self.serve_waiters();
    }

    // ---- Leadership ----

    fn note_leadership(&mut self) {
        let leads = self.node.is_leader().then(|| self.node.status().term);
        if leads == self.led_term {
            return;
        }
        if let Some(term) = self.led_term {
            self.abandon_pending();
            self.effects.push(Effect::LostLeadership { term });
        }
        if let Some(term) = leads {
            self.gateways = GatewayLeases::at_start_of_term(self.now);
            self.reconciler = Reconciler::default();
            self.planning = self.settings.planner.map(Planning::new);
            self.missing_since.clear();
            self.effects.push(Effect::BecameLeader { term });
        }
        self.led_term = leads;
    }

    fn abandon_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.answer_unconfirmed(pending.asker);
        }
        for waiter in std::mem::take(&mut self.waiters) {
            self.answer_operator(waiter.ticket, OperatorAnswer::Unconfirmed);
        }
    }

    fn answer_unconfirmed(&mut self, asker: Asker) {
        match asker {
            Asker::Operator { ticket, .. } => {
                self.answer_operator(ticket, OperatorAnswer::Unconfirmed);
            }
            Asker::Gateway { connection, .. } => self.reply_not_leader(connection),
            Asker::Leader => {}
        }
    }

    // ---- Log ----

    fn propose(&mut self, envelope: &CommandEnvelope, asker: Asker) -> Result<u64, ProposeError> {
        // Encoding plain data into memory has no way to fail.
        let bytes = bincode::serde::encode_to_vec(envelope, bincode::config::standard())
            .unwrap_or_default();
        let index = self.node.propose(bytes)?;
        let term = self.node.status().term;
        self.pending.insert(index, Pending { term, asker });
        Ok(index)
    }

    fn propose_own(&mut self, command: Command) -> Option<u64> {
        let envelope = CommandEnvelope {
            command_id: None,
            expected_revision: None,
            at: self.now,
            command,
        };
        self.propose(&envelope, Asker::Leader).ok()
    }

    fn apply(&mut self, entry: &Entry) {
        let answer = match &entry.payload {
            EntryPayload::Command(bytes) => self.apply_command(entry, bytes),
            EntryPayload::Noop | EntryPayload::Membership(_) => CommandAnswer::Accepted {
                revision: self.state.configuration.index,
            },
        };
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        if pending.term == entry.term {
            self.answer(pending.asker, answer);
        } else {
            self.answer_unconfirmed(pending.asker);
        }
    }

    fn apply_command(&mut self, entry: &Entry, bytes: &[u8]) -> CommandAnswer {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        let Ok((envelope, _)) = decoded else {
            return CommandAnswer::Rejected("the command can't be decoded".into());
        };
        let applied = self.state.apply(entry.index, entry.term, &envelope);
        for change in applied.changes {
            self.recent.push(entry.index, change);
        }
        applied.answer
    }

    fn answer(&mut self, asker: Asker, answer: CommandAnswer) {
        match asker {
            Asker::Operator { ticket, wait } => self.answer_command(ticket, wait, answer),
            Asker::Gateway { connection, claim } => {
                let answer = match answer {
                    CommandAnswer::Claim(answer) => answer,
                    _ => ClaimAnswer::Noted,
                };
                let reply = ControlReply::Claim { claim, answer };
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            Asker::Leader => {}
        }
    }

    fn answer_command(&mut self, ticket: u64, wait: bool, answer: CommandAnswer) {
        match answer {
            CommandAnswer::Accepted { revision } if wait => self.waiters.push(Waiter {
                ticket,
                revision,
                answer,
                until: self.now + LONGEST_WAIT,
            }),
            answer => {
                let in_force = false;
                self.answer_operator(ticket, OperatorAnswer::Committed { answer, in_force });
            }
        }
    }

    fn serve_waiters(&mut self) {
        let now = self.now;
        let mut kept = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            let in_force = self.gateways.all_confirmed(waiter.revision, now);
            if !in_force && now < waiter.until {
                kept.push(waiter);
                continue;
            }
            let answer = waiter.answer;
            self.answer_operator(
                waiter.ticket,
                OperatorAnswer::Committed { answer, in_force },
            );
        }
        self.waiters = kept;
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match ControlState::decode(&snapshot.data) {
            Ok(state) => {
                self.recent = RecentChanges::starting_at(state.configuration.index);
                self.state = state;
            }
            Err(error) => self.failed = Some(error),
        }
    }

    fn take_snapshot_if_due(&mut self) {
        let status = self.node.status();
        let covered = self.node.snapshot_index();
        if status.applied_index.saturating_sub(covered) < self.settings.snapshot_every {
            return;
        }
        if let Some(snapshot) = self.node.compact(status.applied_index, self.state.encode()) {
            self.snapshot_due = Some(snapshot);
        }
    }

    // ---- Gateways ----

    fn handle_gateway(&mut self, connection: u64, request: GatewayRequest) {
        // The lease is checked with the clock read for this very event, so a
        // leader that was paused does not speak for the group.
        if !self.node.holds_lease(self.now) {
            self.reply_not_leader(connection);
            return;
        }
        match request {
            GatewayRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                mix,
            } => self.handle_watch(connection, gateway, configuration_index, sent_at, &mix),
            GatewayRequest::Claim(request) => self.handle_claim(connection, request),
        }
    }

    fn handle_watch(
        &mut self,
        connection: u64,
        gateway: GatewayId,
        index: u64,
        sent_at: Millis,
        mix: &[PoolMix],
    ) {
        if let Some(planning) = &mut self.planning {
            planning.add(mix);
        }
        self.gateways.grant(gateway, index, self.now);
        let update = self.recent.update_for(index, &self.state.configuration);
        let reply = ControlReply::Watch { sent_at, update };
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
        self.serve_waiters();
    }

    fn handle_claim(&mut self, connection: u64, request: ClaimRequest) {
        let claim = request.claim().clone();
        let command = match request {
            ClaimRequest::Claim(claim) => Command::Claim(claim),
            ClaimRequest::Release(claim) => Command::ReleaseClaim(claim),
            ClaimRequest::Record { claim, response } => Command::RecordResult { claim, response },
        };
        let envelope = CommandEnvelope {
            command_id: None,
            expected_revision: None,
            at: self.now,
            command,
        };
        let asker = Asker::Gateway { connection, claim };
        if self.propose(&envelope, asker).is_err() {
            self.reply_not_leader(connection);
        }
    }

    fn reply_not_leader(&mut self, connection: u64) {
        let reply = ControlReply::NotLeader {
            leader: self.leader().map(|member| member.peer_address.clone()),
        };
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
    }

    fn leader(&self) -> Option<&Member> {
        let leader = self.node.status().leader?;
        self.node.membership().members.get(&leader)
    }

    fn leader_admin_address(&self) -> Option<String> {
        self.leader().map(|member| member.admin_address.clone())
    }

    // ---- Operators ----

    fn handle_operator(&mut self, ticket: u64, request: OperatorRequest) {
        match request {
            OperatorRequest::Status => {
                let view = Box::new(self.status_view());
                self.answer_operator(ticket, OperatorAnswer::Status(view));
            }
            OperatorRequest::Configuration if self.node.holds_lease(self.now) => {
                let configuration = Box::new(self.state.configuration.clone());
                self.answer_operator(ticket, OperatorAnswer::Configuration(configuration));
            }
            OperatorRequest::Command { mut envelope, wait } => {
                envelope.at = self.now;
                self.handle_command(ticket, &envelope, wait);
            }
            OperatorRequest::Member(change) => self.handle_member(ticket, change),
            OperatorRequest::Configuration => {
                let answer = OperatorAnswer::NotLeader(self.leader_admin_address());
                self.answer_operator(ticket, answer);
            }
        }
    }

    fn handle_command(&mut self, ticket: u64, envelope: &CommandEnvelope, wait: bool) {
        if let Command::PutPolicy { name, document } = &envelope.command
            && let Err(findings) = Policy::compile(name, document)
        {
            let answer = OperatorAnswer::Refused(findings.to_string());
            self.answer_operator(ticket, answer);
            return;
        }
        let asker = Asker::Operator { ticket, wait };
        if let Err(error) = self.propose(envelope, asker) {
            self.answer_refused(ticket, &error);
        }
    }

    fn handle_member(&mut self, ticket: u64, change: MemberChange) {
        let proposed = match change {
            MemberChange::AddLearner {
                id,
                peer_address,
                admin_address,
            } => self.node.add_learner(id, peer_address, admin_address),
            MemberChange::Promote(id) => self.node.promote(id),
            MemberChange::Remove(id) => self.node.remove_member(id),
            MemberChange::TransferLeadership => {
                self.transfer(ticket);
                return;
            }
        };
        match proposed {
            Ok(index) => {
                let term = self.node.status().term;
                let wait = false;
                let asker = Asker::Operator { ticket, wait };
                self.pending.insert(index, Pending { term, asker });
            }
            Err(error) => self.answer_refused(ticket, &error),
        }
    }

    fn transfer(&mut self, ticket: u64) {
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

    fn answer_refused(&mut self, ticket: u64, error: &ProposeError) {
        let answer = match error {
            ProposeError::NotLeader(_) | ProposeError::Transferring => {
                OperatorAnswer::NotLeader(self.leader_admin_address())
            }
            other => OperatorAnswer::Refused(other.to_string()),
        };
        self.answer_operator(ticket, answer);
    }

    fn answer_operator(&mut self, ticket: u64, answer: OperatorAnswer) {
        self.effects.push(Effect::AnswerOperator { ticket, answer });
    }

    fn status_view(&self) -> StatusView {
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
            survives_one_loss: self.node.survives_one_loss(),
            members: self.member_views(),
            gateways: self.gateways.view(self.now),
            orders,
        }
    }

    fn member_views(&self) -> BTreeMap<ReplicaId, MemberView> {
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
            };
            (*id, view)
        };
        self.node.membership().members.iter().map(view).collect()
    }

    // ---- Engines and machines ----

    fn reconcile(&mut self) {
        let engines: Vec<BackendId> = self.state.configuration.backends.keys().cloned().collect();
        let status = self.node.status();
        for engine in engines {
            let present = Present {
                configuration: &self.state.configuration,
                gateways: &self.gateways,
                term: status.term,
                applied_index: status.applied_index,
                now: self.now,
            };
            for step in self.reconciler.steps(&engine, &present) {
                self.take_step(&engine, step);
            }
        }
    }

    fn take_step(&mut self, engine: &BackendId, step: Step) {
        match step {
            Step::Ask(request) => self.ask_engine(engine, request),
            Step::Propose(command) => {
                if let Some(index) = self.propose_own(command) {
                    self.reconciler.proposed(engine, index);
                }
            }
        }
    }

    fn ask_engine(&mut self, engine: &BackendId, request: EngineRequest) {
        let Some(record) = self.state.configuration.backends.get(engine) else {
            return;
        };
        self.effects.push(Effect::AskEngine {
            engine: engine.clone(),
            address: record.registration.address.clone(),
            request,
        });
    }

    fn handle_order_answer(&mut self, engine: BackendId, answer: OrderAnswer) {
        let status = answer.status().clone();
        self.reconciler.observe(&engine, status, self.now);
    }

    fn plan(&mut self) {
        let Some(planning) = &mut self.planning else {
            return;
        };
        let now = self.now;
        let reconciler = &self.reconciler;
        let facts = |engine: &BackendId| {
            reconciler
                .fresh_status(engine, now)
                .map(|status| EngineFacts {
                    running: status.running,
                    capacity: status.capacity,
                })
        };
        let changes = planning.decide(&self.state.configuration, facts, now);
        for change in changes {
            self.propose_own(Command::Assign {
                engine: change.engine,
                assignment: change.assignment,
            });
        }
    }

    /// Takes the platform's list. It lags and may contradict itself, so a
    /// missing machine is only taken out of routing, and only after a while.
    fn handle_machines(&mut self, machines: &[MachineEntry]) {
        if !self.node.holds_lease(self.now) {
            return;
        }
        for entry in machines {
            self.compare_machine(&entry.registration, entry.state);
        }
        let listed: BTreeSet<&BackendId> = machines
            .iter()
            .map(|entry| &entry.registration.id)
            .collect();
        let known: Vec<BackendId> = self.state.configuration.backends.keys().cloned().collect();
        for id in known {
            if listed.contains(&id) {
                self.missing_since.remove(&id);
            } else {
                self.note_missing(id);
            }
        }
    }

    fn compare_machine(&mut self, registration: &BackendRegistration, state: MachineState) {
        let known = self.state.configuration.backends.get(&registration.id);
        let backend = registration.id.clone();
        let is_new = known.map(|record| &record.registration) != Some(registration);
        let machine = known.map_or(MachineState::Live, |record| record.machine);
        if is_new {
            self.propose_own(Command::PutBackend(registration.clone()));
        }
        if machine != state {
            self.propose_own(Command::SetMachine { backend, state });
        }
    }

    fn note_missing(&mut self, backend: BackendId) {
        let since = *self
            .missing_since
            .entry(backend.clone())
            .or_insert(self.now);
        let record = self.state.configuration.backends.get(&backend);
        let live = record.is_some_and(|record| record.machine == MachineState::Live);
        if live && self.now.since(since) >= MISSING_MACHINE {
            let state = MachineState::Leaving;
            self.propose_own(Command::SetMachine { backend, state });
        }
    }
}
