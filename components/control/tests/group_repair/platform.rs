//! A platform that receives calls, answers some of them late or never, and checks the rules
//! that its callers must keep.

use std::collections::BTreeMap;

use garnet_control::{Duty, DutyAnswer, DutyCall, WindowCounts};
use garnet_types::{Millis, UsageWindow};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Holders A and B must not call in the order A, B, A within this time.
pub const MIN_RETURN_INTERVAL: Millis = Millis(3000);

/// The outcome of a call.
enum CallOutcome {
    Answered,
    /// Executed; the answer is lost.
    AnswerLost,
    /// Executed after a delay, without an answer.
    Late(Millis),
    Throttled,
}

/// A call that is executed later than newer ones.
struct DelayedCall {
    due: Millis,
    call: DutyCall,
}

pub struct Platform {
    seed: u64,
    fences_checked: bool,
    /// The counts accepted for each window.
    pub reported: BTreeMap<UsageWindow, WindowCounts>,
    highest_token: u64,
    holders: BTreeMap<u64, usize>,
    /// The machines that called, in order, each with the time of the last call of its
    /// period; the newest one is last.
    callers: Vec<(usize, Millis)>,
    late: Vec<DelayedCall>,
    pub calls: usize,
}

impl Platform {
    pub fn new(seed: u64, fences_checked: bool) -> Self {
        Platform {
            seed,
            fences_checked,
            reported: BTreeMap::new(),
            highest_token: 0,
            holders: BTreeMap::new(),
            callers: Vec::new(),
            late: Vec::new(),
            calls: 0,
        }
    }

    /// Receives a call from a machine. Returns the answer, if one is sent.
    pub fn call(
        &mut self,
        machine: usize,
        call: &DutyCall,
        random: &mut Pcg64Mcg,
        now: Millis,
    ) -> Option<DutyAnswer> {
        self.calls += 1;
        self.check_holder(machine, call.token, now);
        match draw_outcome(random) {
            CallOutcome::Answered => Some(self.execute(call)),
            CallOutcome::AnswerLost => {
                self.execute(call);
                None
            }
            CallOutcome::Late(delay) => {
                let due = now + delay;
                let call = call.clone();
                self.late.push(DelayedCall { due, call });
                None
            }
            CallOutcome::Throttled => Some(DutyAnswer::Throttled),
        }
    }

    /// Executes the delayed calls that are due.
    pub fn tick(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.due <= now);
        self.late = later;
        let due: Vec<DelayedCall> = due;
        for late in due {
            self.execute(&late.call);
        }
    }

    fn execute(&mut self, call: &DutyCall) -> DutyAnswer {
        if self.fences_checked && call.token < self.highest_token {
            return DutyAnswer::Refused;
        }
        self.highest_token = self.highest_token.max(call.token);
        let Duty::Usage { window, counts } = &call.duty else {
            panic!("no engines are bought here");
        };
        let first = self
            .reported
            .entry(*window)
            .or_insert_with(|| counts.clone());
        assert_eq!(
            first, counts,
            "seed {}: window {window} is reported twice and differs",
            self.seed
        );
        DutyAnswer::Done
    }

    fn check_holder(&mut self, machine: usize, token: u64, now: Millis) {
        let holder = *self.holders.entry(token).or_insert(machine);
        assert_eq!(
            holder, machine,
            "seed {}: two holders of token {token}",
            self.seed
        );
        let highest = self.holders.keys().next_back().copied();
        if !self.fences_checked {
            assert_eq!(highest, Some(token), "seed {}: a lower token", self.seed);
        }
        match self.callers.last_mut() {
            Some((last, at)) if *last == machine => *at = now,
            _ => self.callers.push((machine, now)),
        }
        if let [.., (first, at), _, (third, _)] = self.callers.as_slice()
            && first == third
        {
            let interval = now.since(*at);
            assert!(
                interval >= MIN_RETURN_INTERVAL,
                "seed {}: holders alternate within {} ms",
                self.seed,
                interval.0
            );
        }
    }
}

fn draw_outcome(random: &mut Pcg64Mcg) -> CallOutcome {
    match random.random_range(0..10) {
        0 => CallOutcome::AnswerLost,
        1 => CallOutcome::Late(Millis(random.random_range(2_000..12_000))),
        2 => CallOutcome::Throttled,
        _ => CallOutcome::Answered,
    }
}
