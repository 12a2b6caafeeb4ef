//! How much of the output that callers allow for comes out.
//!
//! Callers state the most tokens that they want; most answers end long before.
//! Some callers guess at the length as well. A single guess is often far off,
//! but together they tell what part of the most is likely.

use crate::work::Prompt;

/// Weight of the newest guess: some hundred of them make the average.
const SAMPLE_WEIGHT: f64 = 0.01;

/// The part of the most that is likely, learned from guesses.
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
    /// Learns from the caller's guess. Where there is none, gives what is
    /// likely.
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
