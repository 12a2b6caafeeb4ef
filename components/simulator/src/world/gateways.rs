//! Gateways: their events and effects.

use garnet_control::ControlReply;
use garnet_gateway::{
    AttemptEvent, AttemptId, Effect as GatewayEffect, Event as GatewayEvent, Job,
};
use garnet_types::{BackendId, Millis, RequestId};

use crate::message::{Host, Message};
use crate::service_hosts::JobOwner;

use super::{World, engine_id, place_of};

/// Connecting takes so long at most.
const CONNECT_TIME: Millis = Millis(500);

/// A connection that gets nothing through is given up after this time.
const DEAD_CONNECTION: Millis = Millis::from_secs(30);

impl World {
    pub(super) fn deliver_gateway(&mut self, place: usize, from: Host, message: Message) {
        let event = match (message, from) {
            (Message::ToGateway(reply), _) => {
                self.gateway_heard[place] = self.now;
                if let ControlReply::NotLeader { leader, .. } = &reply {
                    let hint = leader.as_ref().and_then(|address| address.parse().ok());
                    let next = (self.gateways[place].control + 1) % self.controls.len();
                    self.gateways[place].control = hint.unwrap_or(next);
                }
                GatewayEvent::Control(reply)
            }
            (Message::ToReporter(reply), _) => return self.report_answered(place, reply),
            (Message::JobEvent(attempt, event), from) => {
                let receiver = (place, self.gateways[place].starts());
                self.timeline.attempt(self.now, receiver, attempt, &event);
                if matches!(event, AttemptEvent::Limit(Some(_))) {
                    self.note_limit_heard(place, from);
                }
                self.note_report_heard(place, from, &event);
                let goes_on = matches!(
                    event,
                    AttemptEvent::Tokens { .. }
                        | AttemptEvent::Limit(_)
                        | AttemptEvent::Backoff(_)
                        | AttemptEvent::Draining
                );
                if !goes_on {
                    self.gateways[place].attempts.remove(&attempt);
                }
                GatewayEvent::Attempt(attempt, event)
            }
            (Message::Load(report), Host::Engine(engine)) => {
                GatewayEvent::Load(engine_id(engine), report)
            }
            (Message::Call(call), _) => {
                let id = call.id;
                self.timeline.arrived(id, self.now, Host::Gateway(place));
                if self.gateways[place].gateway.is_none() {
                    self.callers.unreachable(id, self.now);
                    return;
                }
                self.gateways[place].open_calls.insert(id);
                self.gateway_event(place, GatewayEvent::Call(call));
                self.check_admission(place, id);
                return;
            }
            _ => return,
        };
        self.gateway_event(place, event);
    }

    /// A request that was not refused at once was taken by the configuration
    /// that the gateway has now.
    pub(super) fn check_admission(&mut self, place: usize, id: RequestId) {
        let host = &self.gateways[place];
        if !host.open_calls.contains(&id) {
            return;
        }
        if let Some(gateway) = &host.gateway {
            let index = gateway.configuration_index();
            self.checker.took_work(place, index, self.now);
        }
    }

    pub(super) fn gateway_event(&mut self, place: usize, event: GatewayEvent) {
        let clock = self.clock(Host::Gateway(place));
        let Some(gateway) = &mut self.gateways[place].gateway else {
            return;
        };
        gateway.handle(event, clock);
        let effects = gateway.take_effects();
        for effect in effects {
            self.gateway_effect(place, effect);
        }
    }

    pub(super) fn gateway_effect(&mut self, place: usize, effect: GatewayEffect) {
        let host = Host::Gateway(place);
        match effect {
            GatewayEffect::Tokens {
                request,
                first,
                tokens,
            } => self.send_to_caller(place, request, Message::Tokens(request, first, tokens)),
            GatewayEffect::Answer { request, answer } => {
                self.timeline.answered(request, self.now, &answer);
                self.send_to_caller(place, request, Message::Answer(request, answer));
                self.gateways[place].open_calls.remove(&request);
            }
            GatewayEffect::Dispatch {
                attempt,
                request,
                backend,
                job,
                ..
            } => self.dispatch(place, attempt, request, &backend, job),
            GatewayEffect::Cancel(attempt) => {
                if let Some(to) = self.gateways[place].attempts.remove(&attempt)
                    && !self.network.is_cut(host, to)
                {
                    self.send(host, to, Message::CancelJob(attempt));
                }
            }
            GatewayEffect::SendControl(request) => {
                let to = Host::Control(self.gateways[place].control);
                self.send(host, to, Message::FromGateway(request));
            }
            GatewayEffect::PollLoad { backend, .. } => {
                if let Some(engine) = place_of(&backend, "engine-") {
                    self.send(host, Host::Engine(engine), Message::AskLoad);
                }
            }
            GatewayEffect::PersistIndex(index) => {
                self.gateways[place].persisted_index = index;
                self.gateway_event(place, GatewayEvent::IndexPersisted(index));
            }
        }
    }

    /// To a caller. A cut link ends the connection.
    pub(super) fn send_to_caller(&mut self, place: usize, request: RequestId, message: Message) {
        let host = Host::Gateway(place);
        if !self.gateways[place].open_calls.contains(&request) {
            return;
        }
        if self.network.is_cut(host, Host::Callers) {
            self.gateways[place].open_calls.remove(&request);
            let at = self.now + Millis(1000);
            self.send_at(at, host, Host::Callers, Message::Disconnected(request));
            self.gateway_event(place, GatewayEvent::CallerDisconnected(request));
            return;
        }
        self.send(host, Host::Callers, message);
    }

    pub(super) fn dispatch(
        &mut self,
        place: usize,
        attempt: AttemptId,
        request: RequestId,
        backend: &BackendId,
        job: Job,
    ) {
        let host = Host::Gateway(place);
        let engine = place_of(backend, "engine-").map(Host::Engine);
        let application = place_of(backend, "application-").map(Host::Application);
        let Some(to) = engine.or(application) else {
            return;
        };
        let sender = (place, self.gateways[place].starts());
        let sent = (to, &job);
        self.timeline
            .dispatched(request, self.now, sender, attempt, sent);
        self.note_sent(place, to);
        self.check_reports(place, to);
        if self.network.is_cut(host, to) || self.network.is_cut(to, host) {
            let event = AttemptEvent::NotStarted { draining: false };
            let at = self.now + CONNECT_TIME;
            self.send_at(at, to, host, Message::JobEvent(attempt, event));
            return;
        }
        self.gateways[place].attempts.insert(attempt, to);
        self.send(
            host,
            to,
            Message::StartJob {
                attempt,
                gateway_start: self.gateways[place].starts(),
                request,
                job,
            },
        );
    }

    /// From a back end to the gateway of a job, on the job's connection.
    pub(super) fn job_event(&mut self, from: Host, owner: JobOwner, event: AttemptEvent) {
        let to = Host::Gateway(owner.gateway);
        if self.gateways[owner.gateway].starts() != owner.gateway_start {
            return;
        }
        if self.network.is_cut(from, to) {
            let at = self.now + DEAD_CONNECTION;
            let broken = Message::JobEvent(owner.attempt, AttemptEvent::Broken);
            self.send_at(at, from, to, broken);
            return;
        }
        self.send(from, to, Message::JobEvent(owner.attempt, event));
    }
}
