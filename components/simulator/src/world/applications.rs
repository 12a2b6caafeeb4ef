//! Application instances: calls and when they end.

use garnet_gateway::{AttemptEvent, Job};
use garnet_types::{Millis, RecordedResponse};
use rand::RngExt;

use crate::checker::Invariant;
use crate::message::{Host, Message};
use crate::service_hosts::{JobOwner, OpenCall};

use super::{PLATFORM_LAG, World};

/// A leaving back end may get new work for so long, when nothing else fails.
const LEAVING_ALLOWANCE: Millis = Millis::from_secs(6);

/// Share of the responses without a marked end that are cut.
const CUT_SHARE: f64 = 0.5;

impl World {
    pub(super) fn deliver_application(&mut self, place: usize, from: Host, message: Message) {
        let host = Host::Application(place);
        let (
            Message::StartJob {
                attempt,
                gateway_start,
                request,
                job:
                    Job::Application {
                        method,
                        path,
                        body,
                        key,
                        ..
                    },
            },
            Host::Gateway(gateway),
        ) = (message, from)
        else {
            return;
        };
        let owner = JobOwner {
            gateway,
            gateway_start,
            attempt,
        };
        let application = &mut self.applications[place];
        if !application.up || application.draining {
            let draining = application.up;
            self.report_draining(host, owner);
            self.job_event(host, owner, AttemptEvent::NotStarted { draining });
            return;
        }
        if self.reject_overloaded(host, owner) {
            return;
        }
        let application = &mut self.applications[place];
        self.next_call += 1;
        let call = OpenCall {
            owner,
            request,
            key,
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_safe: method == "GET",
        };
        application.open.insert(self.next_call, call);
        let leaving = application.leaving_since;
        self.checker.began(request, self.now);
        self.check_leaving(host, leaving);
    }

    /// An instance works on its calls: each takes a tick or more.
    pub(super) fn run_calls(&mut self, place: usize) {
        let host = Host::Application(place);
        let open: Vec<u64> = self.applications[place].open.keys().copied().collect();
        for number in open {
            if self.random.random_bool(0.4) {
                continue;
            }
            let Some(call) = self.applications[place].open.remove(&number) else {
                continue;
            };
            if !call.is_safe {
                self.checker
                    .ran_once(call.request, call.key.as_deref(), self.now);
            }
            let application = &mut self.applications[place].application;
            let answer = application.run(&call.path, call.key.as_deref(), &call.body);
            let response = RecordedResponse {
                status: 200,
                content_type: "application/json".to_owned(),
                body: serde_json::to_vec(&answer).unwrap_or_default(),
                served_by: answer.instance.clone(),
            };
            self.say_limit(host, call.owner);
            self.report_draining(host, call.owner);
            let event = self.response_event(host, response);
            self.job_event(host, call.owner, event);
        }
    }

    /// The event of a response, which may have no marked end and may then be cut.
    fn response_event(&mut self, host: Host, mut response: RecordedResponse) -> AttemptEvent {
        let until = self.unframed_until.get(&host);
        if until.is_none_or(|until| *until <= self.now) {
            return AttemptEvent::Response(response);
        }
        if self.random.random_bool(CUT_SHARE) {
            let len = self.random.random_range(0..response.body.len());
            response.body.truncate(len);
        }
        AttemptEvent::UnmarkedResponse(response)
    }

    /// A leaving back end gets no new work after a few seconds, counted from
    /// when nothing else was wrong any more.
    pub(super) fn check_leaving(&mut self, host: Host, since: Option<Millis>) {
        let Some(since) = since else {
            return;
        };
        let troubled = !self.network.troubled().is_empty() || self.wrong_list > 0;
        let frozen = self.frozen_until.values().any(|until| *until > self.now);
        if troubled || frozen {
            return;
        }
        let from = since.max(self.disturbed_at);
        let soon_enough = self.now.since(from) <= PLATFORM_LAG + LEAVING_ALLOWANCE;
        self.checker
            .check(Invariant::LeavingGetsNoWork, soon_enough, self.now, || {
                format!("{host:?} began new work {} ms on", self.now.since(from).0)
            });
    }
}
