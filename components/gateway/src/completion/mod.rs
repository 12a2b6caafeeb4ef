//! Text generation: choice of engines, streams and resumption.

mod dispatch;
mod outcomes;
mod placement;

use garnet_routing::{Admission, Waiting, admit};
use garnet_types::{Class, Millis, OutcomeCode, Refusal, RequestId};

use crate::call::Answer;
use crate::gateway::Gateway;
use crate::request::{Request, Stage};

/// Retry time for callers when no engine of the pool is available.
const NO_ENGINE_RETRY_AFTER: Millis = Millis::from_secs(2);
/// Maximum number of waiting requests that are examined in one pass over the queue.
const MAX_WAITING_PER_PASS: usize = 64;

impl Gateway {
    pub(crate) fn route_completion(&mut self, id: RequestId) {
        let Some(predicted) = self.choose_placement(id) else {
            self.on_no_engine(id);
            return;
        };
        let request = &self.requests[&id];
        let time_left = request.deadline.since(self.now);
        let generation = self.generation_time(request);
        if self.refuse_if_outlasting(id, Some(predicted.first_token + generation)) {
            return;
        }
        let request = &self.requests[&id];
        let decision = admit(
            predicted.first_token,
            generation,
            time_left,
            &request.verdict,
            &self.settings.admission,
        );
        // The target for the first token doesn't matter for a text that has begun.
        let has_begun = !request.delivered.is_empty();
        match decision {
            Admission::Admit => self.dispatch_completion(id, &predicted.placement),
            _ if has_begun => self.dispatch_completion(id, &predicted.placement),
            Admission::Wait => self.enqueue(id),
            Admission::Refuse { retry_after } => {
                let message = "the deadline can't be met at the present load";
                let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
                // An engine that failed before its first token may have run the request.
                self.end_without_answer(id, refusal);
            }
        }
    }

    /// Handles a request for which no engine is available: it waits if it may, and ends at once
    /// otherwise.
    pub(super) fn on_no_engine(&mut self, id: RequestId) {
        if self.await_permit(id, None) {
            return;
        }
        let request = &self.requests[&id];
        if self.is_build_gone(request) {
            self.end_without_build(id);
            return;
        }
        // A request that has been prefilled waits until its deadline, since work was done for it
        // and engines return from planned stops.
        let has_begun = request.is_prefilled || !request.delivered.is_empty();
        let may_wait = request.verdict.may_wait || has_begun;
        let backoff = self.remaining_backoff(request);
        let can_meet_deadline = backoff.is_none_or(|until_accepted| {
            let latest_start = request.deadline - self.generation_time(request);
            self.now + until_accepted <= latest_start
        });
        if may_wait && can_meet_deadline {
            self.wait_for_engine(id);
            return;
        }
        if let Some(until_accepted) = backoff {
            let refusal = self.backoff_refusal(until_accepted);
            self.end_without_answer(id, refusal);
            return;
        }
        let message = "no engine of the pool accepts requests";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }

    /// Ends a text that no engine may continue.
    fn end_without_build(&mut self, id: RequestId) {
        let message = "no engine of the build that began the text is left";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }

    /// Queues a request until any engine is available, including those at which it failed.
    pub(crate) fn wait_for_engine(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_backends.clear();
        }
        self.enqueue(id);
    }

    /// Refuses a request that has no complete answer: with `refusal_if_not_run` if it provably did
    /// not run, otherwise as failed or, if it must not be repeated, as in doubt.
    pub(crate) fn end_without_answer(&mut self, id: RequestId, refusal_if_not_run: Refusal) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.may_have_run {
            self.refuse(id, refusal_if_not_run);
            return;
        }
        let refusal = if request.is_repeatable() {
            Refusal::failed("an attempt failed and no other engine could resume it")
        } else {
            Refusal::in_doubt(NO_ENGINE_RETRY_AFTER, "an engine may have run the request")
        };
        self.finish(id, Answer::Refused(refusal));
    }

    /// Estimated time to generate the remaining tokens after the first one.
    pub(super) fn generation_time(&self, request: &Request) -> Millis {
        let Some(model) = request.model() else {
            return Millis::ZERO;
        };
        let engines = self.backends.engines(
            &self.watched.configuration,
            &request.service,
            model,
            &[],
            self.now,
        );
        let step_ms = engines
            .iter()
            .filter(|engine| engine.role.generates())
            .filter_map(|engine| self.backends.view_of(engine.id))
            .map(|view| view.estimate.snapshot(self.now).capacity.decode_step_ms)
            .fold(0.0, f64::max);
        Millis((request.remaining_tokens() as f64 * step_ms) as u64)
    }

    // ---- Waiting ----

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let generation = self.generation_time(&self.requests[&id]);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Waiting;
        let waiting = Waiting {
            item: id,
            class: engine_class(request.verdict.class),
            since: now,
            latest_start: request.deadline - generation,
        };
        if self.waiting.push(waiting).is_err() {
            let retry_after = self.settings.admission.max_retry_after;
            let message = "too many requests are waiting";
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(id, refusal);
        }
    }

    /// Dispatches waiting requests while engines have capacity. A request that can no longer
    /// meet its deadline is refused now, not when the deadline passes.
    pub(crate) fn serve_waiting(&mut self) {
        for expired in self.waiting.take_expired(self.now) {
            let message = "no capacity became available in time";
            let retry_after = NO_ENGINE_RETRY_AFTER;
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(expired.item, refusal);
        }
        // Without a lease on the configuration, its engines may have left the fleet.
        if !self.watched.holds_lease(self.now) {
            return;
        }
        let mut held_back = Vec::new();
        self.serve_first_waiting(&mut held_back);
        for waiting in held_back.into_iter().rev() {
            self.waiting.return_to_front(waiting);
        }
    }

    /// Serves the queue up to the first request that no engine takes. Texts that wait for an
    /// engine of their build are put into `held_back`, as others may serve those behind them.
    fn serve_first_waiting(&mut self, held_back: &mut Vec<Waiting<RequestId>>) {
        let target = self.settings.admission.first_token_target;
        for _ in 0..MAX_WAITING_PER_PASS {
            let Some(waiting) = self.waiting.pop(self.now) else {
                return;
            };
            if self.refuse_if_quarantined(waiting.item) {
                continue;
            }
            match self.choose_placement(waiting.item) {
                Some(predicted) if predicted.first_token <= target => {
                    let generation = self.generation_time(&self.requests[&waiting.item]);
                    let likely = predicted.first_token + generation;
                    if !self.refuse_if_outlasting(waiting.item, Some(likely)) {
                        self.dispatch_completion(waiting.item, &predicted.placement);
                    }
                }
                None if self.requests[&waiting.item].has_begun() => {
                    self.request_spare_permit(waiting.item);
                    if self.is_build_gone(&self.requests[&waiting.item]) {
                        self.end_without_build(waiting.item);
                    } else {
                        held_back.push(waiting);
                    }
                }
                prediction => {
                    if prediction.is_none() {
                        self.request_spare_permit(waiting.item);
                    }
                    self.waiting.return_to_front(waiting);
                    return;
                }
            }
        }
    }
}

/// The class that determines the priority at the engine.
///
/// Admission predicts the first token of a request from the work ahead of it. If urgent work
/// overtook an admitted request at the engine, the admitted one would miss its deadline and its
/// slot would be wasted. So urgency counts at admission only, and at the engine only deferrable
/// work yields.
pub(super) fn engine_class(class: Class) -> Class {
    match class {
        Class::Urgent | Class::Interactive => Class::Urgent,
        Class::Deferrable => Class::Deferrable,
    }
}
