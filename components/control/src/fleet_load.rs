//! What gateways have under way at back ends, as the leader heard it last.
//!
//! Each gateway sees only its own work. Told of the others', it sends less
//! where much is queued already. This is a belief: it is never logged, and a
//! new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis};

use crate::by_rank::ByRank;
use crate::messages::Backlog;

/// What a gateway told longer ago than this is over by now.
const FRESH: Millis = Millis(1000);
/// Bytes of one back end's line, roughly.
const BACKLOG_BYTES: u64 = 44;
/// What all gateways together are told in a millisecond: it grows with the
/// product of gateways and back ends, so the more there are the less often
/// each one is told.
const BYTES_PER_MS: u64 = 600;

/// The latest word of each gateway.
#[derive(Debug, Default)]
pub(crate) struct Backlogs {
    told: BTreeMap<GatewayId, (Millis, Vec<Backlog>)>,
    /// When each gateway was told of the others.
    sent_at: BTreeMap<GatewayId, Millis>,
}

impl Backlogs {
    /// Takes the word of a gateway.
    pub(crate) fn note(&mut self, gateway: GatewayId, backlogs: Vec<Backlog>, now: Millis) {
        self.told.retain(|_, (at, _)| now.since(*at) <= FRESH);
        let told = &self.told;
        self.sent_at
            .retain(|gateway, at| told.contains_key(gateway) || now.since(*at) <= FRESH);
        self.told.insert(gateway, (now, backlogs));
    }

    /// The sum over all gateways but one, when it is time to tell it: `None`
    /// leaves what it was told before.
    pub(crate) fn of_others(&mut self, than: &GatewayId, now: Millis) -> Option<Vec<Backlog>> {
        let gateways = self.told.len();
        let others = self.told.iter().filter(|(gateway, _)| *gateway != than);
        let sums = sum(others.flat_map(|(_, (_, backlogs))| backlogs));
        let due = self.sent_at.get(than).is_none_or(|at| {
            let bytes = gateways as u64 * sums.len() as u64 * BACKLOG_BYTES;
            now.since(*at).0 >= bytes / BYTES_PER_MS
        });
        if !due {
            return None;
        }
        self.sent_at.insert(than.clone(), now);
        Some(sums.into_values().collect())
    }

    /// The sum over all gateways, by back end.
    pub(crate) fn all(&self, now: Millis) -> BTreeMap<BackendId, Backlog> {
        let fresh = self.told.values().filter(|(at, _)| now.since(*at) <= FRESH);
        sum(fresh.flat_map(|(_, backlogs)| backlogs))
    }

    pub(crate) fn clear(&mut self) {
        self.told.clear();
        self.sent_at.clear();
    }
}

fn sum<'a>(backlogs: impl Iterator<Item = &'a Backlog>) -> BTreeMap<BackendId, Backlog> {
    let mut sums: BTreeMap<BackendId, Backlog> = BTreeMap::new();
    for backlog in backlogs {
        let total = sums
            .entry(backlog.backend.clone())
            .or_insert_with(|| Backlog {
                requests: 0,
                uncached: ByRank::default(),
                held_tokens: 0,
                ..backlog.clone()
            });
        total.requests += backlog.requests;
        total.uncached += backlog.uncached;
        total.held_tokens += backlog.held_tokens;
    }
    sums
}
