//! What peer gateways have in flight at a back end, as the leader reported it.

use std::cell::RefCell;
use std::rc::Rc;

use garnet_control::{BackendState, Backlog, PriorityCounts};
use garnet_types::Millis;

/// Work in flight at a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub(crate) requests: u64,
    pub(crate) uncached: PriorityCounts,
    pub(crate) held_tokens: u64,
}

impl InFlight {
    /// Subtracts `own`, as far as it is counted here.
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

    /// Divides this sum over `count` back ends by their number.
    pub(crate) fn mean(&self, count: usize) -> Self {
        self.map(|sum| sum / (count as u64).max(1))
    }

    fn map(&self, change: impl Fn(u64) -> u64) -> Self {
        let mut uncached = PriorityCounts::default();
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

/// The leader's last report about a group of back ends. All members share one value, so
/// that the cost of a digest depends only on the back ends that it names.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupLoad {
    /// Mean of what peers have in flight at one member.
    pub(crate) mean: InFlight,
    /// When the report arrived.
    pub(crate) received_at: Millis,
    /// Half-life of what was reported for a single member: about the time that a request
    /// stays there.
    pub(crate) half_life: Millis,
}

/// What peer gateways have in flight at a back end, and their mean over its group.
///
/// Invariant: the report about a single back end loses weight with its age and converges
/// to the group's mean, not to "idle".
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLoad {
    reported: InFlight,
    group: Rc<RefCell<GroupLoad>>,
}

impl PeerLoad {
    /// Joins the group that shares this estimate.
    pub(crate) fn join(&mut self, group: &Rc<RefCell<GroupLoad>>) {
        self.group = Rc::clone(group);
    }

    /// Stores what the leader's newest report says about this back end.
    pub(crate) fn received(&mut self, reported: InFlight) {
        self.reported = reported;
    }

    /// Age of the leader's report.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.group.borrow().received_at)
    }

    /// Estimated number of requests of peers.
    pub(crate) fn requests(&self, now: Millis) -> u64 {
        self.estimate_at(now, |in_flight| in_flight.requests)
    }

    /// Estimated tokens of KV cache that peers' requests hold.
    pub(crate) fn held_tokens(&self, now: Millis) -> u64 {
        self.estimate_at(now, |in_flight| in_flight.held_tokens)
    }

    /// Estimated prompt tokens of peers that are still to be prefilled.
    pub(crate) fn uncached(&self, now: Millis) -> PriorityCounts {
        let mut uncached = PriorityCounts::default();
        for engine_priority in PriorityCounts::priorities() {
            uncached.add(
                engine_priority,
                self.estimate_at(now, |reported| reported.uncached.count_at(engine_priority)),
            );
        }
        uncached
    }

    /// Estimates one value at `now`. Called for thousands of engines in one placement,
    /// nearly all of which have nothing in flight.
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
