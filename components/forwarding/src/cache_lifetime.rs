//! How long an engine keeps a prefix that nobody uses.
//!
//! Engines drop what was used least recently when their memory is full. So a
//! prefix lasts about as long as it takes to fill the memory anew with the
//! prompts that all gateways send.

use garnet_types::Millis;

/// What came longer ago hardly counts: some dozen prompts for each gateway of a
/// large fleet, and as long as a swing of the mix.
const DECAY_TIME: Millis = Millis::from_secs(10);

/// Prompt tokens that come in a second, of one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PromptRate {
    tokens: f64,
    at: Millis,
    began_at: Option<Millis>,
}

impl PromptRate {
    /// Notes a prompt.
    pub(crate) fn note(&mut self, tokens: u64, now: Millis) {
        self.began_at.get_or_insert(now);
        self.tokens = self.tokens_at(now) + tokens as f64;
        self.at = now;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.tokens * (-age).exp()
    }

    /// Tokens a second.
    pub(crate) fn per_s(&self, now: Millis) -> f64 {
        let Some(began_at) = self.began_at else {
            return 0.0;
        };
        let observed = now.since(began_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        // What came before the first prompt was noted is not known.
        let weight = DECAY_TIME.as_secs_f64() * (1.0 - (-observed).exp());
        self.tokens_at(now) / weight.max(1.0)
    }
}

/// Time in which `engines` with room for `cache_tokens` each are filled anew.
pub(crate) fn lifetime(cache_tokens: u64, engines: usize, tokens_per_s: f64) -> Millis {
    let room = cache_tokens as f64 * engines as f64;
    let seconds = room / tokens_per_s.max(1.0);
    Millis((seconds * 1000.0) as u64)
}
