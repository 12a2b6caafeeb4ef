//! Claims: the exclusive right to dispatch a request that must not be repeated.
//!
//! Invariant: a request with a key is dispatched only after its claim was granted, and never
//! after its claim was released. Releases and results are sent again until the control group
//! acknowledges them.

use garnet_control::{ClaimAnswer, ClaimCommand, ClaimRequest, GatewayRequest, MAX_RECORDED_BYTES};
use garnet_types::{ClaimId, Millis, OutcomeCode, RecordedResponse, Refusal, RequestId};

use crate::call::Answer;
use crate::effects::Effect;
use crate::gateway::Gateway;
use crate::request::Stage;

/// Retry time for callers if another gateway may be running the request.
const HELD_RETRY_AFTER: Millis = Millis::from_secs(2);
/// Retry time for callers while the table of claims is full.
const FULL_RETRY_AFTER: Millis = Millis::from_secs(30);

impl Gateway {
    pub(crate) fn send_claim(&mut self, id: RequestId) {
        let now = self.now;
        let gateway = self.settings.id.clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(key) = request.call.key.clone() else {
            return;
        };
        let claim = ClaimCommand {
            tenant: request.tenant.clone(),
            key,
            body_hash: request.body_hash(),
            claim: ClaimId {
                gateway,
                request: id,
            },
        };
        request.claim = Some(claim.clone());
        request.stage = Stage::Claiming { sent_at: now };
        self.send_claim_request(ClaimRequest::Claim(claim));
    }

    pub(crate) fn handle_claim_answer(&mut self, claim: &ClaimCommand, answer: ClaimAnswer) {
        if answer == ClaimAnswer::Noted {
            self.unacknowledged_claims.remove(&claim.claim);
            return;
        }
        let id = claim.claim.request;
        let awaited = self.requests.get(&id).is_some_and(|request| {
            let same = request.claim.as_ref() == Some(claim);
            same && matches!(request.stage, Stage::Claiming { .. })
        });
        if awaited {
            self.apply_claim_answer(id, answer);
        }
    }

    fn apply_claim_answer(&mut self, id: RequestId, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Granted => self.route(id),
            ClaimAnswer::Recorded(response) => self.finish(id, Answer::Response(response)),
            ClaimAnswer::Held => {
                let message = "a request with this key may be running or have run";
                let refusal = Refusal::in_doubt(HELD_RETRY_AFTER, message);
                self.finish(id, Answer::Refused(refusal));
            }
            ClaimAnswer::BodyDiffers => {
                let message = "the key was used before for another request";
                let refusal = Refusal::permanent(OutcomeCode::Conflict, message);
                self.finish(id, Answer::Refused(refusal));
            }
            ClaimAnswer::Full => {
                let message = "too many idempotency keys are stored";
                let refusal = Refusal::not_run(OutcomeCode::Overloaded, FULL_RETRY_AFTER, message);
                self.finish(id, Answer::Refused(refusal));
            }
            ClaimAnswer::Released | ClaimAnswer::Noted => {
                let message = "the claim on the key was released";
                let refusal = Refusal::not_run(OutcomeCode::NotRun, HELD_RETRY_AFTER, message);
                self.finish(id, Answer::Refused(refusal));
            }
        }
    }

    /// Releases the claim of a request that provably did not run.
    pub(crate) fn release_claim(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.may_have_run {
            return;
        }
        if let Some(claim) = request.claim.take() {
            self.send_until_acknowledged(ClaimRequest::Release(claim));
        }
    }

    /// Has the control group record the answer of a claimed request for resends.
    pub(crate) fn record_result(&mut self, id: RequestId, response: &RecordedResponse) {
        let claim = self
            .requests
            .get(&id)
            .and_then(|pending| pending.claim.clone());
        // Larger answers are not recorded: a resend is then refused as "in doubt".
        if let Some(claim) = claim
            && response.body.len() <= MAX_RECORDED_BYTES
        {
            let response = response.clone();
            self.send_until_acknowledged(ClaimRequest::Record { claim, response });
        }
    }

    pub(crate) fn resend_claims(&mut self) {
        let now = self.now;
        let resend_interval = self.settings.claim_resend_interval;
        let mut due = Vec::new();
        for request in self.requests.values_mut() {
            if let Stage::Claiming { sent_at } = &mut request.stage
                && now.since(*sent_at) >= resend_interval
                && let Some(claim) = &request.claim
            {
                *sent_at = now;
                due.push(ClaimRequest::Claim(claim.clone()));
            }
        }
        for (claim_request, sent_at) in self.unacknowledged_claims.values_mut() {
            if now.since(*sent_at) >= resend_interval {
                *sent_at = now;
                due.push(claim_request.clone());
            }
        }
        for request in due {
            self.send_claim_request(request);
        }
    }

    fn send_until_acknowledged(&mut self, request: ClaimRequest) {
        let claim = request.claim().claim.clone();
        self.unacknowledged_claims
            .insert(claim, (request.clone(), self.now));
        self.send_claim_request(request);
    }

    fn send_claim_request(&mut self, request: ClaimRequest) {
        self.emit(Effect::SendControl(GatewayRequest::Claim(request)));
    }
}
