//! How long requests of a route take, learned from those that ended.

use std::collections::VecDeque;

use garnet_types::Millis;

use crate::pace::TokenTime;
use crate::work::Prompt;

/// Number of the latest requests that are remembered.
const MAX_SAMPLES: usize = 32;
/// One request in this number takes longer than the usual time.
const LONGER_ONE_IN: usize = 8;
/// An output may be longer than its likely length by this factor: a guess is often far off.
const LENGTH_SLACK: u64 = 2;
/// Tokens may take longer by this factor: an engine that runs more requests generates each more
/// slowly.
const TOKEN_TIME_SLACK: f64 = 1.25;

/// Times from the sending of a request to the end of its answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerTimes {
    latest: VecDeque<Millis>,
    token_time: TokenTime,
}

impl AnswerTimes {
    /// Adds a request that was answered.
    pub(crate) fn note(&mut self, prompt: Option<&Prompt>, took: Millis) {
        if self.latest.len() == MAX_SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back(took);
        if let Some(prompt) = prompt {
            self.token_time.note(prompt.likely_output(), took);
        }
    }

    /// Adds a request that had no whole answer when it ended. It would have taken longer, so it says
    /// something only if it lasted longer than others usually do, and nothing where there are none.
    pub(crate) fn note_unfinished(&mut self, prompt: Option<&Prompt>, lasted: Millis) {
        if self.usual(prompt).is_some_and(|usual| lasted > usual) {
            self.note(prompt, lasted);
        }
    }

    /// Time within which most requests are answered, or most with such a prompt; `None` if none
    /// was.
    pub(crate) fn usual(&self, prompt: Option<&Prompt>) -> Option<Millis> {
        let generated = prompt.filter(|prompt| prompt.output_tokens > 0);
        match generated {
            Some(prompt) => self.usual_to_generate(prompt),
            None => self.usual_of_latest(),
        }
    }

    fn usual_to_generate(&self, prompt: &Prompt) -> Option<Millis> {
        let likely = prompt.likely_output().saturating_mul(LENGTH_SLACK);
        let tokens = likely.min(prompt.output_tokens) as f64 * TOKEN_TIME_SLACK;
        let is_known = self.token_time.is_known();
        is_known.then(|| Millis(self.token_time.expected_ms(tokens).round() as u64))
    }

    fn usual_of_latest(&self) -> Option<Millis> {
        let longer = self.latest.len() / LONGER_ONE_IN;
        let mut sorted: Vec<Millis> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        sorted.into_iter().rev().nth(longer)
    }
}
