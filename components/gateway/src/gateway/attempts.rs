//! Attempts: names for them, and whose answer is whose.

use garnet_routing::RetryBudget;
use garnet_types::{BackendId, RequestId, ServiceId};

use crate::effects::{AttemptEvent, AttemptId};
use crate::request::Request;

use super::Gateway;

impl Gateway {
    pub(crate) fn new_attempt(&mut self, id: RequestId, backend: &BackendId) -> AttemptId {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.attempts.insert(attempt, (id, backend.clone()));
        self.limits.sent(backend, self.now);
        self.counters.attempts += 1;
        attempt
    }

    pub(super) fn handle_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        // An answer that comes after its attempt is over belongs to nobody.
        let Some((id, backend)) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let current = self.requests.get(&id).and_then(Request::attempt);
        if current != Some(attempt) {
            return;
        }
        match event {
            AttemptEvent::Limit(rate) => return self.on_reported_limit(id, &backend, rate),
            AttemptEvent::Backoff(retry_after) => {
                return self.on_backoff_requested(&backend, retry_after);
            }
            AttemptEvent::Draining => return self.on_draining_reported(&backend),
            _ => {}
        }
        let is_completion = self.requests[&id].model().is_some();
        if is_completion {
            self.completion_event(id, attempt, &backend, event);
        } else {
            self.application_event(id, attempt, &backend, event);
        }
    }

    /// Takes one retry from the service's budget.
    pub(crate) fn spend_retry(&mut self, service: &ServiceId) -> bool {
        let allowed = self.budgets.entry(service.clone()).or_default().spend();
        self.counters.retries += u64::from(allowed);
        allowed
    }

    pub(crate) fn has_retry_left(&self, service: &ServiceId) -> bool {
        let budget = self.budgets.get(service);
        budget.is_none_or(RetryBudget::has_left)
    }

    pub(crate) fn earn_retry(&mut self, service: &ServiceId) {
        self.budgets.entry(service.clone()).or_default().earn();
    }
}
