//! The leader's duties towards engines and machines.

use std::collections::BTreeSet;

use garnet_types::{BackendId, MachineState, Millis, OrderAnswer, UNTOLD_START};

use crate::command::{Command, MachineUpdate};
use crate::effects::{Effect, EngineRequest, MachineEntry};
use crate::planning::EngineFacts;
use crate::reconciler::{Step, StepContext};

use super::Replica;
use crate::reconciler::EnginePolling;

/// Machines in one command: some 30 KB, a small part of what one message brings
/// a follower.
const MACHINES_PER_COMMAND: usize = 256;
/// The list may leave an engine out while it changes its role: one with an
/// order is forgotten only when it is missing for so long.
const ORDERED_FORGOTTEN: Millis = Millis::from_secs(15);

impl Replica {
    pub(super) fn reconcile(&mut self) {
        let status = self.node.status();
        let configuration = &self.state.configuration;
        let engines = self.reconciler.engines_to_check(status.applied_index);
        if engines.is_empty() {
            return;
        }
        self.looked_at += (engines.len() + configuration.backends.len()) as u64;
        let census = configuration.pool_census();
        let balancing = self.balancing.as_ref();
        let has_idle_orders = self.has_all_commands();
        let is_idle = |engine: &BackendId| {
            has_idle_orders
                && balancing.is_some_and(|balancing| balancing.is_idle(configuration, engine))
        };
        let context = StepContext {
            configuration,
            census: &census,
            gateways: &self.gateways,
            term: status.term,
            applied_index: status.applied_index,
            idle: &is_idle,
            polls: self.settings.engine_polling == EnginePolling::Always,
            now: self.now,
        };
        let mut steps = Vec::new();
        for engine in engines {
            let of_engine = self.reconciler.steps(&engine, &context);
            steps.extend(of_engine.into_iter().map(|step| (engine.clone(), step)));
        }
        for (engine, step) in steps {
            self.take_step(&engine, step);
        }
    }

    pub(super) fn take_step(&mut self, engine: &BackendId, step: Step) {
        match step {
            Step::Ask(request) => self.ask_engine(engine, request),
            Step::Propose(command) => {
                if let Some(index) = self.propose_own(command) {
                    self.reconciler.on_proposed(engine, index);
                }
            }
        }
    }

    pub(super) fn ask_engine(&mut self, engine: &BackendId, request: EngineRequest) {
        let Some(record) = self.state.configuration.backends.get(engine) else {
            return;
        };
        self.effects.push(Effect::AskEngine {
            engine: engine.clone(),
            address: record.registration.address.clone(),
            request,
        });
    }

    pub(super) fn handle_order_answer(&mut self, engine: BackendId, answer: OrderAnswer) {
        let status = answer.status().clone();
        self.reconciler.observe(&engine, status, self.now);
    }

    pub(super) fn plan(&mut self) {
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

    /// Keeps prefill engines and decode engines of each pool in balance.
    pub(super) fn balance(&mut self) {
        let Some(balancing) = &mut self.balancing else {
            return;
        };
        let backlogs = self.fleet_load.sums(self.now);
        let configuration = &self.state.configuration;
        let given_back = configuration.routes.as_ref().map(|routes| {
            self.sizing
                .engines_to_release(routes, &self.state.needed_engines)
        });
        let mut aside = given_back.unwrap_or_default();
        // One that takes a few requests is no capacity of its phase, and a change of
        // role would not help it.
        aside.extend(self.limiting.backends().cloned());
        let changes = balancing.decide(configuration, &backlogs, aside, self.now);
        self.looked_at += balancing.take_examined();
        let applied = self.node.status().applied_index;
        for change in changes {
            if self.reconciler.has_pending_command(&change.engine, applied) {
                continue;
            }
            let command = Command::Assign {
                engine: change.engine.clone(),
                assignment: change.assignment.clone(),
            };
            if let Some(index) = self.propose_own(command) {
                self.reconciler.on_proposed(&change.engine, index);
                self.effects.push(Effect::Balanced {
                    engine: change.engine,
                    assignment: change.assignment,
                    occupancy: change.occupancy,
                });
            }
        }
    }

    /// Takes the platform's list. It lags and may contradict itself, so a
    /// missing machine is only taken out of routing, and only after a while.
    ///
    /// What is new goes into the log in commands of many machines: the log of a
    /// start grows with the machines by a few hundredths of an entry each. While
    /// the news of an earlier list is under way, the next one waits its turn.
    pub(super) fn handle_machines(&mut self, machines: &[MachineEntry]) {
        if !self.node.holds_lease(self.now) {
            return;
        }
        let without_starts = self.without_starts(machines);
        let machines = without_starts.as_deref().unwrap_or(machines);
        self.sizing.update_machines(machines, self.now);
        if self.machines_noted_at > self.node.status().applied_index {
            return;
        }
        for entry in machines {
            self.note_start(entry);
        }
        let mut notes: Vec<MachineUpdate> = machines
            .iter()
            .filter_map(|entry| self.compare_machine(entry))
            .collect();
        let listed: BTreeSet<&BackendId> = machines
            .iter()
            .map(|entry| &entry.registration.id)
            .collect();
        let mut forgotten = Vec::new();
        let mut missing = Vec::new();
        for id in self.state.configuration.backends.keys() {
            if listed.contains(id) {
                self.missing_since.remove(id);
            } else {
                missing.push(id.clone());
            }
        }
        for id in missing {
            match self.note_missing(&id) {
                Some(Missing::Leaving(note)) => notes.push(note),
                Some(Missing::Forgotten) => forgotten.push(id),
                None => {}
            }
        }
        if !self.has_all_commands() {
            notes.iter().for_each(|note| self.propose_one_by_one(note));
            let remove = |id| self.propose_machines(Command::RemoveBackend(id));
            forgotten.into_iter().for_each(remove);
            return;
        }
        for part in notes.chunks(MACHINES_PER_COMMAND) {
            self.propose_machines(Command::NoteMachines(part.to_vec()));
        }
        for part in forgotten.chunks(MACHINES_PER_COMMAND) {
            self.propose_machines(Command::ForgetMachines(part.to_vec()));
        }
    }

    /// The list without starts of applications, where the log has no place for them: each
    /// reading would be news otherwise.
    fn without_starts(&self, machines: &[MachineEntry]) -> Option<Vec<MachineEntry>> {
        if self.has_all_commands() {
            return None;
        }
        let mut machines = machines.to_vec();
        for machine in &mut machines {
            machine.registration.start = UNTOLD_START;
        }
        Some(machines)
    }

    /// What is new of a machine, in commands that version 11 has.
    fn propose_one_by_one(&mut self, note: &MachineUpdate) {
        let id = &note.registration.id;
        let known = self.state.configuration.backends.get(id);
        let is_known = known.is_some_and(|record| record.registration == note.registration);
        let machine = known.map_or(MachineState::Live, |record| record.machine);
        if !is_known {
            self.propose_machines(Command::PutBackend(note.registration.clone()));
        }
        if machine != note.state {
            self.propose_machines(Command::SetMachine {
                backend: id.clone(),
                state: note.state,
            });
        }
        if let Some(observation) = &note.observed {
            self.propose_machines(Command::Observe {
                engine: id.clone(),
                observation: observation.clone(),
            });
        }
    }

    /// Where an engine has started again under its name, what was believed of it
    /// belongs to another one.
    fn note_start(&mut self, entry: &MachineEntry) {
        let id = &entry.registration.id;
        let record = self.state.configuration.backends.get(id);
        let former = record.and_then(|record| record.observed.as_ref());
        if let (Some(now), Some(former)) = (&entry.observed, former)
            && now.is_restart_of(former)
        {
            self.reconciler.on_restart(id);
            self.copies.on_restart(id);
            self.fleet_load.on_restart(id);
            self.limiting.started_again(id);
        }
    }

    fn propose_machines(&mut self, command: Command) {
        if let Some(index) = self.propose_own(command) {
            self.machines_noted_at = index;
        }
    }

    /// What is new of a machine, if anything.
    fn compare_machine(&self, entry: &MachineEntry) -> Option<MachineUpdate> {
        let known = self
            .state
            .configuration
            .backends
            .get(&entry.registration.id);
        let observed = entry.observed.clone().filter(|now| {
            known.is_none_or(|record| {
                let is_again = |former| now.is_restart_of(former);
                let may_tell =
                    record.order.is_none() || record.observed.as_ref().is_some_and(is_again);
                may_tell && now.adds_to(record.observed.as_ref())
            })
        });
        let is_known = known.is_some_and(|record| {
            let registration = entry.registration.with_known_start(&record.registration);
            record.registration == registration && record.machine == entry.state
        });
        (!is_known || observed.is_some()).then(|| MachineUpdate {
            registration: entry.registration.clone(),
            state: entry.state,
            observed,
        })
    }

    /// What follows from a back end's being missing from the list, if anything
    /// does yet.
    fn note_missing(&mut self, backend: &BackendId) -> Option<Missing> {
        let record = self.state.configuration.backends.get(backend)?;
        let since = self.missing_since.entry(backend.clone());
        let missing_for = self.now.since(*since.or_insert(self.now));
        let settings = self.settings.directory;
        let is_live = record.machine == MachineState::Live;
        if is_live && missing_for >= settings.leaving_after {
            return Some(Missing::Leaving(MachineUpdate {
                registration: record.registration.clone(),
                state: MachineState::Leaving,
                observed: None,
            }));
        }
        let is_over = settings
            .forget_after
            .is_some_and(|after| missing_for >= after);
        let may_go = record.order.is_none() || missing_for >= ORDERED_FORGOTTEN;
        (!is_live && is_over && may_go).then_some(Missing::Forgotten)
    }
}

/// What becomes of a back end that is missing from the list.
enum Missing {
    /// It is sent nothing new.
    Leaving(MachineUpdate),
    /// It is gone.
    Forgotten,
}
