//! Back ends that request a backoff or report draining, and the retry time of callers
//! whose requests no back end takes.

use garnet_routing::{RetryAfter, backoff_jitter, caller_retry_delay};
use garnet_types::{BackendId, Millis, OutcomeCode, Refusal};
use rand::RngExt;

use crate::backends::{Eligible, engines_of, instances_of};
use crate::request::Request;

use super::Gateway;

/// Callers that come back after a backoff are spread over this time at most.
const LONGEST_CALLER_SPREAD: Millis = Millis::from_secs(1);

impl Gateway {
    /// Takes the backoff that an answer requests.
    pub(super) fn request_backoff(&mut self, backend: &BackendId, retry_after: RetryAfter) {
        let spread = backoff_jitter(retry_after, self.gateways, self.random.random());
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.request_backoff(retry_after, spread, self.now);
        }
    }

    /// Takes a report of draining.
    pub(super) fn report_draining(&mut self, backend: &BackendId) {
        if let Some(record) = self.watched.configuration.backends.get(backend) {
            let availability = self.backends.availability_of(record);
            availability.report_draining(self.now);
        }
    }

    /// The refusal of a request that nobody takes for so long.
    pub(crate) fn backoff_refusal(&mut self, first: Millis) -> Refusal {
        let draw = self.random.random();
        let retry_after = caller_retry_delay(first, LONGEST_CALLER_SPREAD, draw);
        let message = "all back ends of the service are in backoff";
        Refusal::not_run(OutcomeCode::Overloaded, retry_after, message)
    }

    /// Time until some back end takes each part of a request again; `None` where that
    /// does not depend on a backoff.
    pub(crate) fn backoff_of(&self, request: &Request) -> Option<Millis> {
        let configuration = &self.watched.configuration;
        let service = &request.service;
        let all = |all: &[Eligible<'_>], fits: fn(&Eligible<'_>) -> bool| {
            let fitting = all.iter().filter(|one| fits(one));
            self.backends.all_in_backoff(fitting, self.now)
        };
        match request.model() {
            Some(model) => {
                let engines = engines_of(configuration, service, model);
                let reading = all(&engines, |one| one.role.reads_prompts());
                reading.max(all(&engines, |one| one.role.generates()))
            }
            None => all(&instances_of(configuration, service), |_| true),
        }
    }
}
