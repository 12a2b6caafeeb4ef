//! How long a back end may be silent before work that may be repeated goes to
//! another one.
//!
//! A back end that has gone dark says nothing, and a connection to it stays
//! open. Waiting for its end costs the caller the answer; going elsewhere too
//! soon costs the service a repeat. The limits follow from what makes an answer
//! useful, and stay behind what a sound back end needs.

use garnet_routes::Route;
use garnet_types::Millis;

/// Shortest limit: below this a slow moment looks like silence.
const MIN_LIMIT: Millis = Millis(60);
/// Pause of a stream that is taken for granted where its route states none.
const DEFAULT_PAUSE: Millis = Millis(400);

/// Limits of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// For the whole answer of a request that is no stream.
    pub answer: Millis,
    /// For each event of a stream after its first.
    pub pause: Millis,
}

impl SilenceLimits {
    /// The limits that a route's objectives give.
    pub fn of(route: &Route) -> Self {
        let fraction = |span: Millis, percent: u64| Millis(span.0 * percent / 100).max(MIN_LIMIT);
        let pause = route.pause_objective_ms.unwrap_or(DEFAULT_PAUSE);
        SilenceLimits {
            answer: fraction(route.objective_ms, 90),
            pause: fraction(pause, 130),
        }
    }
}
