//! What the other gateways have under way at a back end, as the leader told it.

use garnet_control::{BackendState, Backlog, ByRank};
use garnet_types::Millis;

/// Work under way at a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Underway {
    pub(crate) requests: u64,
    pub(crate) uncached: ByRank,
    pub(crate) held_tokens: u64,
}

impl Underway {
    /// What is left when `own` is taken off, as far as it is counted.
    pub(crate) fn without(&self, own: &Backlog) -> Self {
        let mut uncached = self.uncached;
        for (rank, tokens) in own.uncached.iter() {
            uncached.remove(rank, tokens);
        }
        Underway {
            requests: self.requests.saturating_sub(own.requests),
            uncached,
            held_tokens: self.held_tokens.saturating_sub(own.held_tokens),
        }
    }

    /// The mean of several.
    pub(crate) fn mean_of<'a>(all: impl Iterator<Item = &'a Underway>) -> Self {
        let mut sum = Underway::default();
        let mut count = 0;
        for underway in all {
            sum.requests += underway.requests;
            sum.uncached += underway.uncached;
            sum.held_tokens += underway.held_tokens;
            count += 1;
        }
        sum.map(|number| number / count.max(1))
    }

    fn map(&self, change: impl Fn(u64) -> u64) -> Self {
        let mut uncached = ByRank::default();
        for (rank, tokens) in self.uncached.iter() {
            uncached.add(rank, change(tokens));
        }
        Underway {
            requests: change(self.requests),
            uncached,
            held_tokens: change(self.held_tokens),
        }
    }

    fn plus(&self, other: &Self) -> Self {
        let mut sum = *self;
        sum.requests += other.requests;
        sum.uncached += other.uncached;
        sum.held_tokens += other.held_tokens;
        sum
    }
}

impl From<&BackendState> for Underway {
    fn from(state: &BackendState) -> Self {
        Underway {
            requests: state.requests,
            uncached: state.uncached,
            held_tokens: state.held_tokens,
        }
    }
}

/// What the other gateways have under way at a back end, and what they have at
/// its like in the mean.
///
/// Invariant: what is believed of one back end loses weight with its age and
/// turns into the mean; it doesn't turn into "idle".
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Others {
    there: Underway,
    mean: Underway,
    heard_at: Millis,
    /// What was heard counts for half after this time: about the time that a
    /// request is there.
    halved: Millis,
}

impl Others {
    /// What was heard now.
    pub(crate) fn heard(there: Underway, mean: Underway, halved: Millis, now: Millis) -> Self {
        Others {
            there,
            mean,
            heard_at: now,
            halved: halved.max(Millis(1)),
        }
    }

    /// Time since the leader told it.
    pub(crate) fn heard_ago(&self, now: Millis) -> Millis {
        now.since(self.heard_at)
    }

    /// What they probably have there now.
    pub(crate) fn at(&self, now: Millis) -> Underway {
        let age = self.heard_ago(now);
        let weight = (-age.as_secs_f64() / self.halved.as_secs_f64().max(0.001)).exp2();
        let part = |weight: f64| move |number: u64| (number as f64 * weight).round() as u64;
        let there = self.there.map(part(weight));
        there.plus(&self.mean.map(part(1.0 - weight)))
    }
}
