//! Handles a request from its arrival to its first attempt.

use garnet_control::PoolMix;
use garnet_policy::RequestFacts;
use garnet_routing::{TokenBucket, block_hashes};
use garnet_types::{
    Millis, ModelId, OutcomeCode, Refusal, RequestId, ServiceId, SessionId, TenantId, Verdict,
};

use crate::call::{Answer, Call, Work, count_tokens};
use crate::effects::Effect;
use crate::request::{Request, Stage};

use super::{BUCKET_CLEANUP_STEP, Gateway, SHORT_RETRY_AFTER};

/// How long a request with an unknown name waits for a newer configuration.
const REFRESH_TIMEOUT: Millis = Millis(1500);

/// Tenant of requests that name none.
const ANONYMOUS: &str = "anonymous";

impl Gateway {
    pub(super) fn on_call(&mut self, call: Call) {
        self.counters.calls += 1;
        if self.draining {
            let message = "this gateway is stopping; retry at another gateway";
            self.refuse_early(call.id, OutcomeCode::NotRun, message);
            return;
        }
        if !self.watched.holds_lease(self.now) {
            let message = "this gateway has no current configuration";
            self.refuse_early(call.id, OutcomeCode::NotRun, message);
            return;
        }
        let id = call.id;
        let request = self.new_request(call);
        self.requests.insert(id, request);
        self.resolve(id);
    }

    pub(super) fn refuse_early(&mut self, id: RequestId, code: OutcomeCode, message: &str) {
        let refusal = Refusal::not_run(code, SHORT_RETRY_AFTER, message);
        self.count_refusal(&refusal);
        let answer = Answer::Refused(refusal);
        self.emit(Effect::Answer {
            request: id,
            answer,
        });
    }

    pub(super) fn new_request(&self, call: Call) -> Request {
        let (prompt_tokens, prompt_blocks) = match &call.work {
            Work::Completion { prompt, .. } => (count_tokens(prompt), block_hashes(prompt)),
            Work::Application { .. } => (0, Vec::new()),
        };
        let verdict = Verdict::default();
        let timeout = call.deadline.unwrap_or(verdict.deadline);
        Request {
            stage: Stage::AwaitingConfiguration,
            arrived_at: self.now,
            deadline: self.now + timeout,
            tenant: TenantId::default(),
            service: ServiceId::default(),
            verdict,
            claim: None,
            delivered: Vec::new(),
            build: None,
            prompt_tokens,
            prompt_blocks,
            failed_backends: Vec::new(),
            is_prefilled: false,
            kv_cache: None,
            may_have_run: false,
            may_have_run_before: false,
            answered: false,
            resumed: 0,
            permits_requested: 0,
            dispatched_at: self.now,
            progress_at: self.now,
            call,
        }
    }

    /// Resolves the names in a request. An unknown name may have been created only recently, so
    /// it is looked up again in a configuration that was requested after the request arrived.
    pub(super) fn resolve(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match self.resolve_target(&request.call) {
            Ok((tenant, service)) => self.apply_policy(id, tenant, service),
            Err(refusal) if self.is_current_for(request) => self.refuse(id, refusal),
            Err(_) => {
                let due = self.now + REFRESH_TIMEOUT;
                self.timers.insert((due, id));
                self.send_urgent_watch();
            }
        }
    }

    /// Whether the latest answered watch was sent after the request arrived, so that a name
    /// unknown to the current configuration doesn't exist.
    pub(super) fn is_current_for(&self, request: &Request) -> bool {
        self.watched.answered_watch_sent_at >= Some(request.arrived_at)
    }

    pub(super) fn resolve_target(&self, call: &Call) -> Result<(TenantId, ServiceId), Refusal> {
        let session = match &call.session {
            Some(id) => Some(self.find_session(id)?),
            None => None,
        };
        let session_tenant = session.map(|session| session.tenant.clone());
        let tenant = match (&call.tenant, session_tenant) {
            (Some(named), Some(owner)) if *named != owner => {
                let message = format!("the session belongs to another tenant than {named}");
                return Err(Refusal::permanent(OutcomeCode::Invalid, message));
            }
            (named, owner) => named.clone().or(owner).unwrap_or(TenantId::new(ANONYMOUS)),
        };
        let service = match &call.work {
            Work::Completion { model, .. } => {
                self.find_service_of_model(model, session.map(|session| &session.service))?
            }
            Work::Application { service, .. } => self.find_service(service)?,
        };
        Ok((tenant, service))
    }

    pub(super) fn find_session(&self, id: &SessionId) -> Result<&garnet_control::Session, Refusal> {
        self.watched.configuration.sessions.get(id).ok_or_else(|| {
            Refusal::permanent(OutcomeCode::NotFound, format!("no session is named {id}"))
        })
    }

    pub(super) fn find_service_of_model(
        &self,
        model: &ModelId,
        service: Option<&ServiceId>,
    ) -> Result<ServiceId, Refusal> {
        let backends = self.watched.configuration.backends.values();
        let is_in_pool = |record: &&garnet_control::BackendRecord| {
            let is_of_service =
                service.is_none_or(|service_wanted| record.registration.service == *service_wanted);
            let model_fits = record
                .assignment()
                .is_some_and(|assigned| assigned.model == *model);
            is_of_service && model_fits
        };
        backends
            .filter(is_in_pool)
            .map(|record| record.registration.service.clone())
            .next()
            .ok_or_else(|| {
                let message = format!("no engine serves the model {model}");
                Refusal::permanent(OutcomeCode::NotFound, message)
            })
    }

    pub(super) fn find_service(&self, service: &ServiceId) -> Result<ServiceId, Refusal> {
        let mut backends = self.watched.configuration.backends.values();
        if backends.any(|record| record.registration.service == *service) {
            return Ok(service.clone());
        }
        let message = format!("no service is named {service}");
        Err(Refusal::permanent(OutcomeCode::NotFound, message))
    }

    pub(super) fn apply_policy(&mut self, id: RequestId, tenant: TenantId, service: ServiceId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let facts = request_facts(request, &tenant, &service);
        let evaluation = self.watched.policies.evaluate(&facts);
        self.counters.policy_failures += evaluation.failures;
        let allowed = evaluation.verdict.deadline;
        let timeout = request
            .call
            .deadline
            .map_or(allowed, |requested| requested.min(allowed));
        request.deadline = request.arrived_at + timeout;
        request.tenant = tenant.clone();
        request.service = service;
        request.verdict = evaluation.verdict;
        self.timers.insert((request.deadline, id));
        if self.refuse_if_quarantined(id) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let tokens = (request.prompt_tokens + request.max_tokens()) as f64;
        let rate = request.verdict.tenant_tokens_per_second;
        self.count_offered_load(id);
        self.remove_full_buckets();
        let bucket = self
            .buckets
            .entry(tenant)
            .or_insert_with(|| TokenBucket::new(rate, now));
        if let Err(retry_after) = bucket.take(tokens, rate, now) {
            let message = "the tenant has exceeded its rate limit";
            let refusal = Refusal::not_run(OutcomeCode::TenantLimit, retry_after, message);
            self.refuse(id, refusal);
            return;
        }
        self.claim_or_route(id);
    }

    /// Removes the token buckets of idle tenants, so that invented tenant names don't exhaust the
    /// memory.
    pub(super) fn remove_full_buckets(&mut self) {
        if self.buckets.len() < self.bucket_cleanup_threshold {
            return;
        }
        let now = self.now;
        self.buckets.retain(|_, bucket| !bucket.is_full(now));
        self.bucket_cleanup_threshold = self.buckets.len() + BUCKET_CLEANUP_STEP;
    }

    pub(super) fn claim_or_route(&mut self, id: RequestId) {
        self.request_periodic_spare_permit(id);
        let has_key = self
            .requests
            .get(&id)
            .is_some_and(|request| request.call.key.is_some());
        if has_key {
            self.send_claim(id);
        } else {
            self.route(id);
        }
    }

    /// Counts the load offered to a pool, for the role planner. Retries of a refused request are
    /// not counted again, because they would multiply the apparent demand for the refused kind
    /// of work.
    pub(super) fn count_offered_load(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(model) = request.model() else {
            return;
        };
        // Requests that may wait only use capacity that other requests leave, so they aren't
        // counted.
        let counted_before = self
            .recently_refused
            .contains(request.body_hash(), self.now);
        if counted_before || request.verdict.may_wait {
            return;
        }
        let capacity = self.backends.capacity(&self.watched.configuration, model);
        let pool = (request.service.clone(), model.clone());
        let mix = self.offered.entry(pool).or_insert_with(|| PoolMix {
            service: request.service.clone(),
            model: model.clone(),
            requests: 0,
            prompt_bound: 0,
            prompt_tokens: 0,
            output_tokens: 0,
        });
        let (prompt, output) = (request.prompt_tokens, request.max_tokens());
        let prompt_bound = capacity.is_prompt_bound(prompt as f64, output as f64);
        mix.requests += 1;
        mix.prompt_bound += u64::from(prompt_bound);
        mix.prompt_tokens += prompt;
        mix.output_tokens += output;
    }

    /// Routes a request that has passed the limits and holds its claim, if it needs one.
    pub(crate) fn route(&mut self, id: RequestId) {
        if self.refuse_if_quarantined(id) {
            return;
        }
        match self.requests.get(&id).map(|request| &request.call.work) {
            Some(Work::Completion { .. }) => self.route_completion(id),
            Some(Work::Application { .. }) => self.route_application(id),
            None => {}
        }
    }
}

fn request_facts(request: &Request, tenant: &TenantId, service: &ServiceId) -> RequestFacts {
    let path = match &request.call.work {
        Work::Completion { chat: true, .. } => "/v1/chat/completions",
        Work::Completion { .. } => "/v1/completions",
        Work::Application { path, .. } => path,
    };
    RequestFacts {
        service: service.to_string(),
        tenant: tenant.to_string(),
        session: request.call.session.clone().unwrap_or_default().0,
        model: request.model().cloned().unwrap_or_default().0,
        path: path.to_owned(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens(),
    }
}
