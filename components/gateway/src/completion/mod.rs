//! Text generation: choice of engines, streams, and resumption.

mod dispatch;
mod outcomes;
mod placement;

use garnet_routing::{Admission, Waiting, admit};
use garnet_types::{Class, Millis, OutcomeCode, Refusal, RequestId};

use crate::call::Answer;
use crate::gateway::Gateway;
use crate::request::{Request, Stage};

/// Told when no engine of the pool can be reached.
const NO_ENGINE_RETRY_AFTER: Millis = Millis::from_secs(2);
/// Requests looked at in one pass over the queue.
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
        let decision = admit(
            predicted.first_token,
            generation,
            time_left,
            &request.verdict,
            &self.settings.admission,
        );
        // A text that has begun is not refused for the first token's sake.
        let has_begun = !request.delivered.is_empty();
        match decision {
            Admission::Admit => self.dispatch_completion(id, &predicted.placement),
            _ if has_begun => self.dispatch_completion(id, &predicted.placement),
            Admission::Wait => self.enqueue(id),
            Admission::Refuse { retry_after } => {
                let message = "the deadline can't be met at the present load";
                let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
                // An engine that broke off before its first token may have run it.
                self.end_without_answer(id, refusal);
            }
        }
    }

    /// No engine takes work: waits where it may, else ends at once.
    pub(super) fn on_no_engine(&mut self, id: RequestId) {
        if self.request_permit(id, None) {
            return;
        }
        let request = &self.requests[&id];
        // Work was done for a request whose prompt is read: it waits while its time
        // lasts, since engines come back from a planned stop.
        let has_begun = request.is_prefilled || !request.delivered.is_empty();
        let may_wait = request.verdict.may_wait || has_begun;
        let backoff = self.remaining_backoff(request);
        let can_meet_deadline = backoff.is_none_or(|first| {
            let latest_start = request.deadline - self.generation_time(request);
            self.now + first <= latest_start
        });
        if may_wait && can_meet_deadline {
            self.wait_for_engine(id);
            return;
        }
        if let Some(first) = backoff {
            let refusal = self.backoff_refusal(first);
            self.end_without_answer(id, refusal);
            return;
        }
        let message = "no engine of the pool takes work";
        let refusal = Refusal::not_run(OutcomeCode::NotRun, NO_ENGINE_RETRY_AFTER, message);
        self.end_without_answer(id, refusal);
    }

    /// Lets a request wait until an engine takes it, also one that it failed at.
    pub(crate) fn wait_for_engine(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_backends.clear();
        }
        self.enqueue(id);
    }

    /// Ends a request: as not run where that is provable.
    pub(crate) fn end_without_answer(&mut self, id: RequestId, when_not_run: Refusal) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.may_have_run {
            self.refuse(id, when_not_run);
            return;
        }
        let refusal = if request.is_repeatable() {
            Refusal::failed("an attempt was broken off and nobody could take it over")
        } else {
            Refusal::in_doubt(NO_ENGINE_RETRY_AFTER, "an engine may have run the request")
        };
        self.finish(id, Answer::Refused(refusal));
    }

    /// Time that the missing tokens take once the first one is there.
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
        let decode_step_ms = engines
            .iter()
            .filter(|engine| engine.role.generates())
            .filter_map(|engine| self.backends.view_of(engine.id))
            .map(|view| view.estimate.snapshot(self.now).capacity.decode_step_ms)
            .fold(0.0, f64::max);
        Millis((request.remaining_tokens() as f64 * decode_step_ms) as u64)
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
            let retry_after = self.settings.admission.longest_retry_after;
            let message = "too many requests wait";
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(id, refusal);
        }
    }

    /// Sends waiting requests while there is room. One that can't be on time
    /// any more is answered now, not when its deadline passes.
    pub(crate) fn serve_waiting(&mut self) {
        for expired in self.waiting.take_expired(self.now) {
            let message = "no room came in time";
            let retry_after = NO_ENGINE_RETRY_AFTER;
            let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
            self.end_without_answer(expired.item, refusal);
        }
        // An engine may have left the fleet since the configuration was confirmed.
        if !self.watched.holds_lease(self.now) {
            return;
        }
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
                    self.dispatch_completion(waiting.item, &predicted.placement);
                }
                placement => {
                    if placement.is_none() {
                        self.request_spare_permit(waiting.item);
                    }
                    self.waiting.put_back(waiting);
                    return;
                }
            }
        }
    }
}

/// Priority at the engine. What was admitted was promised a time that counts
/// with the work before it: if urgent work overtook it there, the promise
/// would be broken, and its slot used for nothing. So urgency counts when work
/// is admitted, and at the engine only work that may wait yields.
pub(super) fn engine_class(class: Class) -> Class {
    match class {
        Class::Urgent | Class::Interactive => Class::Urgent,
        Class::Deferrable => Class::Deferrable,
    }
}
