//! Which back ends are failing, judged by the requests of all gateways.
//!
//! One of hundreds of gateways rarely sends a request to a given failed back end; all
//! together detect it within a few hundred milliseconds. Failures at a single gateway
//! prove nothing, as the fault may be on its own network path. The result is only an
//! estimate: it is never logged, decays, and a new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis, ServiceId};

use crate::messages::Evidence;

/// Half-life of the weight of a request's outcome: long enough for a few requests at each
/// back end of a large pool (three a second), and short compared to the time that a failed
/// back end stays on the platform's list.
const HALF_LIFE: Millis = Millis(1000);
/// Weight of an unreachable back end; it is stronger evidence than a failed request.
const UNREACHABLE_WEIGHT: f64 = 2.0;
/// Number of gateways that must have seen failures, or all gateways if there are fewer.
const MIN_WITNESSES: usize = 2;
/// How long a gateway that saw a failure counts as a witness.
const WITNESS_DURATION: Millis = Millis::from_secs(3);
/// A back end is failing if the fraction of its requests that fail exceeds the mean of its
/// service by more than this. Faults of callers affect all back ends of a service equally.
const MAX_ABOVE_MEAN: f64 = 0.25;
/// A back end with a larger fraction of failed requests is failing whatever the mean is.
const MAX_FAILED_FRACTION: f64 = 0.75;

/// Answered and failed requests, weighted by age.
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

    fn decayed(&self, factor: f64) -> Self {
        Tally {
            answered: self.answered * factor,
            failed: self.failed * factor,
        }
    }

    /// Fraction of the requests that failed, biased towards zero if there are few requests.
    fn failed_fraction(&self) -> f64 {
        self.failed / (self.answered + self.failed + 1.0)
    }
}

#[derive(Debug, Default)]
struct BackendHealth {
    tally: Tally,
    at: Millis,
    witnesses: BTreeMap<GatewayId, Millis>,
}

impl BackendHealth {
    fn tally_at(&self, now: Millis) -> Tally {
        let age = now.since(self.at).as_secs_f64();
        self.tally.decayed((-age / HALF_LIFE.as_secs_f64()).exp2())
    }

    fn witnesses(&self, now: Millis) -> usize {
        let counts = |at: &&Millis| now.since(**at) <= WITNESS_DURATION;
        self.witnesses.values().filter(counts).count()
    }
}

/// Request outcomes of all gateways, by back end.
#[derive(Debug, Default)]
pub(crate) struct FleetHealth {
    by_backend: BTreeMap<BackendId, BackendHealth>,
}

impl FleetHealth {
    /// Records the request outcomes that a gateway reports.
    pub(crate) fn record_outcomes(
        &mut self,
        gateway: &GatewayId,
        evidence: Vec<Evidence>,
        now: Millis,
    ) {
        for evidence in evidence {
            let health = self.by_backend.entry(evidence.backend.clone()).or_default();
            health.tally = health.tally_at(now);
            health.at = now;
            health.tally.add(&evidence);
            health
                .witnesses
                .retain(|_, at| now.since(*at) <= WITNESS_DURATION);
            if evidence.failed + evidence.unreachable > 0 {
                health.witnesses.insert(gateway.clone(), now);
            }
        }
    }

    /// Forgets back ends for which `is_known` returns false.
    pub(crate) fn retain_backends(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.by_backend.retain(|id, _| is_known(id));
    }

    /// Returns whether each of the back ends is failing; `gateways` is the number of
    /// gateways that report.
    pub(crate) fn failing<'a>(
        &self,
        backends: impl Iterator<Item = (&'a BackendId, &'a ServiceId)> + Clone,
        gateways: usize,
        now: Millis,
    ) -> Vec<bool> {
        let mut services: BTreeMap<&ServiceId, Tally> = BTreeMap::new();
        for (id, service) in backends.clone() {
            let tally = self.by_backend.get(id).map(|health| health.tally_at(now));
            let tally = tally.unwrap_or_default();
            let sum = services.entry(service).or_default();
            sum.answered += tally.answered;
            sum.failed += tally.failed;
        }
        let needed = MIN_WITNESSES.min(gateways.max(1));
        let is_failing = |(id, service): (&BackendId, &ServiceId)| {
            let Some(health) = self.by_backend.get(id) else {
                return false;
            };
            let mean = services.get(service).map_or(0.0, Tally::failed_fraction);
            let limit = (mean + MAX_ABOVE_MEAN).min(MAX_FAILED_FRACTION);
            health.witnesses(now) >= needed && health.tally_at(now).failed_fraction() > limit
        };
        backends.map(is_failing).collect()
    }
}
