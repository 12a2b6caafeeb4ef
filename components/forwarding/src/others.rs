//! What the other gateways have under way at a back end, as the leader told it.

use std::cell::RefCell;
use std::rc::Rc;

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

    /// Adds the work of another back end.
    pub(crate) fn add(&mut self, other: &Underway) {
        self.requests += other.requests;
        self.uncached += other.uncached;
        self.held_tokens += other.held_tokens;
    }

    /// The mean of this sum of `count` back ends.
    pub(crate) fn mean(&self, count: usize) -> Self {
        self.map(|number| number / (count as u64).max(1))
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

/// What the leader told last of back ends that do the same work: one value that all
/// of them share, so that a digest is taken at the cost of what it names.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AlikeBelief {
    /// What the others have at one of them in the mean.
    pub(crate) mean: Underway,
    /// When it was heard.
    pub(crate) heard_at: Millis,
    /// What was heard of one of them counts for half after this time: about the time
    /// that a request is there.
    pub(crate) halved: Millis,
}

/// What the other gateways have under way at a back end, and what they have at
/// its like in the mean.
///
/// Invariant: what is believed of one back end loses weight with its age and
/// turns into the mean; it doesn't turn into "idle".
#[derive(Debug, Clone, Default)]
pub(crate) struct Others {
    there: Underway,
    alike: Rc<RefCell<AlikeBelief>>,
}

impl Others {
    /// Joins the back ends that share this belief.
    pub(crate) fn join(&mut self, alike: &Rc<RefCell<AlikeBelief>>) {
        self.alike = Rc::clone(alike);
    }

    /// Notes what the leader told of this back end with the newest belief.
    pub(crate) fn heard(&mut self, there: Underway) {
        self.there = there;
    }

    /// Time since the leader told it.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.alike.borrow().heard_at)
    }

    /// Requests that they probably have there now.
    pub(crate) fn requests(&self, now: Millis) -> u64 {
        self.number_at(now, |underway| underway.requests)
    }

    /// Tokens of KV cache that these probably hold.
    pub(crate) fn held_tokens(&self, now: Millis) -> u64 {
        self.number_at(now, |underway| underway.held_tokens)
    }

    /// Prompt tokens that they probably have there to be prefilled.
    pub(crate) fn uncached(&self, now: Millis) -> ByRank {
        let mut uncached = ByRank::default();
        for rank in ByRank::ranks() {
            uncached.add(
                rank,
                self.number_at(now, |there| there.uncached.of_rank(rank)),
            );
        }
        uncached
    }

    /// What one number probably is now. Asked of thousands of engines for one choice,
    /// of which nearly all have nothing.
    fn number_at(&self, now: Millis, number: impl Fn(&Underway) -> u64) -> u64 {
        let alike = self.alike.borrow();
        let (there, mean) = (number(&self.there), number(&alike.mean));
        if there == 0 && mean == 0 {
            return 0;
        }
        let age = now.since(alike.heard_at);
        let weight = (-age.as_secs_f64() / alike.halved.as_secs_f64().max(0.001)).exp2();
        let part = |number: u64, weight: f64| (number as f64 * weight).round() as u64;
        part(there, weight) + part(mean, 1.0 - weight)
    }
}
