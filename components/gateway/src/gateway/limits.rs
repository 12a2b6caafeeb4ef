//! Back ends with a limit on requests a second from all gateways together, and permits to
//! send to them.

use garnet_control::{GatewayRequest, LimitUpdate};
use garnet_limits::{PermitAnswer, PermitLookup, PermitOutcome, PermitRequest, RequestRate};
use garnet_types::{BackendId, Class, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::Eligible;
use crate::call::Answer;
use crate::effects::{Effect, KvSource};
use crate::request::{Request, Stage};

use super::Gateway;

/// A request waits so long for the leader's answer: the way to another region and
/// back.
const PERMIT_PATIENCE: Millis = Millis(250);
/// Retry time of callers where the leader does not answer.
const RETRY_WITHOUT_LEADER: Millis = Millis(1000);
/// Permits that are asked for one after the other for one attempt: to read a prompt,
/// and to generate.
const MOST_PERMITS: u8 = 2;
/// Shortest time after which a caller may come again.
const SHORTEST_RETRY: Millis = Millis(50);

/// A request that waits for the leader's answer to a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AwaitedPermit {
    number: u64,
    pub(super) until: Millis,
    /// The prompt as one engine read it.
    kv: Option<KvSource>,
}

impl Gateway {
    // ---- Reports of back ends ----

    pub(crate) fn take_limit(
        &mut self,
        id: RequestId,
        backend: &BackendId,
        said: Option<RequestRate>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let sent_at = request.dispatched_at;
        let start = self.incarnation_of(backend);
        match said {
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

    pub(super) fn take_limits(&mut self, told: &LimitUpdate) {
        let over = self.limits.apply_list(told.list(), self.now);
        if !over.is_empty() {
            self.serve_waiting();
        }
    }

    /// The configuration has changed.
    pub(super) fn follow_limits(&mut self) {
        let backends = &self.watched.configuration.backends;
        self.limits.retain_known(|id| backends.contains_key(id));
    }

    // ---- Permits ----

    /// Whether a request may be sent to a back end now.
    pub(crate) fn may_send(&self, id: &BackendId) -> bool {
        self.limits.may_send(id, self.now)
    }

    /// Of these back ends those that should get the next request, to refresh what is known of
    /// their limits; all where none should.
    pub(crate) fn due_first<T>(&self, all: Vec<T>, id: impl Fn(&T) -> &BackendId) -> Vec<T> {
        let is_due = |one: &T| self.limits.is_due(id(one), self.now);
        if !all.iter().any(is_due) {
            return all;
        }
        all.into_iter().filter(is_due).collect()
    }

    /// Whether it takes what comes. A permit for one that has a limit is over before
    /// another engine has read a prompt for it.
    pub(crate) fn is_unlimited(&self, id: &BackendId) -> bool {
        self.limits.rate(id).is_none()
    }

    /// Asks the leader for a permit for a request that no back end may be sent as
    /// things stand. `false` where none of them has a limit: there is nobody.
    pub(crate) fn wait_for_permit(&mut self, id: RequestId, kv: Option<KvSource>) -> bool {
        if self.limits.is_empty() {
            return false;
        }
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let rank = match kv {
            // Work was done for it.
            Some(_) => 0,
            None => rank_of(request.verdict.class),
        };
        let candidates: Vec<BackendId> = self
            .lacking(request)
            .into_iter()
            .map(|one| one.id.clone())
            .collect();
        let was_asked = request.permits_asked >= MOST_PERMITS;
        match self
            .limits
            .request_permit(candidates.iter(), rank, self.now)
        {
            PermitLookup::Unlimited => return false,
            PermitLookup::Exhausted(retry_after) => self.refuse_limited(id, retry_after),
            // Another request has used the permit.
            PermitLookup::AskLeader(_) if was_asked => self.refuse_limited(id, SHORTEST_RETRY),
            PermitLookup::AskLeader(ask) => {
                let until = self.now + PERMIT_PATIENCE;
                let number = ask.number;
                self.ask_leader(ask);
                let awaited = AwaitedPermit { number, until, kv };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.permits_asked += 1;
                    request.stage = Stage::AwaitingPermit(awaited);
                }
                self.deadlines.insert((until, id));
            }
        }
        true
    }

    fn ask_leader(&mut self, ask: PermitRequest) {
        self.send_limit_reports();
        self.emit(Effect::SendControl(GatewayRequest::Permit(ask)));
    }

    /// Back ends that could do what nobody may be sent now of a request, whatever
    /// their limit: read its prompt, or else generate.
    fn lacking(&self, request: &Request) -> Vec<Eligible<'_>> {
        let mut could_take = self.could_take(request);
        if request.model().is_none() {
            return could_take;
        }
        let reads = |one: &Eligible<'_>| one.role.reads_prompts();
        let mut open = could_take.iter().filter(|one| self.may_send(one.id));
        let is_read = open.any(reads);
        could_take.retain(|one| {
            if is_read {
                one.role.generates()
            } else {
                reads(one)
            }
        });
        could_take
    }

    /// Back ends that could do any part of a request, whatever their limit.
    fn could_take(&self, request: &Request) -> Vec<Eligible<'_>> {
        let configuration = &self.watched.configuration;
        let (service, tried) = (&request.service, &request.tried);
        match request.model() {
            Some(model) => self
                .backends
                .engines(configuration, service, model, tried, self.now),
            None => self
                .backends
                .instances(configuration, service, tried, self.now),
        }
    }

    /// Each gateway asks for a permit with one of so many requests as there are
    /// gateways, whether it needs one or not: the end of a limit is noticed, also while
    /// other back ends have room.
    pub(super) fn ask_for_spare_permit(&mut self, id: RequestId) {
        if self.limits.is_empty() {
            return;
        }
        self.arrived = self.arrived.wrapping_add(1);
        let turn = self.arrived.wrapping_add(self.settings.seed);
        if turn.is_multiple_of(self.gateways.max(1)) {
            self.ask_for_any(id);
        }
    }

    /// Asks for a permit that the next request may use.
    pub(crate) fn ask_for_any(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let rank = rank_of(request.verdict.class);
        let limited = self.could_take(request).into_iter();
        let limited: Vec<BackendId> = limited
            .filter(|one| !self.may_send(one.id))
            .map(|one| one.id.clone())
            .collect();
        let drawn = self.arrived as usize % limited.len().max(1);
        let one = limited.get(drawn);
        if let PermitLookup::AskLeader(ask) =
            self.limits.request_permit(one.into_iter(), rank, self.now)
        {
            self.ask_leader(ask);
        }
    }

    pub(super) fn take_permit(&mut self, answer: &PermitAnswer) {
        self.limits.answered(answer, self.now);
        let awaits = |request: &Request| match &request.stage {
            Stage::AwaitingPermit(awaited) => awaited.number == answer.number,
            _ => false,
        };
        let mut requests = self.requests.iter();
        let waiter = requests.find(|(_, request)| awaits(request));
        let Some(id) = waiter.map(|(id, _)| *id) else {
            // A spare one.
            self.serve_waiting();
            return;
        };
        match answer.outcome {
            PermitOutcome::Granted { .. } => self.go_on_with_permit(id),
            PermitOutcome::Refused { retry_after, .. } => self.refuse_limited(id, retry_after),
        }
    }

    fn go_on_with_permit(&mut self, id: RequestId) {
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
                    Some(decode) => self.dispatch_generate(id, &decode, Some(kv)),
                    None => self.try_elsewhere(id),
                }
            }
            _ if is_completion => self.route_completion(id),
            _ => self.route_application(id),
        }
    }

    /// The leader has not answered in time.
    pub(super) fn pass_permit_patience(&mut self, id: RequestId) {
        self.refuse_limited(id, RETRY_WITHOUT_LEADER);
    }

    /// Ends a request that can't be served within the limits: it waits where it may,
    /// else it is refused at once with a retry time.
    fn refuse_limited(&mut self, id: RequestId, retry_after: Millis) {
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
        let message = "back ends take fewer requests than come";
        let retry_after = retry_after.max(SHORTEST_RETRY);
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

fn rank_of(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Interactive => 1,
        Class::Deferrable => 2,
    }
}
