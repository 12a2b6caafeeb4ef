//! The one final answer of a request.

use garnet_types::{Refusal, RequestId};

use crate::call::Answer;
use crate::effects::Effect;

use super::Gateway;

impl Gateway {
    /// Gives the final answer and forgets the request.
    pub(crate) fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.timers.remove(&(request.deadline, id));
        self.waiting.remove(|waiting| *waiting == id);
        if let Some(attempt) = request.attempt()
            && let Some((_, backend)) = self.attempts.remove(&attempt)
        {
            self.backends.released(&backend, attempt);
            self.emit(Effect::Cancel(attempt));
        }
        if !request.answered {
            self.send_answer(id, answer);
        }
    }

    /// Gives the final answer while the attempt goes on for a resend.
    pub(crate) fn answer_and_keep_running(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(request) = self.requests.get_mut(&id)
            && !request.answered
        {
            request.answered = true;
            self.send_answer(id, Answer::Refused(refusal));
        }
    }

    pub(super) fn send_answer(&mut self, id: RequestId, answer: Answer) {
        match &answer {
            Answer::Refused(refusal) => self.count_refusal(refusal),
            _ => self.counters.completed += 1,
        }
        self.emit(Effect::Answer {
            request: id,
            answer,
        });
    }

    pub(super) fn count_refusal(&mut self, refusal: &Refusal) {
        *self.counters.refused.entry(refusal.code).or_default() += 1;
    }

    /// Refuses a request that did not run. Its claim is given back.
    pub(crate) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(request) = self.requests.get(&id)
            && request.model().is_some()
            && refusal.retry_after.is_some()
        {
            self.recently_refused.insert(request.body_hash(), self.now);
        }
        self.release_claim(id);
        self.finish(id, Answer::Refused(refusal));
    }

    pub(super) fn on_caller_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // What runs once and is recorded goes on for the caller's resend.
        if request.claim.is_some() && request.attempt().is_some() {
            request.answered = true;
            return;
        }
        request.answered = true;
        self.release_claim(id);
        let refusal = Refusal::failed("the caller left");
        self.finish(id, Answer::Refused(refusal));
    }
}
