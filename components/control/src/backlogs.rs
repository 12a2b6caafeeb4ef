//! What gateways have under way at back ends, as the leader heard it last.
//!
//! Each gateway sees only its own work. Told of the others', it sends less
//! where much is queued already. This is a belief: it is never logged, and a
//! new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis};

use crate::messages::Backlog;

/// What a gateway told longer ago than this is over by now.
const FRESH: Millis = Millis(1000);

/// The latest word of each gateway.
#[derive(Debug, Default)]
pub(crate) struct Backlogs {
    told: BTreeMap<GatewayId, (Millis, Vec<Backlog>)>,
}

impl Backlogs {
    /// Takes the word of a gateway.
    pub(crate) fn note(&mut self, gateway: GatewayId, backlogs: Vec<Backlog>, now: Millis) {
        self.told.retain(|_, (at, _)| now.since(*at) <= FRESH);
        self.told.insert(gateway, (now, backlogs));
    }

    /// The sum over all gateways but one.
    pub(crate) fn of_others(&self, than: &GatewayId) -> Vec<Backlog> {
        let others = self.told.iter().filter(|(gateway, _)| *gateway != than);
        let sums = sum(others.flat_map(|(_, (_, backlogs))| backlogs));
        sums.into_values().collect()
    }

    /// The sum over all gateways, by back end.
    pub(crate) fn all(&self, now: Millis) -> BTreeMap<BackendId, Backlog> {
        let fresh = self.told.values().filter(|(at, _)| now.since(*at) <= FRESH);
        sum(fresh.flat_map(|(_, backlogs)| backlogs))
    }

    pub(crate) fn clear(&mut self) {
        self.told.clear();
    }
}

fn sum<'a>(backlogs: impl Iterator<Item = &'a Backlog>) -> BTreeMap<BackendId, Backlog> {
    let mut sums: BTreeMap<BackendId, Backlog> = BTreeMap::new();
    for backlog in backlogs {
        let total = sums
            .entry(backlog.backend.clone())
            .or_insert_with(|| Backlog {
                requests: 0,
                unread_tokens: 0,
                held_tokens: 0,
                ..backlog.clone()
            });
        total.requests += backlog.requests;
        total.unread_tokens += backlog.unread_tokens;
        total.held_tokens += backlog.held_tokens;
    }
    sums
}
