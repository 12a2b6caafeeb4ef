//! What back ends report about whether they take requests.

use garnet_routing::{Probe, RetryAfter, backoff_jitter, caller_retry_delay};
use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::backends::Backend;
use crate::work::Work;

use super::{Forwarder, GOLDEN_RATIO_CONJUGATE};

impl Forwarder {
    /// Applies the backoff that an answer requests.
    pub fn note_backoff(&mut self, id: &BackendId, retry_after: RetryAfter, now: Millis) {
        let spread = backoff_jitter(retry_after, self.gateways, self.next_draw());
        if let Some(backend) = self.backends.get_mut(id) {
            backend
                .availability
                .request_backoff(retry_after, spread, now);
        }
    }

    /// Records that an answer reports draining. Returns `true` if that is new.
    pub fn note_draining(&mut self, id: &BackendId, now: Millis) -> bool {
        let backend = self.backends.get_mut(id);
        backend.is_some_and(|backend| backend.availability.report_draining(now))
    }

    /// Records that a request is sent. If its back end is recovering from a backoff, the
    /// request counts as a probe, which is returned.
    pub fn begin_probe(&mut self, id: &BackendId, now: Millis) -> Option<Probe> {
        self.backends.get_mut(id)?.availability.sent(now)
    }

    /// Records that a back end accepted a probe.
    pub fn probe_accepted(&mut self, id: &BackendId, probe: Probe) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.availability.accepted(probe);
        }
    }

    /// Records that a probe ended without a verdict on its back end.
    pub fn probe_released(&mut self, id: &BackendId, probe: Probe) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.availability.released(probe);
        }
    }

    /// Whether a request that was placed at the back end may still be sent: the back end
    /// is in service and in no backoff.
    pub fn is_available(&self, id: &BackendId, now: Millis) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| {
            let in_backoff = backend.availability.backoff_remaining(now).is_some();
            backend.is_in_service(now) && !in_backoff
        })
    }

    /// Time until a back end's backoff ends; `None` if it is in none.
    pub fn backoff_remaining(&self, id: &BackendId, now: Millis) -> Option<Millis> {
        self.backends.get(id)?.availability.backoff_remaining(now)
    }

    /// How long an engine keeps a KV cache that no decode engine has fetched.
    pub fn unclaimed_cache_lifetime(&self, id: &BackendId) -> Millis {
        let service = self.backends.get(id).map(|b| &b.registration.service);
        let table = self.configuration.routes.as_ref();
        let limits = service.and_then(|service| table?.engine_limits(service));
        limits.map_or(Millis::ZERO, |limits| limits.handover_ms)
    }

    /// If all back ends that could take a request are in backoff, returns the time after
    /// which its caller should retry; the times of successive callers are spread. `None`
    /// if one of them is not in backoff.
    pub fn all_in_backoff(
        &mut self,
        service: &ServiceId,
        work: &Work,
        now: Millis,
    ) -> Option<Millis> {
        let kind = match work.prompt {
            Some(_) => BackendKind::Engine,
            None => BackendKind::Application,
        };
        let is_candidate = |backend: &&Backend| {
            let does_all = work.prompt.is_none() || backend.generates();
            let is_of_kind = backend.registration.kind == kind;
            does_all && is_of_kind && backend.is_in_service(now)
        };
        let mut first = Millis::NEVER;
        for backend in self.backends_of(service).filter(is_candidate) {
            first = first.min(backend.availability.backoff_remaining(now)?);
        }
        if first == Millis::NEVER {
            return None;
        }
        Some(caller_retry_delay(first, work.objective, self.next_draw()))
    }

    /// The next number of a low-discrepancy sequence between 0 and 1.
    fn next_draw(&mut self) -> f64 {
        self.draw_count += 1;
        let first = self.settings.first_draw;
        (first + self.draw_count as f64 * GOLDEN_RATIO_CONJUGATE).fract()
    }
}
