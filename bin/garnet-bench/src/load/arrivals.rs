//! When requests are due: an open loop, whose arrivals wait for no answer.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// A streamed text.
    Text,
    /// A call of an application.
    Call,
}

/// One arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Its number, from zero.
    pub(crate) number: u64,
    /// When it is due, from the beginning.
    pub(crate) due: Duration,
    /// What is asked for.
    pub(crate) work: Work,
}

/// Arrivals of a Poisson process.
pub(crate) struct Arrivals {
    random: Pcg64,
    rate_per_s: f64,
    text_share: f64,
    due_s: f64,
    number: u64,
}

impl Arrivals {
    /// `rate_per_s` arrivals a second, of which `text_share` ask for texts.
    pub(crate) fn new(seed: u64, rate_per_s: f64, text_share: f64) -> Self {
        Arrivals {
            random: Pcg64::seed_from_u64(seed),
            rate_per_s,
            text_share,
            due_s: 0.0,
            number: 0,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let drawn: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        self.due_s -= drawn.ln() / self.rate_per_s;
        let is_text = self.random.random_bool(self.text_share);
        let arrival = Arrival {
            number: self.number,
            due: Duration::from_secs_f64(self.due_s),
            work: if is_text { Work::Text } else { Work::Call },
        };
        self.number += 1;
        Some(arrival)
    }
}
