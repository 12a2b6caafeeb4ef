//! The choice among engines: the better of two, by predicted first token.

use garnet_types::{BackendId, Millis};
use rand::{Rng, RngExt};

/// An engine that may take the request, with its predicted cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub backend: BackendId,
    /// Predicted time to the first token there.
    pub predicted: Millis,
}

/// With no more engines than this, all are compared: the pairs of so few
/// engines would often miss the one good engine, and there is no herd to fear
/// since each gateway corrects by its own work.
const COMPARE_ALL_UP_TO: usize = 8;

/// Picks the engine for one request, or `None` when there is no candidate.
pub fn choose(candidates: &[Candidate], random: &mut impl Rng) -> Option<Candidate> {
    if candidates.len() <= COMPARE_ALL_UP_TO {
        return best(candidates.iter());
    }
    let first = random.random_range(0..candidates.len());
    let offset = random.random_range(1..candidates.len());
    let second = (first + offset) % candidates.len();
    best([&candidates[first], &candidates[second]].into_iter())
}

fn best<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Candidate> {
    candidates
        .min_by_key(|candidate| (candidate.predicted, candidate.backend.clone()))
        .cloned()
}
