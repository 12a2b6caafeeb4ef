//! Which back ends are failing, as the requests of all gateways show it.
//!
//! A gateway of hundreds meets a failed back end once in a while; together they
//! know within some hundred milliseconds. One gateway alone proves nothing: the
//! fault may lie on its own path. This is a belief: it is never logged, fades,
//! and a new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis, ServiceId};

use crate::messages::Evidence;

/// Weight of what was seen is halved in this time: long enough for some requests
/// at each back end of a large pool (three a second), short against the time
/// that a failed back end stays on the platform's list.
const HALVED: Millis = Millis(1000);
/// A back end that can't be reached says more than one that fails a request.
const UNREACHABLE_WEIGHT: f64 = 2.0;
/// Gateways that must have seen failures, where there are so many.
const WITNESSES: usize = 2;
/// For how long a gateway is a witness.
const WITNESS_FOR: Millis = Millis::from_secs(3);
/// A back end is failing when so much more of its requests fail than of the
/// service's in the mean: callers' own faults strike all alike.
const BEYOND_MEAN: f64 = 0.25;
/// More failures than this are failing whatever the others do.
const SURELY: f64 = 0.75;

/// Requests that ended well or not, weighted by age.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    answered: f64,
    failed: f64,
}

impl Tally {
    fn add(&mut self, evidence: &Evidence) {
        self.answered += f64::from(evidence.answered);
        self.failed += f64::from(evidence.failed);
        self.failed += f64::from(evidence.unreachable) * UNREACHABLE_WEIGHT;
    }

    fn faded(&self, part: f64) -> Self {
        Tally {
            answered: self.answered * part,
            failed: self.failed * part,
        }
    }

    /// Part of the requests that failed; little evidence counts for less.
    fn failed_part(&self) -> f64 {
        self.failed / (self.answered + self.failed + 1.0)
    }
}

#[derive(Debug, Default)]
struct Seen {
    tally: Tally,
    at: Millis,
    witnesses: BTreeMap<GatewayId, Millis>,
}

impl Seen {
    fn tally_at(&self, now: Millis) -> Tally {
        let age = now.since(self.at).as_secs_f64();
        self.tally.faded((-age / HALVED.as_secs_f64()).exp2())
    }

    fn witnesses(&self, now: Millis) -> usize {
        let counts = |at: &&Millis| now.since(**at) <= WITNESS_FOR;
        self.witnesses.values().filter(counts).count()
    }
}

/// What all gateways saw of the back ends.
#[derive(Debug, Default)]
pub(crate) struct FleetHealth {
    seen: BTreeMap<BackendId, Seen>,
}

impl FleetHealth {
    /// Takes what a gateway saw since it told last.
    pub(crate) fn record(&mut self, gateway: &GatewayId, evidence: Vec<Evidence>, now: Millis) {
        for evidence in evidence {
            let seen = self.seen.entry(evidence.backend.clone()).or_default();
            seen.tally = seen.tally_at(now);
            seen.at = now;
            seen.tally.add(&evidence);
            seen.witnesses.retain(|_, at| now.since(*at) <= WITNESS_FOR);
            if evidence.failed + evidence.unreachable > 0 {
                seen.witnesses.insert(gateway.clone(), now);
            }
        }
    }

    /// Forgets back ends that are not among these.
    pub(crate) fn keep(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.seen.retain(|id, _| is_known(id));
    }

    /// Whether each of these back ends is failing, when `gateways` report.
    pub(crate) fn failing<'a>(
        &self,
        backends: impl Iterator<Item = (&'a BackendId, &'a ServiceId)> + Clone,
        gateways: usize,
        now: Millis,
    ) -> Vec<bool> {
        let mut services: BTreeMap<&ServiceId, Tally> = BTreeMap::new();
        for (id, service) in backends.clone() {
            let tally = self.seen.get(id).map(|seen| seen.tally_at(now));
            let tally = tally.unwrap_or_default();
            let sum = services.entry(service).or_default();
            sum.answered += tally.answered;
            sum.failed += tally.failed;
        }
        let needed = WITNESSES.min(gateways.max(1));
        let is_failing = |(id, service): (&BackendId, &ServiceId)| {
            let Some(seen) = self.seen.get(id) else {
                return false;
            };
            let mean = services.get(service).map_or(0.0, Tally::failed_part);
            let limit = (mean + BEYOND_MEAN).min(SURELY);
            seen.witnesses(now) >= needed && seen.tally_at(now).failed_part() > limit
        };
        backends.map(is_failing).collect()
    }
}
