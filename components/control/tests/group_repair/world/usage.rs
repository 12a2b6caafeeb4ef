//! Gateways that count what begins to run, and the platform that is told.

use garnet_control::{ControlReply, DutyAnswer, DutyCall, Event, GatewayRequest};
use garnet_types::Millis;
use rand::RngExt;

use crate::metering::MeteringGateway;
use crate::platform::Platform;

use super::World;

/// Length of the windows over which usage is told.
pub(super) const WINDOW: Millis = Millis(2000);
pub(super) const CALL_TIME: Millis = Millis(1500);
pub(super) const GATEWAYS: usize = 4;
/// A request begins at a gateway in one step of so many.
const STEPS_A_REQUEST: u32 = 8;
/// A gateway is killed in one step of so many.
const STEPS_A_KILL: u32 = 4_000;

/// Usage that is told to a platform.
pub struct Duties {
    pub platform: Platform,
    gateways: Vec<MeteringGateway>,
    started: usize,
    /// Requests that began to run.
    pub ran: u64,
    /// Requests that killed gateways may have taken along.
    pub lost_with_gateways: u64,
    /// Whether requests begin and gateways are killed.
    busy: bool,
    /// Answers on their way to machines, with the start that asked.
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

    /// Requests that came too late for their window.
    pub fn late(&self) -> u64 {
        self.gateways.iter().map(|gateway| gateway.lost).sum()
    }

    /// Requests that the platform was told of.
    pub fn told(&self) -> u64 {
        self.platform
            .told
            .values()
            .flat_map(|counts| counts.values())
            .sum()
    }
}

impl World {
    pub(super) fn start_gateway(&mut self, place: usize) {
        let now = self.now;
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.started += 1;
        let id = format!("g{place}.{}", duties.started);
        let gateway = MeteringGateway::new(id, WINDOW, now);
        match duties.gateways.get_mut(place) {
            Some(former) => {
                duties.lost_with_gateways += former.unlogged() + former.lost;
                *former = gateway;
            }
            None => duties.gateways.push(gateway),
        }
    }

    /// Requests begin, gateways are killed, and all report.
    pub(super) fn meter(&mut self) {
        for place in 0..GATEWAYS {
            let draw = self.random.random::<u32>();
            let now = self.now;
            let Some(duties) = &mut self.duties else {
                return;
            };
            if duties.busy && draw.is_multiple_of(STEPS_A_REQUEST) {
                let tenant = ["one", "two", "three"][(draw >> 16) as usize % 3];
                duties.gateways[place].begin(tenant, now);
                duties.ran += 1;
            }
            if duties.busy && (draw >> 8).is_multiple_of(STEPS_A_KILL) {
                self.start_gateway(place);
            }
            self.report_usage(place);
        }
    }

    fn report_usage(&mut self, place: usize) {
        let now = self.now;
        let gateway = self
            .duties
            .as_mut()
            .map(|duties| &mut duties.gateways[place]);
        let Some((report, asks)) = gateway.and_then(|gateway| {
            let report = gateway.report(now)?;
            Some((report, gateway.asks))
        }) else {
            return;
        };
        let to = asks % self.machines.len();
        if self.machines[to].acts() {
            let event = Event::Gateway {
                connection: place as u64,
                request: GatewayRequest::Usage(report),
            };
            self.event(to, event);
        }
    }

    pub(super) fn tell_gateway(&mut self, connection: u64, reply: &ControlReply) {
        let now = self.now;
        if let Some(duties) = &mut self.duties {
            duties.gateways[connection as usize].hear(reply, now);
        }
    }

    pub(super) fn call_platform(&mut self, place: usize, call: DutyCall) {
        let machine = &self.machines[place];
        let may_call = machine
            .replica()
            .is_some_and(|r| r.may_call(&call, self.now));
        let life = machine.starts;
        let Some(duties) = self.duties.as_mut().filter(|_| may_call) else {
            return;
        };
        let answer = duties
            .platform
            .call(place, &call, &mut self.random, self.now);
        let (delay, answer) = match answer {
            Some(answer) => (Millis(self.random.random_range(1..15)), answer),
            None => (CALL_TIME, DutyAnswer::Unknown),
        };
        duties
            .answers
            .push((self.now + delay, place, life, call, answer));
    }

    pub(super) fn answer_calls(&mut self) {
        let now = self.now;
        let Some(duties) = &mut self.duties else {
            return;
        };
        duties.platform.tick(now);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut duties.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        duties.answers = later;
        for (_, place, life, call, answer) in due {
            let machine = &self.machines[place];
            if machine.acts() && machine.starts == life {
                self.event(place, Event::DutyAnswered { call, answer });
            }
        }
    }

    /// Nothing more begins; what was counted is told.
    pub fn tell_the_rest(&mut self) {
        if let Some(duties) = &mut self.duties {
            duties.busy = false;
        }
        self.pass(Millis::from_secs(20));
    }
}
