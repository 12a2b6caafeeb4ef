//! The life cycle of a request, from its head to its final answer.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use garnet_forwarding::{Arrival, GivenUp, Progress, SilenceLimits, Work};
use garnet_quarantine::{QuarantineStatus, RequestFingerprint};
use garnet_routes::{CallerLimits, Route, WeightedService};
use garnet_runtime::Body;
use garnet_runtime::RequestBody;
use garnet_runtime::server::{BodyError, Limits, discard_body, read_body_within};
use garnet_types::{BackendId, BuildId, Millis, ServiceId, TenantId};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use smol::Timer;

use crate::answers::{OwnAnswer, retry_after};
use crate::failover::{Quarantine, has_path, is_quarantined, quarantine};
use crate::gateway::Gateway;
use crate::headers::remove_connection_headers;
use crate::permits::{all_in_backoff, request_spare_permit};
use crate::ports::{BackendPort, Call, CallFacts, CallerPort};
use crate::stopping::{is_refused_by_stop, last_answer, note_answer_time};
use crate::{buffered, relay, stream};

/// Longest time to read the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Retry-After of a request whose body found no room.
const NO_ROOM_RETRY_AFTER: Millis = Millis(500);

/// Resolution of the clock, which rounds down. A time span measured from a clock reading has
/// surely passed one step after its nominal end.
const CLOCK_STEP: Millis = Millis(1);

/// A caller that leaves less than this fraction of the route's timeout has probably spent
/// the rest on an earlier try, so its request counts as a retry.
const FIRST_CALL_MIN_FRACTION: f64 = 0.95;

/// Outcome of a relayed request that is left to its peer shortly before the end of a planned stop.
pub(crate) const LEFT_TO_PEER: &str = "left_to_peer";

/// Longest time that a quarantined request waits until it is known whether a path is lost: the
/// connect timeouts of two back ends, and their probes.
const MAX_DECISION_WAIT: Millis = Millis(500);
/// How often it checks that.
const DECISION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request in flight and its progress.
pub(crate) struct RunningRequest {
    pub(crate) call: Rc<Call>,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) work: Work,
    pub(crate) silence: SilenceLimits,
    pub(crate) arrived: Millis,
    /// When the request has surely timed out.
    pub(crate) due: Millis,
    pub(crate) progress: Progress,
    /// Back ends that were tried without success, or whose open attempt is silent.
    pub(crate) tried: Vec<BackendId>,
    pub(crate) served_by: Option<BackendId>,
    /// Whether usage has counted the request.
    pub(crate) usage_counted: Rc<Cell<bool>>,
    /// Whether a peer gateway handed over the request; it is then not handed on.
    pub(crate) is_relayed: bool,
    /// See [`Self::part_sets`].
    part_sets: OnceCell<Vec<RequestFingerprint>>,
    /// Whether the caller has received a part of the answer.
    pub(crate) answer_has_begun: bool,
    /// Whether the prompt is prefilled and waits for its decode engine.
    pub(crate) is_prefilled: Cell<bool>,
    ended: Cell<bool>,
    _open: OpenRequestGuard,
    _relayed: Option<OpenRequestGuard>,
}

/// A request that this gateway did not serve.
pub(crate) struct Unserved {
    pub(crate) running: RunningRequest,
    /// The answer to its caller if no other gateway serves it.
    pub(crate) answer: OwnAnswer,
}

impl Unserved {
    /// A request that was given up.
    pub(crate) fn given_up<C: CallerPort, B: BackendPort>(
        gateway: &Gateway<C, B>,
        running: RunningRequest,
        given_up: GivenUp,
    ) -> Self {
        let answer = given_up_answer(gateway, &running, given_up);
        Unserved { running, answer }
    }
}

/// A request that a peer gateway hands over.
pub(crate) struct Handover {
    pub(crate) service: ServiceId,
    pub(crate) tenant: Option<TenantId>,
    /// When it arrived at the peer, by this gateway's clock.
    pub(crate) arrived: Millis,
    /// When it times out.
    pub(crate) due: Millis,
    pub(crate) attempts_left: u32,
    /// Id of the event after which the stream resumes.
    pub(crate) resume_after: Option<String>,
    /// Whether usage has counted it.
    pub(crate) is_counted: bool,
    /// The build that began the stream, if the peer knows it.
    pub(crate) build: Option<BuildId>,
}

impl RunningRequest {
    /// Whether another back end may be tried if the current one is silent.
    pub(crate) fn may_fail_over(&self) -> bool {
        self.work.kind.may_repeat() && self.progress.ran + 1 < self.work.max_attempts
    }

    /// Whether the request may run now without exceeding what its kind and maximum number of
    /// attempts allow.
    pub(crate) fn may_run_again(&self) -> bool {
        let Progress { ran, silent, .. } = self.progress;
        let may_repeat = self.work.kind.may_repeat() && ran + silent < self.work.max_attempts;
        may_repeat || self.progress.surely_not_run()
    }

    /// The sets of parts of the prompt for which the request may be refused.
    pub(crate) fn part_sets(&self) -> &[RequestFingerprint] {
        self.part_sets.get_or_init(|| {
            let prompt = self.work.prompt.as_ref();
            prompt.map_or(Vec::new(), |prompt| prompt.part_sets(&self.service))
        })
    }

    /// Time that was spent on work that the next attempt goes on with.
    pub(crate) fn spent(&self, now: Millis) -> Millis {
        let began_at = self.call.work_began_at();
        let spent = began_at.filter(|_| self.is_prefilled.get());
        spent.map_or(Millis::ZERO, |began_at| now.since(began_at))
    }

    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.due.since(now + CLOCK_STEP)
    }

    /// Whether the gateway lacks a path to the back ends that could serve the request: it is
    /// known to be lost, or back ends were not reached.
    pub(crate) fn lacks_path<C: CallerPort, B: BackendPort>(
        &self,
        gateway: &Gateway<C, B>,
    ) -> bool {
        self.progress.unreachable > 0 || !has_path(gateway, self)
    }

    /// Whether the request has not been sent to any back end.
    pub(crate) fn is_untried(&self) -> bool {
        self.progress == Progress::default() && self.tried.is_empty()
    }

    /// The request's arrival for admission; its caller waits at most `longest_gap` for an
    /// event.
    pub(crate) fn arrival(&self, longest_gap: Millis, now: Millis) -> Arrival {
        let time_at_arrival = self.remaining(self.arrived);
        let route_timeout = self.route.timeout_ms.0 as f64;
        Arrival {
            waited: now.since(self.arrived),
            remaining: self.remaining(now).min(longest_gap),
            deadline: self.remaining(now),
            is_retry: (time_at_arrival.0 as f64) < route_timeout * FIRST_CALL_MIN_FRACTION,
        }
    }
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequestGuard(Rc<Cell<usize>>);

impl OpenRequestGuard {
    fn begin(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenRequestGuard(Rc::clone(open))
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A request that is dropped before its end was abandoned by its caller.
impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let backend = self.served_by.as_ref().map_or("", BackendId::as_str);
        log::info!(
            request = self.call.facts.id.as_str(),
            route = self.route.name.as_str(),
            backend = backend,
            ran = self.progress.ran,
            outcome = "caller_left";
            "request_ended"
        );
    }
}

/// Answers one request.
pub(crate) async fn handle<C, B>(
    gateway: Rc<Gateway<C, B>>,
    request: Request<RequestBody>,
) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let facts = match gateway.callers.read(&head) {
        Ok(facts) => facts,
        Err(problem) => {
            // A caller that expects `100 Continue` has not sent its body.
            if !head.headers.contains_key(EXPECT) {
                discard_body(body).await;
            }
            return refuse(
                &gateway,
                &CallFacts::default(),
                OwnAnswer::BadRequest,
                &problem,
            );
        }
    };
    let limits = gateway.forwarder.borrow().limits();
    let body = match read_body_within(&gateway.budget, body, &body_limits(limits)).await {
        Ok(body) => body,
        Err(BodyError::NoRoom(exceeded)) => {
            let answer = OwnAnswer::NotRun(NO_ROOM_RETRY_AFTER);
            return refuse(&gateway, &facts, answer, &exceeded.to_string());
        }
        Err(error) => return refuse(&gateway, &facts, body_answer(error), ""),
    };
    let running = match begin(&gateway, head, facts, body, arrived) {
        Ok(running) => running,
        Err(refused) => return refuse(&gateway, &refused.0, refused.1, ""),
    };
    if let Some(answer) = quarantine_answer(&gateway, &running).await {
        let response = own_answer(&gateway, &running, answer);
        return with_connection_close(&gateway, response);
    }
    let response = match serve_directly(&gateway, running).await {
        Ok(response) => response,
        Err(unserved) => relay::serve(&gateway, unserved).await,
    };
    with_connection_close(&gateway, response)
}

/// Serves the request by sending it to back ends.
///
/// # Errors
/// The request, if no back end answered it.
pub(crate) async fn serve_directly<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    running: RunningRequest,
) -> Result<Response<Body>, Unserved>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    if !has_path(gateway, &running) {
        let answer = OwnAnswer::NoPath(retry_after(running.work.objective));
        return Err(Unserved { running, answer });
    }
    request_spare_permit(gateway, &running);
    if running.work.kind.is_stream() {
        stream::serve(gateway, running).await
    } else {
        buffered::serve(gateway, running).await
    }
}

/// Finds the route and the caller's tenant, and creates the running request. Returns the
/// gateway's own answer if there is no route or the caller is not authenticated.
fn begin<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    mut head: hyper::http::request::Parts,
    facts: CallFacts,
    body: Bytes,
    arrived: Millis,
) -> Result<RunningRequest, Box<(CallFacts, OwnAnswer)>> {
    let mut forwarder = gateway.forwarder.borrow_mut();
    let Some(choice) = forwarder.route(&facts.host, head.uri.path()) else {
        let answer = if forwarder.is_confirmed() && forwarder.routes_version().is_some() {
            OwnAnswer::NoRoute
        } else {
            OwnAnswer::NotRun(gateway.expected_configuration_wait(arrived))
        };
        return Err(Box::new((facts, answer)));
    };
    let route = choice.route;
    let access = forwarder.authorize(&route, &facts.credential);
    let tenant = match access {
        Ok(tenant) => tenant,
        Err(denied) => {
            let answer = if forwarder.is_confirmed() {
                OwnAnswer::Unauthorized(denied)
            } else {
                OwnAnswer::NotRun(gateway.expected_configuration_wait(arrived))
            };
            return Err(Box::new((facts, answer)));
        }
    };
    let priority = forwarder.priority(&route, tenant);
    let tenant = tenant.map(|tenant| tenant.name.clone());
    if forwarder.asks_for_keys() {
        head.headers.remove(AUTHORIZATION);
    }
    forwarder.earn_repeats(&choice.service, arrived);
    let time = facts
        .deadline
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    drop(forwarder);
    let routed = Routed {
        priority,
        route,
        service: choice.service,
        tenant,
        due: arrived + time + CLOCK_STEP,
    };
    Ok(start(gateway, head, facts, body, arrived, routed))
}

/// Creates the running request for one that a peer gateway hands over. Returns `None` if the
/// route table in force has no route for it.
pub(crate) fn begin_relayed<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    head: hyper::http::request::Parts,
    mut facts: CallFacts,
    body: Bytes,
    handover: Handover,
) -> Option<RunningRequest> {
    let mut forwarder = gateway.forwarder.borrow_mut();
    let choice = forwarder.route(&facts.host, head.uri.path())?;
    let is_offered = |offered: &WeightedService| offered.service == handover.service;
    // The table may be newer than the peer's, and the newer one decides.
    let service = if choice.route.services.iter().any(is_offered) {
        handover.service
    } else {
        choice.service
    };
    let routed = Routed {
        priority: forwarder.priority_of(&choice.route, handover.tenant.as_ref()),
        route: choice.route,
        service,
        tenant: handover.tenant,
        due: handover.due,
    };
    drop(forwarder);
    facts.resume_after = handover.resume_after;
    let arrived = handover.arrived;
    let mut running = start(gateway, head, facts, body, arrived, routed);
    running.work.max_attempts = running.work.max_attempts.min(handover.attempts_left);
    running.usage_counted.set(handover.is_counted);
    running.is_relayed = true;
    running.work.build = handover.build;
    running._relayed = Some(OpenRequestGuard::begin(&gateway.relayed_requests));
    Some(running)
}

/// What the route table decides about a request.
struct Routed {
    route: Route,
    service: ServiceId,
    priority: u8,
    tenant: Option<TenantId>,
    due: Millis,
}

fn start<C: CallerPort, B: BackendPort>(
    gateway: &Rc<Gateway<C, B>>,
    mut head: hyper::http::request::Parts,
    mut facts: CallFacts,
    body: Bytes,
    arrived: Millis,
    routed: Routed,
) -> RunningRequest {
    let Routed {
        route,
        service,
        priority,
        tenant,
        due,
    } = routed;
    let mut forwarder = gateway.forwarder.borrow_mut();
    remove_connection_headers(&mut head.headers);
    if let Some(prompt) = &mut facts.prompt {
        forwarder.fill_in_likely_output(&service, prompt);
        forwarder.note_arrival(&service, prompt, arrived);
    }
    let work = Work {
        kind: route.kind,
        priority,
        objective: route.objective_ms,
        max_attempts: route.max_attempts.max(1),
        prompt: facts.prompt.clone(),
        is_deferred: false,
        build: None,
    };
    RunningRequest {
        call: Rc::new(Call::new(facts, head, body, tenant)),
        silence: SilenceLimits::of(&route),
        route,
        service,
        work,
        arrived,
        due,
        progress: Progress::default(),
        tried: Vec::new(),
        served_by: None,
        usage_counted: Rc::default(),
        is_relayed: false,
        part_sets: OnceCell::new(),
        answer_has_begun: false,
        is_prefilled: Cell::new(false),
        ended: Cell::new(false),
        _open: OpenRequestGuard::begin(&gateway.open_requests),
        _relayed: None,
    }
}

pub(crate) fn body_limits(limits: CallerLimits) -> Limits {
    Limits {
        body_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
        body_time: BODY_TIMEOUT,
        ..Limits::default()
    }
}

fn body_answer(error: BodyError) -> OwnAnswer {
    match error {
        BodyError::TooLarge => OwnAnswer::TooLarge,
        BodyError::CutOff => OwnAnswer::BadRequest,
        BodyError::TooSlow => OwnAnswer::TooSlow,
        BodyError::NoRoom(_) => OwnAnswer::NotRun(NO_ROOM_RETRY_AFTER),
    }
}

/// The answer to a request that is quarantined, which reaches no engine. While it is open
/// whether engines crashed or the path to them is lost, the request waits for the decision.
pub(crate) async fn quarantine_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> Option<OwnAnswer> {
    let RunningRequest {
        call,
        due,
        is_relayed,
        ..
    } = running;
    let decided = async {
        until_path_is_decided(gateway, running).await;
        None
    };
    let late = async { Some(last_answer(gateway, call, *due, *is_relayed).await) };
    let last_answer = smol::future::or(decided, late).await;
    last_answer.or_else(|| refusal_of_quarantined(gateway, running))
}

async fn until_path_is_decided<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) {
    let until = gateway.now() + MAX_DECISION_WAIT;
    while is_quarantined(gateway, running)
        && gateway.forwarder.borrow().has_suspected_path()
        && gateway.now() < until
    {
        Timer::after(DECISION_CHECK_INTERVAL).await;
    }
}

fn refusal_of_quarantined<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> Option<OwnAnswer> {
    let fingerprint = match quarantine(gateway, running) {
        Some(Quarantine {
            status: QuarantineStatus::Refused,
            cause,
        }) => cause,
        _ => return None,
    };
    let refused_for = {
        let forwarder = gateway.forwarder.borrow();
        forwarder.refused_for(fingerprint, gateway.now())
    };
    log::info!(
        request = running.call.facts.id.as_str(),
        fingerprint = fingerprint.to_string().as_str(),
        refused_for_ms = refused_for.0;
        "request_quarantined"
    );
    Some(OwnAnswer::Quarantined(refused_for))
}

/// Counts in usage that a back end began to run the request at `began`. `usage_counted` is
/// set then, so that retries are not counted again.
pub(crate) fn count_usage_once<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    usage_counted: &Cell<bool>,
    began: Millis,
) {
    if !usage_counted.replace(true) {
        gateway.count_usage(call.tenant.as_ref(), began);
    }
}

/// The gateway's own answer to a request that is refused before it is routed.
fn refuse<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    facts: &CallFacts,
    answer: OwnAnswer,
    detail: &str,
) -> Response<Body> {
    log::info!(
        request = facts.id.as_str(),
        host = facts.host.as_str(),
        outcome = answer.as_str(),
        detail = detail,
        routes_version = gateway.forwarder.borrow().routes_version().unwrap_or_default();
        "request_refused"
    );
    gateway.metrics.refused(answer.as_str());
    let mut response = answer.response(detail);
    gateway.callers.mark(&mut response, facts);
    with_connection_close(gateway, response)
}

/// The answer to a request that was given up.
fn given_up_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    given_up: GivenUp,
) -> OwnAnswer {
    match given_up {
        GivenUp::NotRun if is_refused_by_stop(gateway, running) => OwnAnswer::Stopping,
        GivenUp::NotRun => {
            let all_in_backoff = all_in_backoff(gateway, running);
            let default_retry_after = retry_after(running.work.objective);
            OwnAnswer::NotRun(all_in_backoff.unwrap_or(default_retry_after))
        }
        GivenUp::InDoubt => OwnAnswer::InDoubt,
    }
}

/// The gateway's own final answer to a request in flight.
pub(crate) fn own_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    answer: OwnAnswer,
) -> Response<Body> {
    record_end(gateway, running, answer.as_str(), 0);
    let mut response = answer.response("");
    gateway.callers.mark(&mut response, &running.call.facts);
    response.extensions_mut().insert(answer);
    response
}

/// Logs and counts the end of a request.
pub(crate) fn record_end<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    outcome: &str,
    status: u16,
) {
    running.ended.set(true);
    let took = gateway.now().since(running.arrived);
    let backend = running.served_by.as_ref().map_or("", BackendId::as_str);
    log::info!(
        request = running.call.facts.id.as_str(),
        route = running.route.name.as_str(),
        kind = running.work.kind.as_str(),
        service = running.service.as_str(),
        backend = backend,
        ran = running.progress.ran,
        rejected = running.progress.rejected,
        unreachable = running.progress.unreachable,
        outcome = outcome,
        status = status,
        took_ms = took.0;
        "request_ended"
    );
    note_answer_time(gateway, running, outcome, status);
    gateway
        .metrics
        .request(&running.route.name, running.work.kind, outcome, took);
}

/// Logs that no back end can take a request, and how many are open and known.
pub(crate) fn log_no_back_end<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) {
    let now = gateway.now();
    let forwarder = gateway.forwarder.borrow();
    let (open, known) = forwarder.open_backends(now);
    log::info!(
        request = running.call.facts.id.as_str(),
        service = running.service.as_str(),
        tried = running.tried.len(),
        open_backends = open,
        known_backends = known,
        index = forwarder.configuration_index();
        "no_back_end"
    );
}

/// Asks the caller to close its connection during a planned stop.
pub(crate) fn with_connection_close<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    mut response: Response<Body>,
) -> Response<Body> {
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
