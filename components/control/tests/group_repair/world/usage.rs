//! Gateways that count the requests that start, and the platform that receives the reports.

use garnet_control::{ControlReply, DutyAnswer, DutyCall, Event, GatewayRequest};
use garnet_types::Millis;
use rand::RngExt;

use crate::metering::MeteringGateway;
use crate::platform::Platform;

use super::World;

/// Length of the usage windows.
pub(super) const WINDOW: Millis = Millis(2000);
pub(super) const CALL_TIME: Millis = Millis(1500);
pub(super) const GATEWAYS: usize = 4;
/// A request starts at a gateway in one of this many steps, on average.
const STEPS_PER_REQUEST: u32 = 8;
/// A gateway is killed in one of this many steps, on average.
const STEPS_PER_KILL: u32 = 4_000;

/// The gateways that count usage and the platform that it is reported to.
pub struct Duties {
    pub platform: Platform,
    gateways: Vec<MeteringGateway>,
    started: usize,
    /// Requests that started to run.
    pub ran: u64,
    /// Requests that may have been lost with killed gateways.
    pub lost_with_gateways: u64,
    /// Whether requests are started and gateways are killed.
    busy: bool,
    /// Answers in flight to machines, with the start of the machine that called.
    answers: Vec<(Millis, usize, u64, DutyCall, DutyAnswer)>,
}

impl Duties {
    pub(super) fn new(seed: u64, fences_checked: bool) -> Self {
        Duties {
            platform: Platform::new(seed, fences_checked),
            gateways: Vec::new(),
            started: 0,
            ran: 0,
            lost_with_gateways: 0,
            busy: true,
            answers: Vec::new(),
        }
    }

    /// Requests that were counted too late for their window.
    pub fn late(&self) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.late_requests)
            .sum()
    }

    /// Requests that were reported to the platform.
    pub fn reported(&self) -> u64 {
        self.platform
            .reported
            .values()
            .flat_map(|counts| counts.values())
            .sum()
    }
}

impl World {
    pub(super) fn start_gateway(&mut self, index: usize) {
        let now = self.now;
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.started += 1;
        let id = format!("g{index}.{}", duties.started);
        let gateway = MeteringGateway::new(id, WINDOW, now);
        match duties.gateways.get_mut(index) {
            Some(previous) => {
                duties.lost_with_gateways += previous.unlogged() + previous.late_requests;
                *previous = gateway;
            }
            None => duties.gateways.push(gateway),
        }
    }

    /// Starts requests, kills gateways, and lets all gateways report.
    pub(super) fn run_gateways(&mut self) {
        for index in 0..GATEWAYS {
            let draw = self.random.random::<u32>();
            let now = self.now;
            let Some(duties) = &mut self.duties else {
                return;
            };
            if duties.busy && draw.is_multiple_of(STEPS_PER_REQUEST) {
                let tenant = ["one", "two", "three"][(draw >> 16) as usize % 3];
                duties.gateways[index].start_request(tenant, now);
                duties.ran += 1;
            }
            if duties.busy && (draw >> 8).is_multiple_of(STEPS_PER_KILL) {
                self.start_gateway(index);
            }
            self.report_usage(index);
        }
    }

    fn report_usage(&mut self, index: usize) {
        let now = self.now;
        let gateway = self
            .duties
            .as_mut()
            .map(|duties| &mut duties.gateways[index]);
        let Some((report, target)) = gateway.and_then(|gateway| {
            let report = gateway.report(now)?;
            Some((report, gateway.target))
        }) else {
            return;
        };
        let to = target % self.machines.len();
        if self.machines[to].is_active() {
            let event = Event::Gateway {
                connection: index as u64,
                request: GatewayRequest::Usage(report),
            };
            self.event(to, event);
        }
    }

    pub(super) fn reply_to_gateway(&mut self, connection: u64, reply: &ControlReply) {
        let now = self.now;
        if let Some(duties) = &mut self.duties {
            duties.gateways[connection as usize].handle_reply(reply, now);
        }
    }

    pub(super) fn call_platform(&mut self, index: usize, call: DutyCall) {
        let machine = &self.machines[index];
        let may_call = machine
            .replica()
            .is_some_and(|r| r.may_call(&call, self.now));
        let incarnation = machine.starts;
        let Some(duties) = self.duties.as_mut().filter(|_| may_call) else {
            return;
        };
        let answer = duties
            .platform
            .call(index, &call, &mut self.random, self.now);
        let (delay, answer) = match answer {
            Some(answer) => (Millis(self.random.random_range(1..15)), answer),
            None => (CALL_TIME, DutyAnswer::Unknown),
        };
        duties
            .answers
            .push((self.now + delay, index, incarnation, call, answer));
    }

    pub(super) fn deliver_call_answers(&mut self) {
        let now = self.now;
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.platform.tick(now);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut duties.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        duties.answers = later;
        for (_, index, incarnation, call, answer) in due {
            let machine = &self.machines[index];
            if machine.is_active() && machine.starts == incarnation {
                self.event(index, Event::DutyAnswered { call, answer });
            }
        }
    }

    /// Starts no more requests, and lets all counted usage be reported.
    pub fn report_remaining_usage(&mut self) {
        if let Some(duties) = &mut self.duties {
            duties.busy = false;
        }
        self.advance(Millis::from_secs(20));
    }
}
