//! Starts, planned stops and crashes of processes.

use garnet_control::{BackendRegistration, UNKNOWN_START};
use garnet_gateway::AttemptEvent;
use garnet_storage::PowerLoss;
use garnet_types::{BackendKind, MachineState, Millis, RequestId, ServiceId};

use crate::checker::Invariant;
use crate::message::{Host, Message};
use crate::service_hosts::{APPLICATION_SERVICE, ENGINE_SERVICE, JobOwner};

use super::{World, WorldEvent, application_id, engine_id};

impl World {
    pub(super) fn start(&mut self, host: Host) {
        match host {
            Host::Control(place) => {
                let clock = self.clock(host);
                if self.controls[place].running.is_none() {
                    self.controls[place].start(clock);
                }
                if self.controls[place].running.is_none() {
                    self.schedule(self.now + Millis(500), WorldEvent::Start(host));
                }
            }
            Host::Gateway(place) if self.gateways[place].gateway.is_none() => {
                self.gateways[place].start();
                self.gateway_trouble[place] = self.now;
            }
            Host::Engine(place) if self.engines[place].engine.is_none() => {
                self.forget_limit(host);
                self.forget_reports(host);
                self.engines[place].start();
                self.register(place, BackendKind::Engine);
            }
            Host::Application(place) if !self.applications[place].up => {
                self.forget_limit(host);
                self.forget_reports(host);
                self.applications[place].start();
                self.register(place, BackendKind::Application);
            }
            _ => {}
        }
    }

    pub(super) fn register(&mut self, place: usize, kind: BackendKind) {
        let (id, service, start, leaving_since) = match kind {
            BackendKind::Engine => {
                let leaving_since = self.engines[place].leaving_since;
                (
                    engine_id(place),
                    ENGINE_SERVICE,
                    UNKNOWN_START,
                    leaving_since,
                )
            }
            BackendKind::Application => {
                let start = self.applications[place].starts();
                let leaving_since = self.applications[place].leaving_since;
                (
                    application_id(place),
                    APPLICATION_SERVICE,
                    start,
                    leaving_since,
                )
            }
        };
        let registration = BackendRegistration {
            address: id.0.clone(),
            id,
            kind,
            service: ServiceId::new(service),
            zone: format!("zone-{}", place % 3),
            start,
        };
        let id = registration.id.clone();
        self.platform.register(registration, self.now);
        // A process that starts again does not keep its machine in the fleet.
        if leaving_since.is_some() {
            self.platform
                .set_state(&id, MachineState::Leaving, self.now);
        }
    }

    /// Ends a process in good order: it has nothing left to do.
    pub(super) fn stop(&mut self, host: Host) {
        let cut = self.end_process(host);
        self.checker.check(
            Invariant::PlannedChangeCutsNothing,
            cut == 0,
            self.now,
            || format!("{host:?} stopped with {cut} requests"),
        );
    }

    /// Ends a process at once; gives how many requests were cut off.
    pub(super) fn end_process(&mut self, host: Host) -> usize {
        match host {
            Host::Control(place) => {
                self.controls[place].crash(PowerLoss::DropUnsynced);
                self.disturbed_at = self.now;
                0
            }
            Host::Gateway(place) => self.end_gateway(place),
            Host::Engine(place) => {
                let owners = self.engines[place].crash();
                self.break_jobs(host, &owners);
                owners.len()
            }
            Host::Application(place) => {
                let owners = self.applications[place].crash();
                self.break_jobs(host, &owners);
                owners.len()
            }
            _ => 0,
        }
    }

    pub(super) fn end_gateway(&mut self, place: usize) -> usize {
        let host = Host::Gateway(place);
        self.disturbed_at = self.now;
        self.gateway_trouble[place] = self.now;
        let calls: Vec<RequestId> = self.gateways[place].open_calls.iter().copied().collect();
        let attempts = std::mem::take(&mut self.gateways[place].attempts);
        for (attempt, to) in attempts {
            self.send(host, to, Message::CancelJob(attempt));
        }
        for call in &calls {
            self.send(host, Host::Callers, Message::Disconnected(*call));
        }
        self.gateways[place].crash();
        calls.len()
    }

    pub(super) fn break_jobs(&mut self, host: Host, owners: &[JobOwner]) {
        for owner in owners {
            self.job_event(host, *owner, AttemptEvent::Broken);
        }
    }
}
