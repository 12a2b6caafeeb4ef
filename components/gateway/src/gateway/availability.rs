//! Back ends that request a backoff or report draining, and the retry time of callers whose
//! requests no back end accepts.

use garnet_routing::{RetryAfter, backoff_jitter, caller_retry_delay};
use garnet_types::{BackendId, Millis, OutcomeCode, Refusal};
use rand::RngExt;

use crate::backends::{BackendRef, engines_of, instances_of};
use crate::request::Request;

use super::Gateway;

/// Maximum time over which the retries of callers are spread after a backoff.
const MAX_CALLER_SPREAD: Millis = Millis::from_secs(1);

impl Gateway {
    /// Records a backoff that a back end requested.
    pub(super) fn on_backoff_requested(&mut self, backend: &BackendId, retry_after: RetryAfter) {
        let spread = backoff_jitter(retry_after, self.gateway_count, self.random.random());
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.request_backoff(retry_after, spread, self.now);
        }
    }

    /// Records that a back end reported draining.
    pub(super) fn on_draining_reported(&mut self, backend: &BackendId) {
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.report_draining(self.now);
        }
    }

    /// The refusal of a request when the first back end accepts requests again after `remaining`.
    pub(crate) fn backoff_refusal(&mut self, remaining: Millis) -> Refusal {
        let draw = self.random.random();
        let retry_after = caller_retry_delay(remaining, MAX_CALLER_SPREAD, draw);
        let message = "all back ends of the service are in backoff";
        Refusal::not_run(OutcomeCode::Overloaded, retry_after, message)
    }

    /// Time until each phase of a request has a back end that accepts requests again; `None` if
    /// no phase waits for the end of a backoff.
    pub(crate) fn remaining_backoff(&self, request: &Request) -> Option<Millis> {
        let configuration = &self.watched.configuration;
        let service = &request.service;
        let remaining_backoff_of =
            |listed: &[BackendRef<'_>], is_capable: fn(&BackendRef<'_>) -> bool| {
                let capable = listed.iter().filter(|candidate| is_capable(candidate));
                self.backends.shortest_backoff(capable, self.now)
            };
        match request.model() {
            Some(model) => {
                let engines = engines_of(configuration, service, model);
                let prefill_backoff =
                    remaining_backoff_of(&engines, |candidate| candidate.role.prefills());
                prefill_backoff.max(remaining_backoff_of(&engines, |candidate| {
                    candidate.role.generates()
                }))
            }
            None => remaining_backoff_of(&instances_of(configuration, service), |_| true),
        }
    }
}
