//! How many requests of which urgency ask for a back end.

use garnet_types::Millis;

/// Distinct ranks.
const RANKS: usize = 16;
/// What was asked for counts for half after this time: long enough to see callers
/// that come once a second, short enough to follow a swing of the mix.
const HALVED: Millis = Millis::from_secs(2);

/// Requests a second that were asked for lately, by rank.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    weights: [f64; RANKS],
    at: Millis,
}

impl Demand {
    /// Notes a request, or a part of one where others could take it as well.
    pub(crate) fn note(&mut self, rank: u8, part: f64, now: Millis) {
        let faded = self.faded(now);
        for weight in &mut self.weights {
            *weight *= faded;
        }
        self.at = self.at.max(now);
        self.weights[usize::from(rank).min(RANKS - 1)] += part;
    }

    /// Requests a second that are more urgent than this rank.
    pub(crate) fn more_urgent_per_s(&self, rank: u8, now: Millis) -> f64 {
        let urgent = &self.weights[..usize::from(rank).min(RANKS - 1)];
        let sum: f64 = urgent.iter().sum();
        sum * self.faded(now) * std::f64::consts::LN_2 / HALVED.as_secs_f64()
    }

    fn faded(&self, now: Millis) -> f64 {
        (-now.since(self.at).as_secs_f64() / HALVED.as_secs_f64()).exp2()
    }
}
