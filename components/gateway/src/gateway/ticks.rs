//! Periodic work and timers.

use garnet_types::{OutcomeCode, Refusal, RequestId};

use crate::effects::Effect;
use crate::request::{Request, Stage};

use super::{Gateway, SHORT_RETRY_AFTER};

impl Gateway {
    pub(super) fn tick(&mut self) {
        self.run_due_timers();
        self.answer_before_end();
        self.serve_waiting();
        self.resend_claims();
        self.abort_stalled();
        let interval = self.settings.watch_interval;
        if self.time_since_watch() >= interval {
            self.send_watch();
        }
        let load_interval = self.settings.load_interval;
        let due = self
            .backends
            .due_for_poll(&self.watched.configuration, load_interval, self.now);
        for (backend, address) in due {
            self.emit(Effect::PollLoad { backend, address });
        }
    }

    pub(super) fn run_due_timers(&mut self) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > self.now {
                return;
            }
            self.timers.pop_first();
            self.on_timer(id);
        }
    }

    pub(super) fn on_timer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage == Stage::AwaitingConfiguration {
            let message = "the gateway received no current configuration in time";
            let refusal = Refusal::not_run(OutcomeCode::NotRun, SHORT_RETRY_AFTER, message);
            self.refuse(id, refusal);
            return;
        }
        if self.now < request.deadline {
            if let Stage::AwaitingPermit(awaited) = &request.stage
                && awaited.timeout_at <= self.now
            {
                self.on_permit_timeout(id);
            }
            return;
        }
        if request.claim.is_some() && request.attempt().is_some() {
            let message = "the deadline passed while the request ran; resend it with its key";
            self.answer_and_keep_running(id, Refusal::in_doubt(SHORT_RETRY_AFTER, message));
            return;
        }
        let refusal = deadline_refusal(request);
        self.refuse(id, refusal);
    }
}

/// The refusal of a request whose deadline passed.
fn deadline_refusal(request: &Request) -> Refusal {
    if !request.may_have_run {
        let message = "the deadline passed before the request could be started";
        return Refusal::not_run(OutcomeCode::Deadline, SHORT_RETRY_AFTER, message);
    }
    if request.is_repeatable() {
        return Refusal {
            code: OutcomeCode::Deadline,
            ran: garnet_types::Execution::Yes,
            retry_after: Some(SHORT_RETRY_AFTER),
            message: "the deadline passed before the answer was complete".to_owned(),
        };
    }
    Refusal::in_doubt(
        SHORT_RETRY_AFTER,
        "the deadline passed while the request ran",
    )
}
