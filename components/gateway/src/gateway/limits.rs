//! Back ends that limit the requests per second of all gateways together, and the leader's
//! permits to send to them.

use garnet_control::{GatewayRequest, LimitUpdate};
use garnet_limits::{PermitAnswer, PermitLookup, PermitOutcome, PermitRequest, RequestRate};
use garnet_types::{BackendId, Class, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::BackendRef;
use crate::call::Answer;
use crate::effects::{Effect, KvSource};
use crate::request::{Request, Stage};

use super::Gateway;

/// How long a request waits for the leader's answer: a round trip to another region.
const PERMIT_TIMEOUT: Millis = Millis(250);
/// Retry time for callers if the leader doesn't answer.
const PERMIT_TIMEOUT_RETRY_AFTER: Millis = Millis(1000);
/// Maximum number of permits requested in turn before an attempt starts: one for the prefill
/// and one for the decode phase.
const MAX_PERMITS_PER_ATTEMPT: u8 = 2;
/// Minimum retry time for callers.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// A permit request that the leader hasn't answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AwaitedPermit {
    request_number: u64,
    pub(super) timeout_at: Millis,
    /// KV cache of the prompt, if it has been prefilled.
    kv: Option<KvSource>,
}

impl Gateway {
    // ---- Reports of back ends ----

    pub(crate) fn on_reported_limit(
        &mut self,
        id: RequestId,
        backend: &BackendId,
        reported: Option<RequestRate>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let sent_at = request.dispatched_at;
        let start = self.incarnation_of(backend);
        match reported {
            Some(rate) => {
                self.limits.limit_reported(backend, start, rate, self.now);
            }
            None => self.limits.no_limit_reported(backend, start, sent_at),
        }
    }

    pub(super) fn send_limit_reports(&mut self) {
        if let Some(reports) = self.limits.reports(self.now) {
            let gateway = self.settings.id.clone();
            self.emit(Effect::SendControl(GatewayRequest::LimitReports {
                gateway,
                reports,
            }));
        }
    }

    pub(super) fn on_limit_update(&mut self, update: &LimitUpdate) {
        let expired = self.limits.apply_list(update.list(), self.now);
        if !expired.is_empty() {
            self.serve_waiting();
        }
    }

    /// Drops the limits of back ends that left the configuration.
    pub(super) fn update_limits(&mut self) {
        let backends = &self.watched.configuration.backends;
        self.limits.retain_known(|id| backends.contains_key(id));
    }

    // ---- Permits ----

    /// Whether the rate limit of a back end allows a request to be sent now: it has no limit, or
    /// there is a permit for it.
    pub(crate) fn may_send(&self, id: &BackendId) -> bool {
        self.limits.may_send(id, self.now)
    }

    /// Keeps only the back ends that should get the next request so that their reported limits
    /// are refreshed. If there are none, all back ends are kept.
    pub(crate) fn prefer_due_for_refresh<T>(
        &self,
        items: Vec<T>,
        id: impl Fn(&T) -> &BackendId,
    ) -> Vec<T> {
        let is_due = |candidate: &T| self.limits.is_due(id(candidate), self.now);
        if !items.iter().any(is_due) {
            return items;
        }
        items.into_iter().filter(is_due).collect()
    }

    /// Whether a back end has no rate limit. A permit for a limited decode engine would expire
    /// before the prefill is complete.
    pub(crate) fn is_unlimited(&self, id: &BackendId) -> bool {
        self.limits.rate(id).is_none()
    }

    /// Requests a permit from the leader for a request that may be sent to no back end now. The
    /// request waits for the answer; if a permit is already known to be unavailable, it waits for
    /// capacity or is refused. Returns `false` if this isn't due to a rate limit, so that no
    /// permit would help.
    pub(crate) fn await_permit(&mut self, id: RequestId, kv: Option<KvSource>) -> bool {
        if self.limits.is_empty() {
            return false;
        }
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let priority = match kv {
            // The prompt has been prefilled, so the request gets the highest priority.
            Some(_) => 0,
            None => permit_priority(request.verdict.class),
        };
        let candidates: Vec<BackendId> = self
            .backends_for_blocked_phase(request)
            .into_iter()
            .map(|candidate| candidate.id.clone())
            .collect();
        let permits_used_up = request.permits_requested >= MAX_PERMITS_PER_ATTEMPT;
        match self
            .limits
            .request_permit(candidates.iter(), priority, self.now)
        {
            PermitLookup::Unlimited => return false,
            PermitLookup::Exhausted(retry_after) => self.wait_or_refuse(id, retry_after),
            // Other requests used the permits that this one was granted.
            PermitLookup::AskLeader(_) if permits_used_up => {
                self.wait_or_refuse(id, MIN_RETRY_AFTER)
            }
            PermitLookup::AskLeader(permit_request) => {
                let timeout_at = self.now + PERMIT_TIMEOUT;
                let request_number = permit_request.number;
                self.send_permit_request(permit_request);
                let awaited = AwaitedPermit {
                    request_number,
                    timeout_at,
                    kv,
                };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.permits_requested += 1;
                    request.stage = Stage::AwaitingPermit(awaited);
                }
                self.timers.insert((timeout_at, id));
            }
        }
        true
    }

    fn send_permit_request(&mut self, permit_request: PermitRequest) {
        self.send_limit_reports();
        self.emit(Effect::SendControl(GatewayRequest::Permit(permit_request)));
    }

    /// Back ends, regardless of their limits, for the phase of a request that rate limits block:
    /// the prefill, or the decode phase if a prefill engine is available.
    fn backends_for_blocked_phase(&self, request: &Request) -> Vec<BackendRef<'_>> {
        let mut capable_backends = self.capable_backends(request);
        if request.model().is_none() {
            return capable_backends;
        }
        let can_prefill = |candidate: &BackendRef<'_>| candidate.role.prefills();
        let mut sendable = capable_backends
            .iter()
            .filter(|candidate| self.may_send(candidate.id));
        let can_prefill_now = sendable.any(can_prefill);
        capable_backends.retain(|candidate| {
            if can_prefill_now {
                candidate.role.generates()
            } else {
                can_prefill(candidate)
            }
        });
        capable_backends
    }

    /// Back ends that could run any phase of a request, regardless of their limits.
    fn capable_backends(&self, request: &Request) -> Vec<BackendRef<'_>> {
        let configuration = &self.watched.configuration;
        let (service, failed_backends) = (&request.service, &request.failed_backends);
        match request.model() {
            Some(model) => {
                let engines =
                    self.backends
                        .engines(configuration, service, model, failed_backends, self.now);
                let is_of_build =
                    |engine: &BackendRef<'_>| self.is_of_required_build(request, engine.id);
                engines.into_iter().filter(is_of_build).collect()
            }
            None => self
                .backends
                .instances(configuration, service, failed_backends, self.now),
        }
    }

    /// Requests a permit with one of every `gateway_count` requests, needed or not. The end of a
    /// limit is thus noticed even while other back ends have capacity.
    pub(super) fn request_periodic_spare_permit(&mut self, id: RequestId) {
        if self.limits.is_empty() {
            return;
        }
        self.spare_permit_counter = self.spare_permit_counter.wrapping_add(1);
        let sequence = self.spare_permit_counter.wrapping_add(self.settings.seed);
        if sequence.is_multiple_of(self.gateway_count.max(1)) {
            self.request_spare_permit(id);
        }
    }

    /// Requests a permit that any later request may use.
    pub(crate) fn request_spare_permit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let priority = permit_priority(request.verdict.class);
        let limited_backends = self.capable_backends(request).into_iter();
        let limited_backends: Vec<BackendId> = limited_backends
            .filter(|candidate| !self.may_send(candidate.id))
            .map(|candidate| candidate.id.clone())
            .collect();
        let index = self.spare_permit_counter as usize % limited_backends.len().max(1);
        let candidate = limited_backends.get(index);
        if let PermitLookup::AskLeader(permit_request) =
            self.limits
                .request_permit(candidate.into_iter(), priority, self.now)
        {
            self.send_permit_request(permit_request);
        }
    }

    pub(super) fn on_permit_answer(&mut self, answer: &PermitAnswer) {
        self.limits.answered(answer, self.now);
        let is_waiting_for_answer = |request: &Request| match &request.stage {
            Stage::AwaitingPermit(awaited) => awaited.request_number == answer.number,
            _ => false,
        };
        let mut requests = self.requests.iter();
        let waiting_request = requests.find(|(_, request)| is_waiting_for_answer(request));
        let Some(id) = waiting_request.map(|(id, _)| *id) else {
            // No request waits for this permit, so queued requests may use it.
            self.serve_waiting();
            return;
        };
        match answer.outcome {
            PermitOutcome::Granted { .. } => self.resume_with_permit(id),
            PermitOutcome::Refused { retry_after, .. } => self.wait_or_refuse(id, retry_after),
        }
    }

    fn resume_with_permit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = std::mem::replace(&mut request.stage, Stage::Waiting);
        let is_completion = request.model().is_some();
        if self.refuse_if_quarantined(id) {
            return;
        }
        match stage {
            Stage::AwaitingPermit(AwaitedPermit { kv: Some(kv), .. }) => {
                match self.choose_decode(id) {
                    Some(decode) => self.dispatch_decode(id, &decode, kv),
                    None => self.retry_elsewhere(id),
                }
            }
            _ if is_completion => self.route_completion(id),
            _ => self.route_application(id),
        }
    }

    /// Handles a permit request that the leader hasn't answered in time.
    pub(super) fn on_permit_timeout(&mut self, id: RequestId) {
        self.wait_or_refuse(id, PERMIT_TIMEOUT_RETRY_AFTER);
    }

    /// Handles a request that can't be served within the limits: it waits if it may, and is
    /// refused with a retry time otherwise.
    fn wait_or_refuse(&mut self, id: RequestId, retry_after: Millis) {
        self.set_stage(id, Stage::Waiting);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_completion = request.model().is_some();
        let has_begun = !request.delivered.is_empty();
        if is_completion && (request.verdict.may_wait || has_begun) {
            self.wait_for_engine(id);
            return;
        }
        let message = "the request rate exceeds the limits of the back ends";
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let refusal = Refusal::not_run(OutcomeCode::Overloaded, retry_after, message);
        if is_completion {
            self.end_without_answer(id, refusal);
        } else if request.may_have_run {
            let message = "the service may have run the request";
            let refusal = Refusal::in_doubt(retry_after, message);
            self.finish(id, Answer::Refused(refusal));
        } else {
            self.refuse(id, refusal);
        }
    }
}

fn permit_priority(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Interactive => 1,
        Class::Deferrable => 2,
    }
}
