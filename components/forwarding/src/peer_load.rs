//! What the other gateways have under way at a back end, as the leader told it.

use std::cell::RefCell;
use std::rc::Rc;

use garnet_control::{BackendState, Backlog, ByRank};
use garnet_types::Millis;

/// Work under way at a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub(crate) requests: u64,
    pub(crate) uncached: ByRank,
    pub(crate) held_tokens: u64,
}

impl InFlight {
    /// What is left when `own` is taken off, as far as it is counted.
    pub(crate) fn without(&self, own: &Backlog) -> Self {
        let mut uncached = self.uncached;
        for (engine_priority, tokens) in own.uncached.iter() {
            uncached.remove(engine_priority, tokens);
        }
        InFlight {
            requests: self.requests.saturating_sub(own.requests),
            uncached,
            held_tokens: self.held_tokens.saturating_sub(own.held_tokens),
        }
    }

    /// Adds the work of another back end.
    pub(crate) fn add(&mut self, other: &InFlight) {
        self.requests += other.requests;
        self.uncached += other.uncached;
        self.held_tokens += other.held_tokens;
    }

    /// The mean of this sum of `count` back ends.
    pub(crate) fn mean(&self, count: usize) -> Self {
        self.map(|sum| sum / (count as u64).max(1))
    }

    fn map(&self, change: impl Fn(u64) -> u64) -> Self {
        let mut uncached = ByRank::default();
        for (engine_priority, tokens) in self.uncached.iter() {
            uncached.add(engine_priority, change(tokens));
        }
        InFlight {
            requests: change(self.requests),
            uncached,
            held_tokens: change(self.held_tokens),
        }
    }
}

impl From<&BackendState> for InFlight {
    fn from(state: &BackendState) -> Self {
        InFlight {
            requests: state.requests,
            uncached: state.uncached,
            held_tokens: state.held_tokens,
        }
    }
}

/// What the leader told last of back ends that do the same work: one value that all
/// of them share, so that a digest is taken at the cost of what it names.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupLoad {
    /// What the others have at one of them in the mean.
    pub(crate) mean: InFlight,
    /// When it was heard.
    pub(crate) received_at: Millis,
    /// What was heard of one of them counts for half after this time: about the time
    /// that a request is there.
    pub(crate) half_life: Millis,
}

/// What the other gateways have under way at a back end, and what they have at
/// its like in the mean.
///
/// Invariant: what is believed of one back end loses weight with its age and
/// turns into the mean; it doesn't turn into "idle".
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLoad {
    reported: InFlight,
    group: Rc<RefCell<GroupLoad>>,
}

impl PeerLoad {
    /// Joins the back ends that share this belief.
    pub(crate) fn join(&mut self, group: &Rc<RefCell<GroupLoad>>) {
        self.group = Rc::clone(group);
    }

    /// Notes what the leader told of this back end with the newest belief.
    pub(crate) fn received(&mut self, reported: InFlight) {
        self.reported = reported;
    }

    /// Time since the leader told it.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.group.borrow().received_at)
    }

    /// Requests that they probably have there now.
    pub(crate) fn requests(&self, now: Millis) -> u64 {
        self.estimate_at(now, |in_flight| in_flight.requests)
    }

    /// Tokens of KV cache that these probably hold.
    pub(crate) fn held_tokens(&self, now: Millis) -> u64 {
        self.estimate_at(now, |in_flight| in_flight.held_tokens)
    }

    /// Prompt tokens that they probably have there to be prefilled.
    pub(crate) fn uncached(&self, now: Millis) -> ByRank {
        let mut uncached = ByRank::default();
        for engine_priority in ByRank::ranks() {
            uncached.add(
                engine_priority,
                self.estimate_at(now, |reported| reported.uncached.of_rank(engine_priority)),
            );
        }
        uncached
    }

    /// What one number probably is now. Asked of thousands of engines for one choice,
    /// of which nearly all have nothing.
    fn estimate_at(&self, now: Millis, value: impl Fn(&InFlight) -> u64) -> u64 {
        let group = self.group.borrow();
        let (reported, mean) = (value(&self.reported), value(&group.mean));
        if reported == 0 && mean == 0 {
            return 0;
        }
        let age = now.since(group.received_at);
        let weight = (-age.as_secs_f64() / group.half_life.as_secs_f64().max(0.001)).exp2();
        let weighted = |value: u64, weight: f64| (value as f64 * weight).round() as u64;
        weighted(reported, weight) + weighted(mean, 1.0 - weight)
    }
}
