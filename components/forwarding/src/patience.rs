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
const SHORTEST: Millis = Millis(60);
/// Pause of a stream that is taken for granted where its route states none.
const DEFAULT_PAUSE: Millis = Millis(400);
/// Shortest limit for a prompt that is read.
const SHORTEST_READING: Millis = Millis(1000);
/// A reading may take so many times what is expected.
const READING_SLACK: f64 = 4.0;

/// Limits of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// For the whole answer of a request that is no stream.
    pub answer: Millis,
    /// For each piece of a stream after its first.
    pub pause: Millis,
}

impl Patience {
    /// The limits that a route's objectives give.
    pub fn of(route: &Route) -> Self {
        let part = |span: Millis, percent: u64| Millis(span.0 * percent / 100).max(SHORTEST);
        let pause = route.pause_objective_ms.unwrap_or(DEFAULT_PAUSE);
        Patience {
            answer: part(route.objective_ms, 90),
            pause: part(pause, 130),
        }
    }
}

/// How fast prompts are read here, learned from those that were.
#[derive(Debug, Clone, Copy)]
pub struct ReadingPace {
    tokens_per_ms: f64,
}

/// Pace that is believed before the first prompt was read.
const FIRST_BELIEF: f64 = 20.0;
/// Weight of the newest prompt.
const NEWEST: f64 = 0.1;
/// Shorter prompts say more of the way than of the reading.
const TELLING_TOKENS: u64 = 1000;

impl Default for ReadingPace {
    fn default() -> Self {
        ReadingPace {
            tokens_per_ms: FIRST_BELIEF,
        }
    }
}

impl ReadingPace {
    /// Notes a prompt that was read, queue included.
    pub fn note(&mut self, tokens: u64, took: Millis) {
        if tokens >= TELLING_TOKENS {
            let pace = tokens as f64 / took.0.max(1) as f64;
            self.tokens_per_ms += NEWEST * (pace - self.tokens_per_ms);
        }
    }

    /// Longest time that reading `tokens` should take, those queued before
    /// them included.
    pub fn patience(&self, tokens: u64) -> Millis {
        let expected = tokens as f64 / self.tokens_per_ms.max(1.0);
        SHORTEST_READING + Millis((expected * READING_SLACK) as u64)
    }
}
