//! What a run of load measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Times are told apart up to this many microseconds; longer ones count as it.
const LONGEST_US: u64 = 60_000_000;
/// Digits that times are kept to.
const DIGITS: u8 = 3;
/// Parts of all requests of which the time is told.
const QUANTILES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The whole answer.
    Answered,
    /// Refused before it ran.
    NotRun,
    /// It failed, or may have run.
    Failed,
    /// No connection, or it broke.
    Broken,
    /// No answer in time.
    TimedOut,
    /// Left out: too many were under way. The run asked for more than this
    /// program can offer.
    LeftOut,
}

/// Times of one kind.
pub(crate) struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        Times(
            Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
        )
    }
}

impl Times {
    /// Notes a time.
    pub(crate) fn note(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
        self.0.saturating_record(micros);
    }

    fn summary(&self) -> TimeSummary {
        let at = |quantile: &f64| QuantileMs {
            quantile: *quantile,
            ms: self.0.value_at_quantile(*quantile) as f64 / 1000.0,
        };
        TimeSummary {
            count: self.0.len(),
            quantiles: QUANTILES.iter().map(at).collect(),
        }
    }
}

/// All that is counted while the load runs. Times begin when a request was
/// due, not when it could be sent.
#[derive(Default)]
pub(crate) struct Figures {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// To the first chunk of a text.
    pub(crate) first_token: Times,
    /// Between two chunks of a text.
    pub(crate) between_tokens: Times,
    /// To the end of a text.
    pub(crate) text: Times,
    /// To the answer of a call.
    pub(crate) call: Times,
}

impl Figures {
    /// Notes what became of a request.
    pub(crate) fn count(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// The figures as they are written.
    pub(crate) fn report(&self, seed: u64, rate_per_s: f64, seconds: f64) -> LoadReport {
        let answered = self.outcomes.get(&Outcome::Answered).copied();
        LoadReport {
            seed,
            offered_per_s: rate_per_s,
            answered_per_s: answered.unwrap_or(0) as f64 / seconds.max(f64::MIN_POSITIVE),
            outcomes: self.outcomes.clone(),
            first_token: self.first_token.summary(),
            between_tokens: self.between_tokens.summary(),
            text: self.text.summary(),
            call: self.call.summary(),
        }
    }
}

/// The time that a part of all requests stayed under.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct QuantileMs {
    pub(crate) quantile: f64,
    pub(crate) ms: f64,
}

/// Times of one kind, as they are written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct TimeSummary {
    pub(crate) count: u64,
    pub(crate) quantiles: Vec<QuantileMs>,
}

/// A run of load, as it is written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) seed: u64,
    pub(crate) offered_per_s: f64,
    pub(crate) answered_per_s: f64,
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    pub(crate) first_token: TimeSummary,
    pub(crate) between_tokens: TimeSummary,
    pub(crate) text: TimeSummary,
    pub(crate) call: TimeSummary,
}
