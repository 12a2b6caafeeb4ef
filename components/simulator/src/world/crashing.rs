//! A request that crashes each engine that runs it, and callers who send it
//! again and again.

use garnet_gateway::{Call, Job, Work};
use garnet_types::{EncodingVersion, Millis, ModelId, RequestId};
use rand::RngExt;

use crate::callers::Outgoing;
use crate::checker::Invariant;
use crate::message::Host;
use crate::service_hosts::MODEL;

use super::{World, WorldEvent};

/// What the prompt of such a request begins with.
const PROMPT: &str = "crashes";
/// Names of its sendings begin here, far from those of the other callers.
const FIRST_ID: u64 = 1 << 48;
/// Pauses between two sendings.
const SHORTEST_PAUSE_MS: u64 = 60;
const LONGEST_PAUSE_MS: u64 = 500;
/// Its engine ends so long after it began to run it.
const SHORTEST_RUN_MS: u64 = 5;
const LONGEST_RUN_MS: u64 = 80;
/// How long its callers wait: enough for all of its tokens.
const PATIENCE: Millis = Millis(12_000);
/// More than engines generate until they end, also where a run goes on from what
/// others have generated.
const MOST_TOKENS: u64 = 250;
/// An engine that crashed is back after this time.
const BACK_AFTER: Millis = Millis(2000);
/// Crashes after which it must be stopped.
const BORNE: usize = 3;
/// Time in which all gateways must know, unless something troubles them.
const CONTACT: Millis = Millis(3000);
/// Arrivals at engines that are allowed after that.
const LATE_ARRIVALS: u64 = 3;

/// One such request.
#[derive(Debug)]
pub(super) struct CrashingRequest {
    until: Millis,
    ended_at: Vec<Millis>,
    late_arrivals: u64,
    /// Crashes during runs of gateways that can report them.
    reportable: Vec<ReportableCrash>,
    /// Late arrivals from gateways of the current build, counted from reportable crashes.
    late_arrivals_after_reports: u64,
}

/// A crash during a run of a gateway of the current build.
#[derive(Debug, Clone, Copy)]
struct ReportableCrash {
    at: Millis,
    gateway: usize,
    /// Number of the gateway's start: its record of the crash ends with its process.
    gateway_start: u64,
}

/// Whether a sending is one of such a request.
pub(super) fn is_crashing(request: RequestId) -> bool {
    request.0 >= FIRST_ID
}

impl World {
    pub(super) fn begin_crashing_request(&mut self, until: Millis) {
        let number = self.crashing.len();
        self.crashing.push(CrashingRequest {
            until,
            ended_at: Vec::new(),
            late_arrivals: 0,
            reportable: Vec::new(),
            late_arrivals_after_reports: 0,
        });
        self.schedule(self.now, WorldEvent::CrashingRequestComes(number));
    }

    pub(super) fn crashing_request_comes(&mut self, number: usize) {
        if self.now >= self.crashing[number].until {
            return;
        }
        self.next_call += 1;
        let call = Call {
            id: RequestId(FIRST_ID + self.next_call),
            tenant: None,
            session: None,
            key: None,
            deadline: Some(PATIENCE),
            work: Work::Completion {
                model: ModelId::new(MODEL),
                prompt: format!("{PROMPT} {number}"),
                max_tokens: MOST_TOKENS,
                stream: true,
                chat: false,
            },
        };
        let gateway = self.random.random_range(0..self.gateways.len());
        self.send_calls(vec![Outgoing { gateway, call }]);
        let pause = self
            .random
            .random_range(SHORTEST_PAUSE_MS..LONGEST_PAUSE_MS);
        let again = self.now + Millis(pause);
        self.schedule(again, WorldEvent::CrashingRequestComes(number));
    }

    /// Which such request a job belongs to.
    pub(super) fn crashing_request_of(&self, job: &Job) -> Option<usize> {
        let (Job::Prefill { prompt, .. } | Job::Generate { prompt, .. }) = job else {
            return None;
        };
        let mut words = prompt.split(' ');
        let is_such = words.next() == Some(PROMPT);
        words.next()?.parse().ok().filter(|_| is_such)
    }

    /// A job of a gateway reached an engine.
    pub(super) fn note_reached(&mut self, gateway: usize, job: &Job) {
        let Some(number) = self.crashing_request_of(job) else {
            return;
        };
        let calm_since = self.disturbed_at.max(self.gateway_trouble[gateway]);
        let is_in_touch = self.open_faults == 0 && self.now.since(calm_since) >= CONTACT;
        self.check_reported_crashes(gateway, number, is_in_touch);
        let request = &mut self.crashing[number];
        let third = request.ended_at.get(BORNE - 1);
        let is_late = third.is_some_and(|third| self.now.since(*third) >= CONTACT);
        request.late_arrivals += u64::from(is_late && is_in_touch);
        let (late, ended) = (request.late_arrivals, request.ended_at.len());
        self.checker.check(
            Invariant::CrashesAreBounded,
            late <= LATE_ARRIVALS,
            self.now,
            || {
                format!(
                    "crashing request {number} came late {late} times and ended {ended} engines"
                )
            },
        );
    }

    /// A replica of the current build adds up what gateways of that build report to it.
    fn check_reported_crashes(&mut self, gateway: usize, number: usize, is_in_touch: bool) {
        let is_current = |version| version == EncodingVersion::CURRENT;
        let is_taken = self
            .controls
            .iter()
            .any(|host| host.running.is_some() && is_current(host.version));
        let is_bound = is_in_touch && is_taken && is_current(self.gateways[gateway].version);
        let gateways = &self.gateways;
        let is_known = |crash: &&ReportableCrash| {
            let host = &gateways[crash.gateway];
            host.gateway.is_some() && host.starts() == crash.gateway_start
        };
        let request = &mut self.crashing[number];
        let third = request.reportable.iter().filter(is_known).nth(BORNE - 1);
        let is_late = third.is_some_and(|third| self.now.since(third.at) >= CONTACT);
        request.late_arrivals_after_reports += u64::from(is_late && is_bound);
        let late = request.late_arrivals_after_reports;
        self.checker.check(
            Invariant::ReportedCrashesAreBounded,
            late <= LATE_ARRIVALS,
            self.now,
            || format!("crashing request {number} came late {late} times from the current build"),
        );
    }

    pub(super) fn engine_will_crash(&mut self, engine: usize, request: usize, gateway: usize) {
        let runs = self.random.random_range(SHORTEST_RUN_MS..LONGEST_RUN_MS);
        let start = self.engines[engine].starts();
        self.schedule(
            self.now + Millis(runs),
            WorldEvent::EngineCrashes {
                engine,
                start,
                request,
                gateway,
            },
        );
    }

    pub(super) fn engine_crashes(
        &mut self,
        engine: usize,
        start: u64,
        request: usize,
        gateway: usize,
    ) {
        let host = &self.engines[engine];
        if host.engine.is_none() || host.starts() != start {
            return;
        }
        self.crashing[request].ended_at.push(self.now);
        if self.gateways[gateway].version == EncodingVersion::CURRENT {
            self.crashing[request].reportable.push(ReportableCrash {
                at: self.now,
                gateway,
                gateway_start: self.gateways[gateway].starts(),
            });
        }
        let host = Host::Engine(engine);
        self.end_process(host);
        self.schedule(self.now + BACK_AFTER, WorldEvent::Start(host));
    }
}
