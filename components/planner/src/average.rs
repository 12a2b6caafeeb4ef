//! Fast and slow averages of the offered mix.

use garnet_types::Millis;

/// What callers ask of a pool, in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Mix {
    /// Requests offered.
    pub requests: f64,
    /// Of these, requests whose prompt takes an engine longer than their text.
    pub prompt_bound: f64,
    /// Prompt tokens to read, cached ones left out.
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

/// Two exponential averages of the same figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FastSlowAverage {
    /// Follows within seconds.
    pub fast: Mix,
    /// Follows within minutes.
    pub slow: Mix,
    fast_window: Millis,
    slow_window: Millis,
    updated_at: Option<Millis>,
}

impl FastSlowAverage {
    /// Empty averages with the given windows.
    pub fn new(fast_window: Millis, slow_window: Millis) -> Self {
        FastSlowAverage {
            fast: Mix::default(),
            slow: Mix::default(),
            fast_window,
            slow_window,
            updated_at: None,
        }
    }

    /// Takes the mix of the time since the last call.
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

    /// When the averages were last fed.
    pub fn updated_at(&self) -> Option<Millis> {
        self.updated_at
    }
}

fn weight(elapsed: Millis, window: Millis) -> f64 {
    1.0 - (-(elapsed.0 as f64) / window.0.max(1) as f64).exp()
}
