//! Back ends that reject all requests and request a backoff, and back ends that report
//! draining: what gateways go on to send them.

use std::collections::BTreeMap;

use garnet_gateway::AttemptEvent;
use garnet_routing::RetryAfter;
use garnet_types::Millis;
use rand::RngExt;

use crate::checker::Invariant;
use crate::message::Host;
use crate::service_hosts::JobOwner;

use super::World;

/// What is requested, in milliseconds.
const REQUESTED_MS: [u64; 5] = [300, 1_000, 3_000, 5_000, 8_000];
/// Requests that were under way when the request for a backoff came in are over after this
/// time, ...
const UNDER_WAY: Millis = Millis(500);
/// ... and so many more may come.
const ALLOWED: usize = 2;
/// Nothing is sent so long after a report of draining came in.
const DRAIN: Millis = Millis(3_000);

/// An overload of a back end.
#[derive(Debug)]
pub(super) struct Overload {
    retry_after: RetryAfter,
    until: Millis,
}

/// A start of a gateway.
type Listener = (usize, u64);

/// A backoff at one gateway, by the clock of that gateway: clocks run at
/// different speeds here.
#[derive(Debug)]
struct Heard {
    from: Millis,
    until: Millis,
    sent: usize,
}

/// Reports of one start of a back end that came in at gateways.
#[derive(Debug, Default)]
pub(super) struct Reports {
    backoffs: BTreeMap<Listener, Vec<Heard>>,
    draining: BTreeMap<Listener, Millis>,
}

impl World {
    pub(super) fn begin_overload(&mut self, host: Host, until: Millis) {
        let span_ms = REQUESTED_MS[self.random.random_range(0..REQUESTED_MS.len())];
        let overload = Overload {
            retry_after: RetryAfter::new(Millis(span_ms)),
            until,
        };
        self.overloads.insert(host, overload);
    }

    /// A back end that starts again has reported nothing.
    pub(super) fn forget_reports(&mut self, host: Host) {
        self.overloads.remove(&host);
        self.reports.remove(&host);
    }

    /// Rejects a job where its back end is overloaded.
    pub(super) fn reject_overloaded(&mut self, host: Host, owner: JobOwner) -> bool {
        let now = self.now;
        let overload = self.overloads.get(&host);
        let Some(overload) = overload.filter(|overload| now < overload.until) else {
            return false;
        };
        let retry_after = overload.retry_after;
        self.job_event(host, owner, AttemptEvent::Backoff(retry_after));
        self.job_event(host, owner, AttemptEvent::NotStarted { draining: false });
        true
    }

    /// A back end answers: that it drains goes before.
    pub(super) fn report_draining(&mut self, host: Host, owner: JobOwner) {
        if self.is_draining(host) {
            self.job_event(host, owner, AttemptEvent::Draining);
        }
    }

    fn is_draining(&self, host: Host) -> bool {
        match host {
            Host::Engine(place) => self.engines[place].draining,
            Host::Application(place) => self.applications[place].draining,
            _ => false,
        }
    }

    /// Whether a report of draining that comes in now is of an earlier start, which ended
    /// while its report was in flight.
    fn is_of_earlier_start(&self, from: Host) -> bool {
        let is_up = match from {
            Host::Engine(place) => self.engines[place].engine.is_some(),
            Host::Application(place) => self.applications[place].up,
            _ => false,
        };
        is_up && !self.is_draining(from)
    }

    /// Notes a report that came in at a gateway.
    pub(super) fn note_report_heard(&mut self, gateway: usize, from: Host, event: &AttemptEvent) {
        let listener = (gateway, self.gateways[gateway].starts());
        let now = self.now;
        let clock = self.clock(Host::Gateway(gateway));
        if matches!(event, AttemptEvent::Draining) && self.is_of_earlier_start(from) {
            return;
        }
        let reports = self.reports.entry(from).or_default();
        match event {
            AttemptEvent::Backoff(retry_after) => {
                let heard = Heard {
                    from: clock + UNDER_WAY,
                    until: clock + retry_after.span(),
                    sent: 0,
                };
                reports.backoffs.entry(listener).or_default().push(heard);
            }
            AttemptEvent::Draining => {
                reports.draining.entry(listener).or_insert(now);
            }
            _ => {}
        }
    }

    /// A gateway sends a request to a back end.
    pub(super) fn check_reports(&mut self, gateway: usize, to: Host) {
        let listener = (gateway, self.gateways[gateway].starts());
        let now = self.now;
        let clock = self.clock(Host::Gateway(gateway));
        let Some(reports) = self.reports.get_mut(&to) else {
            return;
        };
        let mut most = 0;
        for heard in reports.backoffs.get_mut(&listener).into_iter().flatten() {
            if heard.from <= clock && clock < heard.until {
                heard.sent += 1;
                most = most.max(heard.sent);
            }
        }
        let drains_since = reports.draining.get(&listener).copied();
        let drains_for = drains_since.map_or(Millis::ZERO, |since| now.since(since));
        self.checker
            .check(Invariant::BackoffsAreKept, most <= ALLOWED, now, || {
                format!("{to:?} was sent {most} requests in a backoff that it had requested")
            });
        self.checker.check(
            Invariant::DrainingGetsNoWork,
            drains_for <= DRAIN,
            now,
            || format!("{to:?} reported draining {} ms before", drains_for.0),
        );
    }
}
