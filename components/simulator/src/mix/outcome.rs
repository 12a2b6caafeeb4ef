//! What callers got: useful answers, times, and what was refused.

use std::collections::BTreeMap;

use garnet_types::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;
const DIGITS: u8 = 3;
/// Length of the parts of a run for which useful answers are counted.
pub const PART: Millis = Millis::from_secs(5);

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
}

/// What one kind of requests got.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindReport {
    /// Requests, each counted once however often it was sent.
    pub offered: u64,
    /// Whole answers in time.
    pub useful: u64,
    /// Whole answers that came too late.
    pub late: u64,
    /// Requests that ended without an answer, by the last code.
    pub refused: BTreeMap<String, u64>,
}

/// What an experiment measured.
#[derive(Debug, Clone, Serialize)]
pub struct MixReport {
    /// Seconds that were measured.
    pub seconds: f64,
    /// Useful answers a second.
    pub goodput_per_s: f64,
    /// Share of the requests that got a useful answer.
    pub on_time_share: f64,
    /// Time to the first token, from the first sending.
    pub ttft_ms: Quantiles,
    /// Time between tokens.
    pub itl_ms: Quantiles,
    /// By kind of request.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// Useful answers by the part of the run in which they were asked for.
    pub useful_by_part: Vec<u64>,
}

/// Takes the measurements of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    kinds: BTreeMap<&'static str, KindReport>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    useful_by_part: Vec<u64>,
}

impl Outcome {
    pub(crate) fn new() -> Self {
        Outcome {
            kinds: BTreeMap::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            useful_by_part: Vec::new(),
        }
    }

    pub(crate) fn offered(&mut self, kind: &'static str) {
        self.kinds.entry(kind).or_default().offered += 1;
    }

    /// A whole answer; `asked` is the time of the run at which it was wanted.
    pub(crate) fn answered(&mut self, kind: &'static str, asked: Millis, in_time: bool) {
        let report = self.kinds.entry(kind).or_default();
        if !in_time {
            report.late += 1;
            return;
        }
        report.useful += 1;
        let part = (asked.0 / PART.0) as usize;
        if self.useful_by_part.len() <= part {
            self.useful_by_part.resize(part + 1, 0);
        }
        self.useful_by_part[part] += 1;
    }

    pub(crate) fn refused(&mut self, kind: &'static str, code: &str) {
        let report = self.kinds.entry(kind).or_default();
        *report.refused.entry(code.to_owned()).or_default() += 1;
    }

    pub(crate) fn first_token(&mut self, after: Millis) {
        self.first_token.saturating_record(after.0);
    }

    pub(crate) fn next_token(&mut self, after: Millis) {
        self.between_tokens.saturating_record(after.0);
    }

    pub(crate) fn report(&self, span: Millis) -> MixReport {
        let useful: u64 = self.kinds.values().map(|kind| kind.useful).sum();
        let offered: u64 = self.kinds.values().map(|kind| kind.offered).sum();
        let seconds = span.as_secs_f64();
        MixReport {
            seconds,
            goodput_per_s: useful as f64 / seconds,
            on_time_share: useful as f64 / offered.max(1) as f64,
            ttft_ms: quantiles(&self.first_token),
            itl_ms: quantiles(&self.between_tokens),
            kinds: self.kinds.clone(),
            useful_by_part: self.useful_by_part.clone(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).unwrap_or_else(|_| unreachable!())
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}
