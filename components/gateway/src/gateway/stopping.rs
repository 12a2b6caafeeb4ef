//! The end of a planned stop: requests that would outlast it are not begun, and all that are open
//! shortly before it are answered.

use garnet_types::{Execution, Millis, OutcomeCode, Refusal, RequestId};

use crate::request::Request;

use super::{Gateway, SHORT_RETRY_AFTER};

impl Gateway {
    /// Refuses a request that has not run and would probably not be answered before the end of a
    /// planned stop; `likely` is the time that its answer takes, if that is known. Returns whether
    /// it was refused.
    pub(crate) fn refuse_if_outlasting(&mut self, id: RequestId, likely: Option<Millis>) -> bool {
        let (Some(ends_at), Some(request)) = (self.stop_ends_at, self.requests.get(&id)) else {
            return false;
        };
        // It can no longer be refused as not run, so that another attempt costs less.
        if request.may_have_run {
            return false;
        }
        let remaining = request.deadline.since(self.now);
        let needed = likely.unwrap_or(remaining).min(remaining);
        let left = ends_at.since(self.now);
        if left > Millis::ZERO && needed <= left {
            return false;
        }
        self.refuse(id, refusal_of_stop());
        true
    }

    /// Answers all open requests once the end of a planned stop is near.
    pub(super) fn answer_before_end(&mut self) {
        if self.stop_ends_at.is_none_or(|ends_at| self.now < ends_at) {
            return;
        }
        let is_open = |(id, request): (&RequestId, &Request)| (!request.answered).then_some(*id);
        let open: Vec<RequestId> = self.requests.iter().filter_map(is_open).collect();
        for id in open {
            self.answer_last(id);
        }
    }

    fn answer_last(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let refusal = last_answer(request);
        // Its result may still be recorded for a resend. A prefill is no run: its text must not be
        // generated once the request is refused as not run.
        let has_result = request.may_have_run && request.attempt().is_some();
        if request.claim.is_some() && has_result {
            self.answer_and_keep_running(id, refusal);
        } else {
            self.refuse(id, refusal);
        }
    }
}

fn refusal_of_stop() -> Refusal {
    let message = "this gateway stops before the request could be answered; retry at another one";
    Refusal::not_run(OutcomeCode::NotRun, SHORT_RETRY_AFTER, message)
}

/// The answer to a request that is open at the end of a planned stop.
fn last_answer(request: &Request) -> Refusal {
    if !request.may_have_run {
        return refusal_of_stop();
    }
    let message = "this gateway stops while the request runs";
    if request.is_repeatable() {
        return Refusal {
            code: OutcomeCode::Deadline,
            ran: Execution::Yes,
            retry_after: Some(SHORT_RETRY_AFTER),
            message: message.to_owned(),
        };
    }
    Refusal::in_doubt(SHORT_RETRY_AFTER, message)
}
