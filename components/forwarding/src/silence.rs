//! How long a back end may be silent before repeatable work is sent to another one.
//!
//! An unresponsive back end sends nothing, while its connection stays open. Waiting too
//! long costs the caller the answer; failing over too soon costs the service a repeat.
//! The limits follow from the time within which an answer is useful, and are longer than
//! a healthy back end needs.

use garnet_routes::Route;
use garnet_types::Millis;

/// Minimum limit: below this a brief delay looks like silence.
const MIN_LIMIT: Millis = Millis(60);
/// Assumed pause objective of a stream whose route sets none.
const DEFAULT_PAUSE: Millis = Millis(400);

/// The silence limits of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// For the whole answer of a request that is not a stream.
    pub answer: Millis,
    /// For each event of a stream after the first.
    pub pause: Millis,
}

impl SilenceLimits {
    /// Derives the limits from the objectives of a route.
    pub fn of(route: &Route) -> Self {
        let fraction = |span: Millis, percent: u64| Millis(span.0 * percent / 100).max(MIN_LIMIT);
        let pause = route.pause_objective_ms.unwrap_or(DEFAULT_PAUSE);
        SilenceLimits {
            answer: fraction(route.objective_ms, 90),
            pause: fraction(pause, 130),
        }
    }
}
