//! A platform that takes calls, answers some of them late or never, and checks
//! what must hold of its callers.

use std::collections::BTreeMap;

use garnet_control::{Duty, DutyAnswer, DutyCall, WindowCounts};
use garnet_types::{Millis, UsageWindow};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Within this time holders must not take turns A, B, A.
pub const TURNS_WITHIN: Millis = Millis(3000);

/// What becomes of a call.
enum Fate {
    Answered,
    /// Carried out; the answer is lost.
    AnswerLost,
    /// Carried out later, without an answer.
    Late(Millis),
    Throttled,
}

/// A call that is carried out later than newer ones.
struct LateCall {
    due: Millis,
    call: DutyCall,
}

pub struct Platform {
    seed: u64,
    fences_checked: bool,
    /// What was taken in of each window.
    pub told: BTreeMap<UsageWindow, WindowCounts>,
    highest_token: u64,
    holders: BTreeMap<u64, usize>,
    /// Who called, each time with when it did so last; the newest one last.
    turns: Vec<(usize, Millis)>,
    late: Vec<LateCall>,
    pub calls: usize,
}

impl Platform {
    pub fn new(seed: u64, fences_checked: bool) -> Self {
        Platform {
            seed,
            fences_checked,
            told: BTreeMap::new(),
            highest_token: 0,
            holders: BTreeMap::new(),
            turns: Vec::new(),
            late: Vec::new(),
            calls: 0,
        }
    }

    /// A call of the machine at `place` arrives. Gives the answer, if one comes.
    pub fn call(
        &mut self,
        place: usize,
        call: &DutyCall,
        random: &mut Pcg64Mcg,
        now: Millis,
    ) -> Option<DutyAnswer> {
        self.calls += 1;
        self.check_holder(place, call.token, now);
        match fate(random) {
            Fate::Answered => Some(self.carry_out(call)),
            Fate::AnswerLost => {
                self.carry_out(call);
                None
            }
            Fate::Late(delay) => {
                let due = now + delay;
                let call = call.clone();
                self.late.push(LateCall { due, call });
                None
            }
            Fate::Throttled => Some(DutyAnswer::Throttled),
        }
    }

    /// Carries out what is late until now.
    pub fn tick(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.due <= now);
        self.late = later;
        let due: Vec<LateCall> = due;
        for late in due {
            self.carry_out(&late.call);
        }
    }

    fn carry_out(&mut self, call: &DutyCall) -> DutyAnswer {
        if self.fences_checked && call.token < self.highest_token {
            return DutyAnswer::Refused;
        }
        self.highest_token = self.highest_token.max(call.token);
        let Duty::Usage { window, counts } = &call.duty else {
            panic!("no engines are bought here");
        };
        let first = self.told.entry(*window).or_insert_with(|| counts.clone());
        assert_eq!(
            first, counts,
            "seed {}: window {window} is told twice and differs",
            self.seed
        );
        DutyAnswer::Done
    }

    fn check_holder(&mut self, place: usize, token: u64, now: Millis) {
        let holder = *self.holders.entry(token).or_insert(place);
        assert_eq!(
            holder, place,
            "seed {}: two holders of token {token}",
            self.seed
        );
        let highest = self.holders.keys().next_back().copied();
        if !self.fences_checked {
            assert_eq!(highest, Some(token), "seed {}: a lower token", self.seed);
        }
        match self.turns.last_mut() {
            Some((last, at)) if *last == place => *at = now,
            _ => self.turns.push((place, now)),
        }
        if let [.., (first, at), _, (third, _)] = self.turns.as_slice()
            && first == third
        {
            let apart = now.since(*at);
            assert!(
                apart >= TURNS_WITHIN,
                "seed {}: turns within {} ms",
                self.seed,
                apart.0
            );
        }
    }
}

fn fate(random: &mut Pcg64Mcg) -> Fate {
    match random.random_range(0..10) {
        0 => Fate::AnswerLost,
        1 => Fate::Late(Millis(random.random_range(2_000..12_000))),
        2 => Fate::Throttled,
        _ => Fate::Answered,
    }
}
