//! The leader's duties towards engines and machines.

use std::collections::BTreeSet;

use garnet_types::{BackendId, MachineState, Millis, OrderAnswer, UNKNOWN_START};

use crate::command::{Command, MachineUpdate};
use crate::effects::{Effect, EngineRequest, MachineEntry};
use crate::planning::EngineLoad;
use crate::reconciler::{Step, StepContext};

use super::Replica;
use crate::reconciler::EnginePolling;

/// Limit on the machines in one command: some 30 KB, a small fraction of what one message
/// to a follower carries.
const MAX_MACHINES_PER_COMMAND: usize = 256;
/// An engine with an outstanding order is removed only after it is missing for this time:
/// the list may omit an engine while it changes its role.
const ORDERED_ENGINE_REMOVAL_DELAY: Millis = Millis::from_secs(15);

impl Replica {
    pub(super) fn reconcile(&mut self) {
        let status = self.node.status();
        let configuration = &self.state.configuration;
        let engines = self.reconciler.engines_to_check(status.applied_index);
        if engines.is_empty() {
            return;
        }
        self.inspected_backends += (engines.len() + configuration.backends.len()) as u64;
        let census = configuration.pool_census();
        let balancing = self.balancing.as_ref();
        let builds = &self.builds;
        let supports_idle_orders = self.has_all_commands();
        let is_idle = |engine: &BackendId| {
            supports_idle_orders
                && balancing
                    .is_some_and(|balancing| balancing.is_idle(configuration, builds, engine))
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
            let engine_steps = self.reconciler.steps(&engine, &context);
            steps.extend(engine_steps.into_iter().map(|step| (engine.clone(), step)));
        }
        for (engine, step) in steps {
            self.execute_step(&engine, step);
        }
    }

    pub(super) fn execute_step(&mut self, engine: &BackendId, step: Step) {
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
        let load_of = |engine: &BackendId| {
            reconciler
                .fresh_status(engine, now)
                .map(|status| EngineLoad {
                    running: status.running,
                    capacity: status.capacity,
                })
        };
        let changes = planning.decide(&self.state.configuration, load_of, now);
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
        let to_release = configuration.routes.as_ref().map(|routes| {
            self.sizing
                .engines_to_release(routes, &self.state.needed_engines)
        });
        let mut excluded = to_release.unwrap_or_default();
        // An engine with a limit adds almost no capacity to its phase, and a change of role
        // would not help it.
        excluded.extend(self.limiting.backends().cloned());
        let changes = balancing.decide(configuration, &self.builds, &backlogs, excluded, self.now);
        self.inspected_backends += balancing.take_examined();
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

    /// Processes the platform's list of machines. The list lags and may contradict itself,
    /// so a missing machine is only taken out of routing, and only after a while.
    ///
    /// Changes go into the log in commands of many machines, so that at the start of a
    /// large fleet each machine costs only a few hundredths of a log entry. While changes
    /// of an earlier list are being committed, later lists are skipped.
    pub(super) fn handle_machines(&mut self, machines: &[MachineEntry]) {
        if !self.node.holds_lease(self.now) {
            return;
        }
        let configuration = &self.state.configuration;
        self.builds
            .update(machines, configuration, &self.engine_removals, self.now);
        let machines_without_starts = self.machines_without_starts(machines);
        let machines = machines_without_starts.as_deref().unwrap_or(machines);
        self.sizing.update_machines(machines, self.now);
        if self.machines_proposed_index > self.node.status().applied_index {
            return;
        }
        for entry in machines {
            self.handle_restart(entry);
        }
        let mut updates: Vec<MachineUpdate> = machines
            .iter()
            .filter_map(|entry| self.machine_change(entry))
            .collect();
        let listed: BTreeSet<&BackendId> = machines
            .iter()
            .map(|entry| &entry.registration.id)
            .collect();
        let mut removed = Vec::new();
        let mut missing = Vec::new();
        for id in self.state.configuration.backends.keys() {
            if listed.contains(id) {
                self.missing_since.remove(id);
            } else {
                missing.push(id.clone());
            }
        }
        for id in missing {
            match self.handle_missing(&id) {
                Some(MissingOutcome::Leaving(update)) => updates.push(update),
                Some(MissingOutcome::Removed) => removed.push(id),
                None => {}
            }
        }
        if !self.has_all_commands() {
            updates
                .iter()
                .for_each(|update| self.propose_v11_commands(update));
            let remove = |id| self.propose_machine_command(Command::RemoveBackend(id));
            removed.into_iter().for_each(remove);
            return;
        }
        for chunk in updates.chunks(MAX_MACHINES_PER_COMMAND) {
            self.propose_machine_command(Command::NoteMachines(chunk.to_vec()));
        }
        for chunk in removed.chunks(MAX_MACHINES_PER_COMMAND) {
            self.propose_machine_command(Command::ForgetMachines(chunk.to_vec()));
        }
    }

    /// The list without the starts of applications, if the log's version can't hold them:
    /// each list would otherwise look like a change.
    fn machines_without_starts(&self, machines: &[MachineEntry]) -> Option<Vec<MachineEntry>> {
        if self.has_all_commands() {
            return None;
        }
        let mut machines = machines.to_vec();
        for machine in &mut machines {
            machine.registration.start = UNKNOWN_START;
        }
        Some(machines)
    }

    /// Proposes the changes of a machine in commands that version 11 has.
    fn propose_v11_commands(&mut self, update: &MachineUpdate) {
        let id = &update.registration.id;
        let known = self.state.configuration.backends.get(id);
        let is_known = known.is_some_and(|record| record.registration == update.registration);
        let machine = known.map_or(MachineState::Live, |record| record.machine);
        if !is_known {
            self.propose_machine_command(Command::PutBackend(update.registration.clone()));
        }
        if machine != update.state {
            self.propose_machine_command(Command::SetMachine {
                backend: id.clone(),
                state: update.state,
            });
        }
        if let Some(observation) = &update.observed {
            self.propose_machine_command(Command::Observe {
                engine: id.clone(),
                observation: observation.clone(),
            });
        }
    }

    /// Drops the state held about an engine that has restarted under its name: it described
    /// the previous process.
    fn handle_restart(&mut self, entry: &MachineEntry) {
        let id = &entry.registration.id;
        let record = self.state.configuration.backends.get(id);
        let previous = record.and_then(|record| record.observed.as_ref());
        if let (Some(now), Some(previous)) = (&entry.observed, previous)
            && now.is_restart_of(previous)
        {
            self.reconciler.on_restart(id);
            self.copies.on_restart(id);
            self.fleet_load.on_restart(id);
            self.limiting.remove_limit(id);
        }
    }

    fn propose_machine_command(&mut self, command: Command) {
        if let Some(index) = self.propose_own(command) {
            self.machines_proposed_index = index;
        }
    }

    /// The change of a machine, if there is any.
    fn machine_change(&self, entry: &MachineEntry) -> Option<MachineUpdate> {
        let known = self
            .state
            .configuration
            .backends
            .get(&entry.registration.id);
        let observed = entry.observed.clone().filter(|now| {
            known.is_none_or(|record| {
                let is_restart = |previous| now.is_restart_of(previous);
                let may_observe =
                    record.order.is_none() || record.observed.as_ref().is_some_and(is_restart);
                may_observe && now.adds_to(record.observed.as_ref())
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

    /// What has to be done about a back end that is missing from the list, if anything is
    /// due.
    fn handle_missing(&mut self, backend: &BackendId) -> Option<MissingOutcome> {
        let record = self.state.configuration.backends.get(backend)?;
        let since = self.missing_since.entry(backend.clone());
        let missing_for = self.now.since(*since.or_insert(self.now));
        let settings = self.settings.directory;
        let is_live = record.machine == MachineState::Live;
        if is_live && missing_for >= settings.leaving_after {
            return Some(MissingOutcome::Leaving(MachineUpdate {
                registration: record.registration.clone(),
                state: MachineState::Leaving,
                observed: None,
            }));
        }
        let is_expired = settings
            .forget_after
            .is_some_and(|after| missing_for >= after);
        let may_be_removed = record.order.is_none() || missing_for >= ORDERED_ENGINE_REMOVAL_DELAY;
        (!is_live && is_expired && may_be_removed).then_some(MissingOutcome::Removed)
    }
}

/// What is done about a back end that is missing from the list.
enum MissingOutcome {
    /// It receives no new requests.
    Leaving(MachineUpdate),
    /// It is removed from the configuration.
    Removed,
}
