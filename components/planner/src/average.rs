//! Fast and slow exponential averages of the offered load.

use garnet_types::Millis;

/// Load that callers offer to a pool, per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Mix {
    /// Requests offered.
    pub requests: f64,
    /// Requests that take an engine longer to prefill than to decode; a subset of `requests`.
    pub prompt_bound: f64,
    /// Prompt tokens to prefill, without those in the prefix cache.
    pub prompt_tokens: f64,
    /// Tokens to generate.
    pub output_tokens: f64,
}

impl Mix {
    fn blend(self, other: Mix, weight: f64) -> Mix {
        let mix = |old: f64, new: f64| old + (new - old) * weight;
        Mix {
            requests: mix(self.requests, other.requests),
            prompt_bound: mix(self.prompt_bound, other.prompt_bound),
            prompt_tokens: mix(self.prompt_tokens, other.prompt_tokens),
            output_tokens: mix(self.output_tokens, other.output_tokens),
        }
    }
}

/// A fast and a slow exponential average of the same load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FastSlowAverage {
    /// Average over the short window (seconds).
    pub fast: Mix,
    /// Average over the long window (tens of seconds to minutes).
    pub slow: Mix,
    fast_window: Millis,
    slow_window: Millis,
    updated_at: Option<Millis>,
}

impl FastSlowAverage {
    /// Creates empty averages with the given windows.
    pub fn new(fast_window: Millis, slow_window: Millis) -> Self {
        FastSlowAverage {
            fast: Mix::default(),
            slow: Mix::default(),
            fast_window,
            slow_window,
            updated_at: None,
        }
    }

    /// Adds the load that was offered since the last call.
    pub fn observe(&mut self, mix: Mix, now: Millis) {
        let Some(before) = self.updated_at.replace(now) else {
            self.fast = mix;
            self.slow = mix;
            return;
        };
        let elapsed = now.since(before);
        self.fast = self.fast.blend(mix, weight(elapsed, self.fast_window));
        self.slow = self.slow.blend(mix, weight(elapsed, self.slow_window));
    }

    /// Time of the last call of [`FastSlowAverage::observe`].
    pub fn updated_at(&self) -> Option<Millis> {
        self.updated_at
    }
}

fn weight(elapsed: Millis, window: Millis) -> f64 {
    1.0 - (-(elapsed.0 as f64) / window.0.max(1) as f64).exp()
}
