//! The choice of an engine: the better of two random ones by predicted time to first token.

use garnet_types::{BackendId, Millis};
use rand::{Rng, RngExt};

/// An engine that can take the request, with its predicted cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub backend: BackendId,
    /// Predicted time to first token.
    pub predicted: Millis,
}

/// Up to this number of engines, all are compared. Random pairs of so few would often miss the one
/// good engine, and gateways don't all choose the same one since each counts its own requests in
/// flight.
const MAX_COMPARED_ENGINES: usize = 8;

/// Chooses the engine for one request; `None` if there is no candidate.
pub fn choose(candidates: &[Candidate], random: &mut impl Rng) -> Option<Candidate> {
    if candidates.len() <= MAX_COMPARED_ENGINES {
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
