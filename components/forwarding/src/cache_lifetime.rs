//! How long an engine keeps a prefix that is not used.
//!
//! Engines evict the least recently used prefix when their memory is full, so a prefix
//! lasts about as long as the prompts of all gateways take to fill the memory once.

use garnet_types::Millis;

/// Time constant of the exponential decay. It covers some dozen prompts of each gateway
/// in a large fleet, and is about the time in which the request mix changes.
const DECAY_TIME: Millis = Millis::from_secs(10);

/// Rate of prompt tokens at one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PromptRate {
    tokens: f64,
    at: Millis,
    began_at: Option<Millis>,
}

impl PromptRate {
    /// Adds a prompt.
    pub(crate) fn note(&mut self, tokens: u64, now: Millis) {
        self.began_at.get_or_insert(now);
        self.tokens = self.tokens_at(now) + tokens as f64;
        self.at = now;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.tokens * (-age).exp()
    }

    /// Prompt tokens a second.
    pub(crate) fn per_s(&self, now: Millis) -> f64 {
        let Some(began_at) = self.began_at else {
            return 0.0;
        };
        let observed = now.since(began_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        // The rate before the first prompt is unknown.
        let weight = DECAY_TIME.as_secs_f64() * (1.0 - (-observed).exp());
        self.tokens_at(now) / weight.max(1.0)
    }
}

/// Time in which prompts fill `engines` with `cache_tokens` each.
pub(crate) fn lifetime(cache_tokens: u64, engines: usize, tokens_per_s: f64) -> Millis {
    let room = cache_tokens as f64 * engines as f64;
    let seconds = room / tokens_per_s.max(1.0);
    Millis((seconds * 1000.0) as u64)
}
