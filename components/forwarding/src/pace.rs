//! How long engines take, learned from what gateways saw them do.
//!
//! Nothing is told of an engine's speed. A line is fitted through what was
//! believed to be ahead of a prompt and the time that its prefill took; it is
//! the best prediction from beliefs that are partly wrong, since it is fitted
//! to these same beliefs.

use garnet_types::Millis;

/// Pace that is believed before the first prompt was prefilled, in tokens a
/// millisecond: slower than any engine that is known, so that nobody is left
/// for slow too soon.
const INITIAL_TOKENS_PER_MS: f64 = 20.0;
/// Tokens, and their spread, of the prompt that stands for those which were not
/// read yet; the first prompts outweigh it.
const INITIAL_TOKENS: f64 = 2_000.0;
/// Part of each older prompt's weight that is left when a new one comes: some
/// two hundred prompts make the line.
const SAMPLE_DECAY: f64 = 0.995;
/// Prompts of which nothing is ahead say nothing of the pace.
const MIN_SAMPLE_TOKENS: u64 = 100;
/// Shortest limit for a prompt that is prefilled.
const MIN_TIME_LIMIT: Millis = Millis(1000);
/// A prefill may take so many times what is expected.
const TIME_LIMIT_SLACK: f64 = 4.0;

/// Time of a prefill over the tokens ahead of its end: an exponentially
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
    /// Notes a prefill: `tokens` were believed to be prefilled until its end, those
    /// queued before it included.
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

    /// Time until `tokens` are prefilled.
    pub fn expected_ms(&self, tokens: u64) -> f64 {
        let proportional = self.mean_ms / self.mean_tokens.max(1.0);
        let fitted = self.covariance / self.variance.max(1.0);
        // No prefill is faster the longer it is, and none takes less than
        // nothing.
        let ms_per_token = fitted.clamp(0.0, proportional);
        let fixed_ms = (self.mean_ms - ms_per_token * self.mean_tokens).max(0.0);
        fixed_ms + ms_per_token * tokens as f64
    }

    /// How long prompts wait and are prefilled in the mean.
    pub(crate) fn mean(&self) -> Millis {
        Millis(self.mean_ms.max(1.0) as u64)
    }

    /// Longest time that prefilling `tokens` should take, those queued before
    /// them included.
    pub fn time_limit(&self, tokens: u64) -> Millis {
        MIN_TIME_LIMIT + Millis((self.expected_ms(tokens) * TIME_LIMIT_SLACK) as u64)
    }
}

/// How long a token of output takes, learned from requests that ended and from
/// how much was likely to come out of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTime {
    sum_ms: f64,
    sum_tokens: f64,
}

impl TokenTime {
    /// Notes a request that kept its place for so long.
    pub fn note(&mut self, likely_output_tokens: u64, kept: Millis) {
        self.sum_ms = self.sum_ms * SAMPLE_DECAY + kept.0 as f64;
        self.sum_tokens = self.sum_tokens * SAMPLE_DECAY + likely_output_tokens as f64;
    }

    /// Time in which so many tokens are generated; nothing while no request has
    /// ended.
    pub fn expected_ms(&self, tokens: f64) -> f64 {
        tokens * self.sum_ms / self.sum_tokens.max(1.0)
    }
}
