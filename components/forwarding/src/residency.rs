//! Which prompt beginnings an engine was sent lately, by this gateway.

use std::collections::HashMap;

use garnet_types::Millis;

use crate::work::Prompt;

/// Beginnings that are remembered of one engine; the oldest go first.
const MOST_BEGINNINGS: usize = 512;
/// A beginning that was not used for so long may have given way.
const BELIEVED_FOR: Millis = Millis::from_secs(30);

/// Beliefs about the prefix cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct Residency {
    used_at: HashMap<u64, Millis>,
}

impl Residency {
    /// Notes that the engine reads or has read the prompt.
    pub fn note(&mut self, prompt: &Prompt, now: Millis) {
        for (key, _) in prompt.beginnings() {
            self.used_at.insert(key, now);
        }
        if self.used_at.len() > MOST_BEGINNINGS {
            self.forget_old(now);
        }
    }

    /// Tokens of the prompt that the engine is believed to hold.
    pub fn held_tokens(&self, prompt: &Prompt, now: Millis) -> u64 {
        let believed = |key: &u64| {
            let used_at = self.used_at.get(key);
            used_at.is_some_and(|at| now.since(*at) <= BELIEVED_FOR)
        };
        let beginnings = prompt.beginnings();
        let held = beginnings.iter().take_while(|(key, _)| believed(key));
        held.last().map_or(0, |(_, tokens)| *tokens)
    }

    fn forget_old(&mut self, now: Millis) {
        let mut ages: Vec<Millis> = self.used_at.values().map(|at| now.since(*at)).collect();
        ages.sort_unstable();
        let limit = ages[MOST_BEGINNINGS / 2];
        self.used_at.retain(|_, at| now.since(*at) <= limit);
    }
}
