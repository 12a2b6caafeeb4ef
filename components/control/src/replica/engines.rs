//! The leader's duties towards engines and machines.

use std::collections::BTreeSet;

use garnet_types::{BackendId, MachineState, Millis, OrderAnswer};

use crate::command::Command;
use crate::effects::{Effect, EngineRequest, MachineEntry};
use crate::planning::EngineFacts;
use crate::reconciler::{Present, Step};

use super::Replica;
use crate::reconciler::EnginePolling;

/// The list may leave an engine out while it changes its role: one with an
/// order is forgotten only when it is missing for so long.
const ORDERED_FORGOTTEN: Millis = Millis::from_secs(15);

impl Replica {
    pub(super) fn reconcile(&mut self) {
        let engines: Vec<BackendId> = self.state.configuration.backends.keys().cloned().collect();
        let status = self.node.status();
        for engine in engines {
            let present = Present {
                configuration: &self.state.configuration,
                gateways: &self.gateways,
                term: status.term,
                applied_index: status.applied_index,
                idle: &|engine| {
                    let balancing = self.balancing.as_ref();
                    balancing.is_some_and(|b| b.is_idle(&self.state.configuration, engine))
                },
                polls: self.settings.engine_polling == EnginePolling::Always,
                now: self.now,
            };
            for step in self.reconciler.steps(&engine, &present) {
                self.take_step(&engine, step);
            }
        }
    }

    pub(super) fn take_step(&mut self, engine: &BackendId, step: Step) {
        match step {
            Step::Ask(request) => self.ask_engine(engine, request),
            Step::Propose(command) => {
                if let Some(index) = self.propose_own(command) {
                    self.reconciler.proposed(engine, index);
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
        let given_back = configuration
            .routes
            .as_ref()
            .map(|routes| self.sizing.given_back(routes, &self.state.needed_engines));
        let given_back = given_back.unwrap_or_default();
        let changes = balancing.decide(configuration, &backlogs, &given_back, self.now);
        let applied = self.node.status().applied_index;
        for change in changes {
            if self.reconciler.awaits(&change.engine, applied) {
                continue;
            }
            let command = Command::Assign {
                engine: change.engine.clone(),
                assignment: change.assignment.clone(),
            };
            if let Some(index) = self.propose_own(command) {
                self.reconciler.proposed(&change.engine, index);
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
    pub(super) fn handle_machines(&mut self, machines: &[MachineEntry]) {
        if !self.node.holds_lease(self.now) {
            return;
        }
        self.sizing.see(machines, self.now);
        for entry in machines {
            self.compare_machine(entry);
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

    fn compare_machine(&mut self, entry: &MachineEntry) {
        let registration = &entry.registration;
        let known = self.state.configuration.backends.get(&registration.id);
        let backend = registration.id.clone();
        let is_new = known.map(|record| &record.registration) != Some(registration);
        let machine = known.map_or(MachineState::Live, |record| record.machine);
        let seen = known.and_then(|record| record.observed.as_ref());
        let ordered = known.is_some_and(|record| record.order.is_some());
        let newly_observed = entry
            .observed
            .clone()
            .filter(|now| !ordered && seen != Some(now));
        if is_new {
            self.propose_own(Command::PutBackend(registration.clone()));
        }
        if machine != entry.state {
            let state = entry.state;
            let backend = backend.clone();
            self.propose_own(Command::SetMachine { backend, state });
        }
        if let Some(observation) = newly_observed {
            let engine = backend;
            self.propose_own(Command::Observe {
                engine,
                observation,
            });
        }
    }

    fn note_missing(&mut self, backend: BackendId) {
        let since = *self
            .missing_since
            .entry(backend.clone())
            .or_insert(self.now);
        let missing_for = self.now.since(since);
        let settings = self.settings.directory;
        let record = self.state.configuration.backends.get(&backend);
        let live = record.is_some_and(|record| record.machine == MachineState::Live);
        let ordered = record.is_some_and(|record| record.order.is_some());
        let forgotten = settings
            .forget_after
            .is_some_and(|after| missing_for >= after);
        if live && missing_for >= settings.leaving_after {
            let state = MachineState::Leaving;
            self.propose_own(Command::SetMachine { backend, state });
        } else if !live && forgotten && (!ordered || missing_for >= ORDERED_FORGOTTEN) {
            self.propose_own(Command::RemoveBackend(backend));
        }
    }
}
