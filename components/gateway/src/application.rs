//! Calls of application services.

use garnet_routing::InFlightWork;
use garnet_types::{BackendId, Millis, OutcomeCode, RecordedResponse, Refusal, RequestId};

use crate::backends::BackendRef;
use crate::call::{Answer, Work};
use crate::effects::{AttemptEvent, AttemptId, Effect, Job};
use crate::gateway::Gateway;
use crate::request::Stage;

/// Retry time for callers when every instance is at its concurrency limit.
const BUSY_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Retry time for callers when no instance is available.
const DOWN_RETRY_AFTER: Millis = Millis::from_secs(2);

impl Gateway {
    pub(crate) fn route_application(&mut self, id: RequestId) {
        // How long an application takes is not known here.
        if self.refuse_if_outlasting(id, None) {
            return;
        }
        match self.choose_instance(id) {
            Ok((backend, address)) => self.dispatch_application(id, backend, address),
            Err(_) if self.await_permit(id, None) => {}
            Err(refusal) => {
                let backoff = self.remaining_backoff(&self.requests[&id]);
                let refusal = backoff.map_or(refusal, |until_accepted| {
                    self.backoff_refusal(until_accepted)
                });
                // An earlier, interrupted attempt may have run the request.
                self.end_without_answer(id, refusal);
            }
        }
    }

    /// Chooses the least loaded healthy instance; ties go to the gateway's own zone.
    fn choose_instance(&self, id: RequestId) -> Result<(BackendId, String), Refusal> {
        let request = &self.requests[&id];
        let configuration = &self.watched.configuration;
        let instances = self.backends.instances(
            configuration,
            &request.service,
            &request.failed_backends,
            self.now,
        );
        let instances = self.restrict_suspected(request, instances);
        if instances.is_empty() {
            let message = "no instance of the service is available";
            return Err(Refusal::not_run(
                OutcomeCode::NotRun,
                DOWN_RETRY_AFTER,
                message,
            ));
        }
        let load = |backend: &BackendId| {
            self.backends
                .view_of(backend)
                .map_or(0, |view| view.estimate.in_flight())
        };
        let has_capacity = |instance: &BackendRef<'_>| {
            load(instance.id) < self.settings.application_concurrency && self.may_send(instance.id)
        };
        let instances = instances.into_iter().filter(has_capacity).collect();
        self.prefer_due_for_refresh(instances, |instance| instance.id)
            .into_iter()
            .min_by_key(|instance| {
                let other_zone = instance.record.registration.zone != self.settings.zone;
                (load(instance.id), other_zone, instance.id.clone())
            })
            .map(|instance| {
                (
                    instance.id.clone(),
                    instance.record.registration.address.clone(),
                )
            })
            .ok_or_else(|| {
                let message = "every instance of the service is at its limit";
                Refusal::not_run(OutcomeCode::Overloaded, BUSY_RETRY_AFTER, message)
            })
    }

    fn dispatch_application(&mut self, id: RequestId, backend: BackendId, address: String) {
        let attempt = self.new_attempt(id, &backend);
        let work = InFlightWork {
            prompt_tokens: 0,
            decodes: false,
            sent_at: self.now,
            prefilled: true,
        };
        self.backends.sent(&backend, attempt, work);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Application {
            method,
            path,
            content_type,
            body,
            ..
        } = request.call.work.clone()
        else {
            return;
        };
        request.stage = Stage::Running { attempt };
        request.record_dispatch(now);
        let remaining = request.deadline.since(now);
        let service = request.service.clone();
        let key = request.call.key.as_ref().map(|key| key.0.clone());
        if request.failed_backends.is_empty() {
            self.earn_retry(&service);
        }
        self.emit(Effect::Dispatch {
            attempt,
            request: id,
            backend,
            address,
            job: Job::Application {
                method,
                path,
                content_type,
                body,
                key,
            },
            remaining,
        });
    }

    pub(crate) fn application_event(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        event: AttemptEvent,
    ) {
        match event {
            AttemptEvent::Response(response) => {
                self.attempts.remove(&attempt);
                self.backends.succeeded(backend, attempt);
                self.record_completed_run(id);
                self.complete_application(id, response);
            }
            AttemptEvent::NotStarted { draining } => {
                self.end_not_started(id, attempt, backend, draining);
                self.retry_application(id, true);
            }
            AttemptEvent::Broken => {
                self.record_crash(id, backend);
                self.end_broken(id, attempt, backend);
            }
            // A result is recorded as the only one of its request, so it must be complete.
            AttemptEvent::AnswerGivenUp | AttemptEvent::UnmarkedResponse(_) => {
                self.end_broken(id, attempt, backend);
            }
            // Handled in `handle_attempt`, or sent only by engines.
            AttemptEvent::Limit(_)
            | AttemptEvent::Backoff(_)
            | AttemptEvent::Draining
            | AttemptEvent::CacheGone
            | AttemptEvent::Prefilled { .. }
            | AttemptEvent::Tokens { .. }
            | AttemptEvent::Finished { .. } => {}
        }
    }

    fn complete_application(&mut self, id: RequestId, response: RecordedResponse) {
        self.record_result(id, &response);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Waiting;
        }
        self.finish(id, Answer::Response(response));
    }

    /// Retries a failed request at another instance if that is safe, and ends it otherwise.
    fn retry_application(&mut self, id: RequestId, provably_not_run: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Waiting;
        let service = request.service.clone();
        if !provably_not_run && !request.is_repeatable() {
            let message = "the service may have run the request";
            let refusal = Refusal::in_doubt(DOWN_RETRY_AFTER, message);
            self.finish(id, Answer::Refused(refusal));
            return;
        }
        if self.refuse_if_quarantined(id) {
            return;
        }
        if provably_not_run || self.spend_retry(&service) {
            self.route_application(id);
            return;
        }
        let message = "the service failed and its retry budget is used up";
        self.finish(id, Answer::Refused(Refusal::failed(message)));
    }

    /// Ends an attempt that may have run and has no complete response.
    fn end_broken(&mut self, id: RequestId, attempt: AttemptId, backend: &BackendId) {
        self.attempts.remove(&attempt);
        self.backends.failed(backend, attempt, self.now);
        self.record_failed_backend(id, backend);
        self.retry_application(id, false);
    }

    /// Ends an attempt that the back end provably did not start.
    pub(crate) fn end_not_started(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        backend: &BackendId,
        draining: bool,
    ) {
        self.attempts.remove(&attempt);
        if draining {
            self.backends.draining(backend, attempt, self.now);
        } else {
            self.backends.failed(backend, attempt, self.now);
        }
        self.record_failed_backend(id, backend);
        if let Some(request) = self.requests.get_mut(&id) {
            request.record_not_started();
        }
    }

    pub(crate) fn record_failed_backend(&mut self, id: RequestId, backend: &BackendId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_backends.push(backend.clone());
        }
    }
}
