//! How long requests of a route take, learned from those that ended.

use std::collections::VecDeque;

use garnet_types::Millis;

/// Number of the latest requests that are remembered.
const MAX_SAMPLES: usize = 32;
/// One request in this number takes longer than the usual time.
const LONGER_ONE_IN: usize = 8;

/// Times from the sending of a request to the end of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AnswerTimes {
    latest: VecDeque<Millis>,
}

impl AnswerTimes {
    /// Adds a request that was answered.
    pub(crate) fn note(&mut self, took: Millis) {
        if self.latest.len() == MAX_SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back(took);
    }

    /// Adds a request that had no whole answer when it ended. It would have taken longer, so it says
    /// something only if it lasted longer than others usually do, and nothing where there are none.
    pub(crate) fn note_unfinished(&mut self, lasted: Millis) {
        if self.usual().is_some_and(|usual| lasted > usual) {
            self.note(lasted);
        }
    }

    /// Time within which most requests are answered; `None` if none was.
    pub(crate) fn usual(&self) -> Option<Millis> {
        let longer = self.latest.len() / LONGER_ONE_IN;
        let mut sorted: Vec<Millis> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        sorted.into_iter().rev().nth(longer)
    }
}
