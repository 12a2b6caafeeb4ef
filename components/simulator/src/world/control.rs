//! Control replicas: their events and effects.

use garnet_control::{Effect as ControlEffect, EngineRequest, Event as ControlEvent};
use garnet_storage::PowerLoss;
use garnet_types::{BackendId, Millis};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::Invariant;
use crate::message::{Host, Message};

use super::{World, WorldEvent, engine_id, place_of};

/// Longest delay of an order under [`FaultKind::DelayOrders`].
const LONGEST_ORDER_DELAY_MS: u64 = 8000;

impl World {
    pub(super) fn deliver_control(&mut self, place: usize, from: Host, message: Message) {
        let event = match (message, from) {
            (Message::Peer(envelope), Host::Control(peer)) => {
                if !self.opens_peer(peer, place, envelope.from) {
                    return;
                }
                ControlEvent::Peer(envelope)
            }
            (Message::FromGateway(request), Host::Gateway(gateway)) => {
                let Some(request) = self.request_received(gateway, place, request) else {
                    return;
                };
                ControlEvent::Gateway {
                    connection: gateway as u64,
                    request,
                }
            }
            (
                Message::FromReporter {
                    connection,
                    request,
                },
                _,
            ) => return self.report_received(place, connection, request),
            (Message::FromOperator(number, request), host) => {
                self.next_ticket += 1;
                self.questions.insert(self.next_ticket, (host, number));
                ControlEvent::Operator {
                    ticket: self.next_ticket,
                    request,
                }
            }
            (Message::EngineStatus(status), Host::Engine(engine)) => ControlEvent::EngineStatus {
                engine: engine_id(engine),
                status,
            },
            (Message::OrderAnswer(answer), Host::Engine(engine)) => ControlEvent::OrderAnswered {
                engine: engine_id(engine),
                answer,
            },
            (Message::Machines(machines), _) => ControlEvent::Machines(machines),
            _ => return,
        };
        self.control_event(place, event);
    }

    pub(super) fn control_event(&mut self, place: usize, event: ControlEvent) {
        let host = Host::Control(place);
        let clock = self.clock(host);
        if self.controls[place].running.is_none() {
            return;
        }
        let Some(effects) = self.controls[place].handle(event, clock) else {
            let kept = self.random.random_range(0..60);
            self.controls[place].crash(PowerLoss::KeepPrefix(kept));
            self.disturbed_at = self.now;
            self.schedule(self.now + Millis(1500), WorldEvent::Start(host));
            return;
        };
        self.compare_state(place);
        for effect in effects {
            self.control_effect(place, effect);
        }
    }

    /// Replicas that applied the same index must have the same state.
    pub(super) fn compare_state(&mut self, place: usize) {
        let Some(running) = &self.controls[place].running else {
            return;
        };
        let index = running.replica.node().status().applied_index;
        let backends = running.replica.state().configuration.backends.values();
        let out = backends.filter(|record| record.order.is_some()).count();
        self.checker
            .check(Invariant::OneChangeInAPool, out <= 1, self.now, || {
                format!("{out} engines of one pool are out for orders")
            });
        if index % 8 == 0 && index > 0 {
            let encoded = running.replica.state().encode();
            let hash = xxh3_64(&encoded.unwrap_or_default());
            self.checker.applied(place, index, hash, self.now);
        }
    }

    pub(super) fn control_effect(&mut self, place: usize, effect: ControlEffect) {
        let host = Host::Control(place);
        match effect {
            ControlEffect::SendPeer(envelope) => {
                if let Some(to) = self.places.get(&envelope.to).copied() {
                    self.send(host, Host::Control(to), Message::Peer(envelope));
                }
            }
            ControlEffect::ReplyGateway { connection, reply } => {
                if let Some(gateway) = Self::reporter(connection) {
                    self.send(host, Host::Gateway(gateway), Message::ToReporter(reply));
                    return;
                }
                let gateway = connection as usize;
                if let Some(reply) = self.reply_received(gateway, place, reply) {
                    let to = Host::Gateway(gateway);
                    self.send(host, to, Message::ToGateway(reply));
                }
            }
            ControlEffect::AnswerOperator { ticket, answer } => {
                if let Some((to, number)) = self.questions.remove(&ticket) {
                    self.send(host, to, Message::ToOperator(number, answer));
                }
            }
            ControlEffect::AskEngine {
                engine, request, ..
            } => self.ask_engine(place, &engine, request),
            ControlEffect::BecameLeader { .. } => {
                self.elections += 1;
                self.last_leader = Some(place);
            }
            // The simulated group has fixed members and no duties towards a
            // platform; both have tests of their own.
            ControlEffect::ForwardJoin { .. }
            | ControlEffect::CallPlatform(_)
            | ControlEffect::Balanced { .. }
            | ControlEffect::Quarantined(_)
            | ControlEffect::PartsQuarantined(_)
            | ControlEffect::Halted(_)
            | ControlEffect::GroupChanged { .. }
            | ControlEffect::LostLeadership { .. } => {}
        }
    }

    pub(super) fn ask_engine(&mut self, place: usize, engine: &BackendId, request: EngineRequest) {
        let host = Host::Control(place);
        let Some(number) = place_of(engine, "engine-") else {
            return;
        };
        let to = Host::Engine(number);
        if let EngineRequest::Order(order) = &request {
            let clock = self.clock(host);
            let allowed = self.controls[place]
                .running
                .as_ref()
                .is_some_and(|running| running.replica.may_send_order(order.fence, clock));
            if !allowed {
                return;
            }
            if self.delayed_orders.contains_key(&host) {
                let delay = Millis(self.random.random_range(0..LONGEST_ORDER_DELAY_MS));
                self.send_at(self.now + delay, host, to, Message::AskEngine(request));
                return;
            }
        }
        self.send(host, to, Message::AskEngine(request));
    }
}
