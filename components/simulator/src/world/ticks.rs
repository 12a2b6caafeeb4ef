//! What each host does as time passes.

use std::collections::BTreeMap;

use garnet_control::Event as ControlEvent;
use garnet_gateway::Event as GatewayEvent;
use garnet_types::{Millis, ReplicaId};
use rand::RngExt;

use crate::checker::Invariant;
use crate::message::{Host, Message};

use super::{TICK, World, WorldEvent};

/// How often engines hand out their tokens.
const ENGINE_TICK: Millis = Millis(10);

/// How often replicas read the list.
const PLATFORM_INTERVAL: Millis = Millis(500);

/// A gateway that hears nothing turns to another replica.
const CONTROL_SILENCE: Millis = Millis(1200);

impl World {
    pub(super) fn tick(&mut self, host: Host) {
        let mut pause = TICK;
        match host {
            Host::Control(place) => self.tick_control(place),
            Host::Gateway(place) => self.tick_gateway(place),
            Host::Engine(place) => {
                pause = ENGINE_TICK;
                self.tick_engine(place);
            }
            Host::Application(place) => {
                self.run_calls(place);
                self.finish_application_stop(place);
            }
            _ => {}
        }
        self.schedule(self.now + pause, WorldEvent::Tick(host));
    }

    pub(super) fn tick_control(&mut self, place: usize) {
        if self.controls[place].running.is_none() {
            return;
        }
        self.control_event(place, ControlEvent::Tick);
        if self.now.since(self.platform_read[place]) >= PLATFORM_INTERVAL {
            self.platform_read[place] = self.now;
            self.send(Host::Control(place), Host::Platform, Message::AskMachines);
        }
        if place == 0 {
            self.tick_operators();
            self.steer();
        }
    }

    pub(super) fn tick_operators(&mut self) {
        let questions = self.operators.resend(&mut self.random, self.now);
        self.send_questions(questions);
        if self.random.random_bool(0.05)
            && let Some(members) = self.leader_members()
        {
            let question = self.operators.repair(&mut self.random, &members, self.now);
            self.send_questions(question.into_iter().collect());
        }
        let again = self.callers.due_again(&mut self.random, self.now);
        self.send_calls(again);
        for request in self.callers.overdue(self.now) {
            self.callers.disconnected(request, self.now);
        }
    }

    pub(super) fn leader_members(&self) -> Option<BTreeMap<ReplicaId, bool>> {
        let leader = self.leader()?;
        let running = self.controls[leader].running.as_ref()?;
        let members = &running.replica.node().membership().members;
        Some(members.iter().map(|(id, m)| (*id, m.voter)).collect())
    }

    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|place| self.holds_lease(*place))
    }

    pub(super) fn holds_lease(&self, place: usize) -> bool {
        let clock = self.clock(Host::Control(place));
        let running = self.controls[place].running.as_ref();
        running.is_some_and(|running| running.replica.node().holds_lease(clock))
    }

    pub(super) fn check_leases(&mut self) {
        let holders = (0..self.controls.len())
            .filter(|place| self.holds_lease(*place))
            .count();
        self.checker
            .check(Invariant::OneLease, holders <= 1, self.now, || {
                format!("{holders} replicas hold a lease")
            });
        self.note_leadership(holders > 0);
    }

    /// Measures the time in which no replica holds a lease. A deposed leader learns of its
    /// end after the next one was elected, so that reports of replicas overlap.
    fn note_leadership(&mut self, is_led: bool) {
        if !is_led {
            self.leaderless_since.get_or_insert(self.now);
        } else if let Some(since) = self.leaderless_since.take() {
            self.leaderless_ms.push(self.now.since(since).0);
        }
    }

    pub(super) fn tick_gateway(&mut self, place: usize) {
        if self.gateways[place].gateway.is_none() {
            return;
        }
        if self.now.since(self.gateway_heard[place]) >= CONTROL_SILENCE {
            self.gateway_heard[place] = self.now;
            self.gateways[place].control = (self.gateways[place].control + 1) % self.controls.len();
        }
        self.gateway_event(place, GatewayEvent::Tick);
        self.report_runs(place);
        let host = &self.gateways[place];
        let drained = host.gateway.as_ref().is_some_and(|g| g.is_drained());
        if host.draining && drained {
            let open = host.open_calls.len();
            self.checker.check(
                Invariant::PlannedChangeCutsNothing,
                open == 0,
                self.now,
                || format!("gateway {place} stopped with {open} open calls"),
            );
            self.stop(Host::Gateway(place));
        }
    }

    pub(super) fn tick_engine(&mut self, place: usize) {
        let now = self.now;
        if let Some(engine) = &mut self.engines[place].engine {
            engine.advance(now);
        }
        self.engine_outputs(place);
        let host = &self.engines[place];
        let idle = host.engine.as_ref().is_some_and(|e| e.running() == 0);
        if host.draining && idle {
            self.stop(Host::Engine(place));
        }
    }

    pub(super) fn finish_application_stop(&mut self, place: usize) {
        let host = &self.applications[place];
        if host.up && host.draining && host.open.is_empty() {
            self.stop(Host::Application(place));
        }
    }
}
