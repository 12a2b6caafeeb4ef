//! A demand that shifts: steps, ramps, bursts and false alarms, from a seed.

use garnet_planner::Mix;
use garnet_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deployment::Deployment;

/// Least and most load, as shares of the ideal rate.
const LEAST_LOAD: f64 = 0.5;
const MOST_LOAD: f64 = 1.5;
/// Share of prompt-heavy requests when few or many are.
const FEW: std::ops::Range<f64> = 0.05..0.35;
const MANY: std::ops::Range<f64> = 0.65..0.95;

/// A stretch of time in which mix and load change evenly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Segment {
    /// Its start.
    pub start: Millis,
    /// Its end.
    pub end: Millis,
    /// Share of prompt-heavy requests at start and end.
    pub prompt_share: (f64, f64),
    /// Load at start and end, as a share of the ideal rate.
    pub load: (f64, f64),
}

/// The demand of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Segments without gaps, in order.
    pub segments: Vec<Segment>,
}

/// Mix and load of one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Level {
    prompt_share: f64,
    load: f64,
}

impl Demand {
    /// Draws the demand of `seed` from `start` for `span`.
    pub fn draw(seed: u64, start: Millis, span: Millis) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut drawing = Drawing {
            level: Level {
                prompt_share: random.random_range(FEW),
                load: random.random_range(LEAST_LOAD..1.0),
            },
            at: start,
            segments: Vec::new(),
        };
        drawing.hold(Millis::from_secs(random.random_range(30..60)));
        while drawing.at < start + span {
            drawing.next(&mut random);
        }
        Demand {
            segments: drawing.segments,
        }
    }

    /// The share of prompt-heavy requests and the load at one moment.
    pub fn at(&self, now: Millis) -> (f64, f64) {
        let within = |segment: &&Segment| now < segment.end;
        let Some(segment) = self.segments.iter().find(within) else {
            return self
                .segments
                .last()
                .map_or((0.0, 0.0), |last| (last.prompt_share.1, last.load.1));
        };
        let length = segment.end.since(segment.start).0.max(1) as f64;
        let part = now.since(segment.start).0 as f64 / length;
        let between = |(from, to): (f64, f64)| from + (to - from) * part;
        (between(segment.prompt_share), between(segment.load))
    }

    /// Requests a second of each kind at one moment.
    pub fn rates(&self, deployment: &Deployment, now: Millis) -> Vec<f64> {
        let (prompt_share, load) = self.at(now);
        let total = load * deployment.ideal_rate(prompt_share);
        let shares = deployment.shares(prompt_share);
        shares.into_iter().map(|share| share * total).collect()
    }

    /// The true mix of what can't wait at one moment, in a second.
    pub fn mix(&self, deployment: &Deployment, now: Millis) -> Mix {
        let mut mix = Mix::default();
        let rates = self.rates(deployment, now);
        let urgent = [&deployment.prompt_heavy, &deployment.output_heavy];
        for (kind, rate) in urgent.into_iter().zip(rates) {
            let (prompt, output) = kind.mean_tokens();
            mix.requests += rate;
            if deployment.capacity.is_prompt_bound(prompt, output) {
                mix.prompt_bound += rate;
            }
            mix.prompt_tokens += rate * prompt;
            mix.output_tokens += rate * output;
        }
        mix
    }
}

struct Drawing {
    level: Level,
    at: Millis,
    segments: Vec<Segment>,
}

impl Drawing {
    fn next(&mut self, random: &mut Pcg64Mcg) {
        match random.random_range(0..100) {
            0..45 => self.step(random),
            45..70 => self.ramp(random),
            70..85 => self.burst(random),
            _ => self.false_alarm(random),
        }
    }

    /// The other kind of mix, at once, for minutes.
    fn step(&mut self, random: &mut Pcg64Mcg) {
        self.level = self.other(random);
        self.hold(Millis::from_secs(random.random_range(60..180)));
    }

    /// The other kind of mix, little by little.
    fn ramp(&mut self, random: &mut Pcg64Mcg) {
        let target = self.other(random);
        let length = Millis::from_secs(random.random_range(40..90));
        self.segment(length, target);
        self.hold(Millis::from_secs(random.random_range(40..120)));
    }

    /// The same mix, much more of it, for seconds.
    fn burst(&mut self, random: &mut Pcg64Mcg) {
        let before = self.level;
        self.level.load = MOST_LOAD;
        self.hold(Millis::from_secs(random.random_range(10..20)));
        self.level = before;
        self.hold(Millis::from_secs(random.random_range(30..60)));
    }

    /// The other kind of mix, for seconds, and then back.
    fn false_alarm(&mut self, random: &mut Pcg64Mcg) {
        let before = self.level;
        self.level = self.other(random);
        self.hold(Millis::from_secs(random.random_range(8..15)));
        self.level = before;
        self.hold(Millis::from_secs(random.random_range(40..90)));
    }

    fn other(&self, random: &mut Pcg64Mcg) -> Level {
        let range = if self.level.prompt_share < 0.5 {
            MANY
        } else {
            FEW
        };
        Level {
            prompt_share: random.random_range(range),
            load: random.random_range(LEAST_LOAD..MOST_LOAD),
        }
    }

    fn hold(&mut self, length: Millis) {
        let level = self.level;
        self.segment(length, level);
    }

    fn segment(&mut self, length: Millis, target: Level) {
        let end = self.at + length;
        self.segments.push(Segment {
            start: self.at,
            end,
            prompt_share: (self.level.prompt_share, target.prompt_share),
            load: (self.level.load, target.load),
        });
        self.at = end;
        self.level = target;
    }
}
