//! Estimates which fraction of the maximum output is generated.
//!
//! Callers state the maximum number of tokens, and most answers end long before it. Some
//! callers guess the length as well. A single guess is often far off, but their average
//! tells which fraction is likely.

use crate::work::Prompt;

/// Weight of a new guess in the moving average, which spans about a hundred guesses.
const SAMPLE_WEIGHT: f64 = 0.01;

/// The likely fraction of the maximum output, learned from guesses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutputLength {
    likely_fraction: f64,
}

impl Default for OutputLength {
    fn default() -> Self {
        OutputLength {
            likely_fraction: 1.0,
        }
    }
}

impl OutputLength {
    /// Learns from the caller's guess. Without a guess, fills in the likely number of
    /// tokens.
    pub(crate) fn complete(&mut self, prompt: &mut Prompt) {
        let max_tokens = prompt.output_tokens;
        if max_tokens == 0 {
            return;
        }
        match prompt.likely_output_tokens {
            Some(guess) => {
                let fraction = guess.min(max_tokens) as f64 / max_tokens as f64;
                self.likely_fraction += SAMPLE_WEIGHT * (fraction - self.likely_fraction);
            }
            None => {
                let likely = max_tokens as f64 * self.likely_fraction;
                prompt.likely_output_tokens = Some(likely.round() as u64);
            }
        }
    }
}
