//! Back ends that request a backoff or report draining, and the retry time of callers
//! whose requests no back end takes.

use garnet_routing::{RetryAfter, caller_return, end_spread};
use garnet_types::{BackendId, Millis, OutcomeCode, Refusal};
use rand::RngExt;

use crate::backends::{BackendRef, engines_of, instances_of};
use crate::request::Request;

use super::Gateway;

/// Callers that come back after a backoff are spread over this time at most.
const MAX_CALLER_SPREAD: Millis = Millis::from_secs(1);

impl Gateway {
    /// Takes the backoff that an answer requests.
    pub(super) fn on_backoff_requested(&mut self, backend: &BackendId, retry_after: RetryAfter) {
        let spread = end_spread(retry_after, self.gateway_count, self.random.random());
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.request_backoff(retry_after, spread, self.now);
        }
    }

    /// Takes a report of draining.
    pub(super) fn on_draining_reported(&mut self, backend: &BackendId) {
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.report_draining(self.now);
        }
    }

    /// The refusal of a request that nobody takes for so long.
    pub(crate) fn backoff_refusal(&mut self, first: Millis) -> Refusal {
        let draw = self.random.random();
        let retry_after = caller_return(first, MAX_CALLER_SPREAD, draw);
        let message = "all back ends of the service are in backoff";
        Refusal::not_run(OutcomeCode::Overloaded, retry_after, message)
    }

    /// Time until some back end takes each part of a request again; `None` where that
    /// does not depend on a backoff.
    pub(crate) fn remaining_backoff(&self, request: &Request) -> Option<Millis> {
        let configuration = &self.watched.configuration;
        let service = &request.service;
        let remaining_backoff_of =
            |remaining_backoff_of: &[BackendRef<'_>], is_capable: fn(&BackendRef<'_>) -> bool| {
                let capable = remaining_backoff_of
                    .iter()
                    .filter(|candidate| is_capable(candidate));
                self.backends.all_in_backoff(capable, self.now)
            };
        match request.model() {
            Some(model) => {
                let engines = engines_of(configuration, service, model);
                let prefill_backoff =
                    remaining_backoff_of(&engines, |candidate| candidate.role.reads_prompts());
                prefill_backoff.max(remaining_backoff_of(&engines, |candidate| {
                    candidate.role.generates()
                }))
            }
            None => remaining_backoff_of(&instances_of(configuration, service), |_| true),
        }
    }
}
