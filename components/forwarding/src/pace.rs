//! Estimates how long engines take, learned from observed requests.
//!
//! Engines do not report their speed. A line is fitted through the tokens that were
//! estimated to be ahead of a prompt and the time that its prefill took. Since it is
//! fitted to the same estimates that it is used with, it predicts well even where they
//! are partly wrong.

use garnet_types::Millis;

/// Pace that is assumed before the first prefill, in tokens per millisecond: slower than
/// any known engine, so that no engine is abandoned as slow too soon.
const INITIAL_TOKENS_PER_MS: f64 = 20.0;
/// Mean and spread, in tokens, of the assumed sample that stands for prompts before the
/// first prefill. The first real prompts outweigh it.
const INITIAL_TOKENS: f64 = 2_000.0;
/// Factor by which the weight of older samples falls with each new one; about two hundred
/// samples determine the line.
const SAMPLE_DECAY: f64 = 0.995;
/// Prefills of fewer tokens, queued ones included, say nothing about the pace.
const MIN_SAMPLE_TOKENS: u64 = 100;
/// Minimum time limit of a prefill.
const MIN_TIME_LIMIT: Millis = Millis(1000);
/// Multiple of the expected time that a prefill may take.
const TIME_LIMIT_SLACK: f64 = 4.0;

/// Prefill time as a function of the tokens to prefill until its end: an exponentially
/// weighted least-squares line.
#[derive(Debug, Clone, Copy)]
pub struct PrefillPace {
    weight: f64,
    mean_tokens: f64,
    mean_ms: f64,
    variance: f64,
    covariance: f64,
}

impl Default for PrefillPace {
    fn default() -> Self {
        PrefillPace {
            weight: 1.0,
            mean_tokens: INITIAL_TOKENS,
            mean_ms: INITIAL_TOKENS / INITIAL_TOKENS_PER_MS,
            variance: INITIAL_TOKENS * INITIAL_TOKENS,
            covariance: INITIAL_TOKENS * INITIAL_TOKENS / INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillPace {
    /// Adds a sample: an estimated `tokens` were prefilled until the end of the prompt,
    /// those queued before it included.
    pub fn note(&mut self, tokens: u64, took: Millis) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        let sample_weight = 1.0 / self.weight;
        let token_deviation = tokens as f64 - self.mean_tokens;
        let ms_deviation = took.0 as f64 - self.mean_ms;
        self.mean_tokens += sample_weight * token_deviation;
        self.mean_ms += sample_weight * ms_deviation;
        let old_weight = 1.0 - sample_weight;
        self.variance =
            old_weight * (self.variance + sample_weight * token_deviation * token_deviation);
        self.covariance =
            old_weight * (self.covariance + sample_weight * token_deviation * ms_deviation);
    }

    /// Expected time until `tokens` are prefilled.
    pub fn expected_ms(&self, tokens: u64) -> f64 {
        let proportional = self.mean_ms / self.mean_tokens.max(1.0);
        let fitted = self.covariance / self.variance.max(1.0);
        // The slope is clamped: a longer prefill is never faster, and none takes negative
        // time.
        let ms_per_token = fitted.clamp(0.0, proportional);
        let fixed_ms = (self.mean_ms - ms_per_token * self.mean_tokens).max(0.0);
        fixed_ms + ms_per_token * tokens as f64
    }

    /// Mean time that prompts wait and are prefilled.
    pub(crate) fn mean(&self) -> Millis {
        Millis(self.mean_ms.max(1.0) as u64)
    }

    /// Longest time that prefilling `tokens`, those queued before included, should take.
    pub fn time_limit(&self, tokens: u64) -> Millis {
        MIN_TIME_LIMIT + Millis((self.expected_ms(tokens) * TIME_LIMIT_SLACK) as u64)
    }
}

/// Time per output token, learned from ended requests and their likely output.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTime {
    sum_ms: f64,
    sum_tokens: f64,
}

impl TokenTime {
    /// Adds a request that held its decode slot for `held_for`.
    pub fn note(&mut self, likely_output_tokens: u64, held_for: Millis) {
        self.sum_ms = self.sum_ms * SAMPLE_DECAY + held_for.0 as f64;
        self.sum_tokens = self.sum_tokens * SAMPLE_DECAY + likely_output_tokens as f64;
    }

    /// Whether a request has ended.
    pub(crate) fn is_known(&self) -> bool {
        self.sum_tokens > 0.0
    }

    /// Expected time to generate `tokens`; zero while no request has ended.
    pub fn expected_ms(&self, tokens: f64) -> f64 {
        tokens * self.sum_ms / self.sum_tokens.max(1.0)
    }
}
