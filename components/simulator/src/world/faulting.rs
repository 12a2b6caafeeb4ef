//! Faults that begin and end.

use garnet_control::{Event as ControlEvent, MemberChange, OperatorRequest};
use garnet_gateway::Event as GatewayEvent;
use garnet_storage::PowerLoss;
use garnet_types::{MachineState, Millis, ReplicaId};
use rand::RngExt;

use crate::faults::FaultKind;
use crate::message::Host;

use super::{World, WorldEvent, application_id, engine_id};

const PLANNED_HAND_OVER: Millis = Millis(400);

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.faults[number];
        *self.struck.entry(fault.kind).or_default() += 1;
        let end = self.now + fault.lasts;
        if fault.kind == FaultKind::CrashingRequest {
            self.begin_crashing_request(end);
            return;
        }
        if fault.kind == FaultKind::NameLimit {
            self.begin_limit(fault.host, end);
            return;
        }
        if fault.kind == FaultKind::Overload {
            self.begin_overload(fault.host, end);
            return;
        }
        if fault.kind == FaultKind::UnframedResponses {
            self.unframed_until.insert(fault.host, end);
            return;
        }
        self.open_faults += 1;
        self.note_trouble(fault.host);
        match fault.kind {
            FaultKind::Kill => {
                self.end_process(fault.host);
                self.schedule(end, WorldEvent::Start(fault.host));
            }
            FaultKind::LoseDisk => self.lose_disk(fault.host, end),
            FaultKind::TornWrite => {
                if let Host::Control(place) = fault.host {
                    let operations = self.random.random_range(0..6);
                    self.controls[place].crash_in_save(operations);
                }
            }
            FaultKind::Freeze | FaultKind::Suspend => self.freeze(fault.host, end),
            FaultKind::CrashingRequest
            | FaultKind::NameLimit
            | FaultKind::Overload
            | FaultKind::UnframedResponses => {}
            FaultKind::Isolate => {
                self.network.cut_inbound(fault.host);
                self.network.cut_outbound(fault.host);
            }
            FaultKind::CutInbound => self.network.cut_inbound(fault.host),
            FaultKind::CutOutbound => self.network.cut_outbound(fault.host),
            FaultKind::CutFromBackEnds => self.begin_path_cut(fault.host, end),
            FaultKind::BadNetwork => self.network.make_bad(fault.host),
            FaultKind::DelayOrders => {
                *self.delayed_orders.entry(fault.host).or_default() += 1;
            }
            FaultKind::WrongMachineList => self.wrong_list += 1,
            FaultKind::PlannedStop => self.planned_stop(fault.host),
            FaultKind::ReplaceBuild => self.begin_replacing_build(fault.host, fault.lasts),
            FaultKind::Leaving => self.set_leaving(fault.host, true),
        }
        self.schedule(end, WorldEvent::FaultEnds(number));
    }

    fn freeze(&mut self, host: Host, until: Millis) {
        let before = self.frozen_until.get(&host).copied().unwrap_or_default();
        self.frozen_until.insert(host, until.max(before));
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = self.faults[number];
        self.note_trouble(fault.host);
        self.open_faults -= 1;
        match fault.kind {
            FaultKind::Isolate => {
                self.network.heal_inbound(fault.host);
                self.network.heal_outbound(fault.host);
            }
            FaultKind::Suspend => {
                let suspended = self.suspended.entry(fault.host).or_default();
                *suspended = *suspended + fault.lasts;
            }
            FaultKind::CutInbound => self.network.heal_inbound(fault.host),
            FaultKind::CutOutbound => self.network.heal_outbound(fault.host),
            FaultKind::CutFromBackEnds => self.network.heal_to_back_ends(fault.host),
            FaultKind::BadNetwork => self.network.make_good(fault.host),
            FaultKind::DelayOrders => {
                self.delayed_orders.remove(&fault.host);
            }
            FaultKind::WrongMachineList => self.wrong_list -= 1,
            FaultKind::PlannedStop | FaultKind::ReplaceBuild => {
                self.end_planned_stop(fault.host, number);
            }
            FaultKind::Leaving => self.set_leaving(fault.host, false),
            _ => {}
        }
    }

    pub(super) fn note_trouble(&mut self, host: Host) {
        match host {
            Host::Gateway(place) => {
                self.gateway_trouble[place] = self.now;
                self.disturbed_at = self.now;
            }
            _ => self.disturbed_at = self.now,
        }
    }

    pub(super) fn lose_disk(&mut self, host: Host, end: Millis) {
        let Host::Control(place) = host else {
            return;
        };
        let former = self.controls[place].id;
        self.next_replica += 1;
        let id = ReplicaId(self.next_replica);
        self.controls[place].replace_disk(id);
        self.places.remove(&former);
        self.places.insert(id, place);
        self.operators.repairs.push((former, id, place));
        self.schedule(end, WorldEvent::Start(host));
    }

    /// Stops an engine, half of the times as planned.
    fn begin_replacing_build(&mut self, host: Host, lasts: Millis) {
        if let Host::Engine(place) = host {
            self.engines[place].replace_build();
        }
        if lasts.0.is_multiple_of(2) {
            self.planned_stop(host);
        } else {
            self.end_process(host);
        }
    }

    pub(super) fn planned_stop(&mut self, host: Host) {
        match host {
            Host::Control(place) => {
                self.next_ticket += 1;
                let request = OperatorRequest::Member(MemberChange::TransferLeadership);
                let ticket = self.next_ticket;
                self.control_event(place, ControlEvent::Operator { ticket, request });
            }
            Host::Gateway(place) => {
                self.gateways[place].draining = true;
                self.gateway_event(place, GatewayEvent::Drain { ends_at: None });
            }
            Host::Engine(place) => {
                if let Some(engine) = &mut self.engines[place].engine {
                    engine.drain();
                    self.engines[place].draining = true;
                }
                self.platform
                    .set_state(&engine_id(place), MachineState::Leaving, self.now);
            }
            Host::Application(place) => {
                self.applications[place].draining = true;
                let id = application_id(place);
                self.platform
                    .set_state(&id, MachineState::Leaving, self.now);
            }
            _ => {}
        }
    }

    /// The process starts again, once it has stopped.
    pub(super) fn end_planned_stop(&mut self, host: Host, number: usize) {
        let still_draining = match host {
            Host::Control(place) => {
                let elapsed = self.now.since(self.faults[number].at);
                if elapsed >= PLANNED_HAND_OVER {
                    self.controls[place].crash(PowerLoss::DropUnsynced);
                    false
                } else {
                    true
                }
            }
            Host::Gateway(place) => {
                self.gateways[place].gateway.is_some() && self.gateways[place].draining
            }
            Host::Engine(place) => {
                self.engines[place].engine.is_some() && self.engines[place].draining
            }
            Host::Application(place) => {
                self.applications[place].up && self.applications[place].draining
            }
            _ => false,
        };
        if still_draining {
            self.open_faults += 1;
            self.schedule(self.now + Millis(200), WorldEvent::FaultEnds(number));
        } else {
            self.schedule(self.now + Millis(100), WorldEvent::Start(host));
        }
    }

    pub(super) fn set_leaving(&mut self, host: Host, leaving: bool) {
        let since = leaving.then_some(self.now);
        let id = match host {
            Host::Engine(place) => {
                self.engines[place].leaving_since = since;
                engine_id(place)
            }
            Host::Application(place) => {
                self.applications[place].leaving_since = since;
                application_id(place)
            }
            _ => return,
        };
        let state = if leaving {
            MachineState::Leaving
        } else {
            MachineState::Live
        };
        self.platform.set_state(&id, state, self.now);
    }
}
