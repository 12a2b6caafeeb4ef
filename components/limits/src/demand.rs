//! Demand for the permits of one back end, by request priority.

use garnet_types::Millis;

/// Number of request priorities.
const PRIORITY_COUNT: usize = 16;
/// Half-life of the demand: long enough to cover callers that send one request a second, short
/// enough to follow a change of the mix.
const HALF_LIFE: Millis = Millis::from_secs(2);

/// Recent permit requests by priority, decaying exponentially.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    weights: [f64; PRIORITY_COUNT],
    updated_at: Millis,
}

impl Demand {
    /// Adds a request, or a share of one that several back ends can take.
    pub(crate) fn add(&mut self, priority: u8, share: f64, now: Millis) {
        let decay = self.decay(now);
        for weight in &mut self.weights {
            *weight *= decay;
        }
        self.updated_at = self.updated_at.max(now);
        self.weights[usize::from(priority).min(PRIORITY_COUNT - 1)] += share;
    }

    /// Rate of the requests that are more urgent than `priority`.
    pub(crate) fn more_urgent_per_s(&self, priority: u8, now: Millis) -> f64 {
        let urgent = &self.weights[..usize::from(priority).min(PRIORITY_COUNT - 1)];
        let sum: f64 = urgent.iter().sum();
        sum * self.decay(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Factor by which the weights have decayed since the last update.
    fn decay(&self, now: Millis) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
