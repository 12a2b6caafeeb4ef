//! Hands requests to relays.

use std::net::SocketAddr;
use std::rc::Rc;

use garnet_forwarding::AttemptEnd;
use garnet_runtime::client::HttpError;
use garnet_runtime::{Body, Exchange, announces_close, bytes_body};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, Response};

use crate::answers::{OwnAnswer, retry_after};
use crate::attempt::MAX_REST_TIME;
use crate::buffered::{MAX_ANSWER_BYTES, copy_head};
use crate::failover::{is_allowed, take_repeat};
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{RunningRequest, Unserved, own_answer, record_end};
use crate::stopping::{is_refused_by_stop, last_answer};

use super::answer::RelayedAnswer;
use super::message::{
    RelayOutcome, RelayVersion, RelayedCall, take_build, take_framing, take_version, write_build,
};
use super::stream;

/// Maximum number of relays that one request is handed to.
const MAX_RELAYS: usize = 3;
/// Longest body of a relay's own answer.
const MAX_OWN_ANSWER_BYTES: usize = 64 * 1024;

/// Hands a request that this gateway could not serve to a relay, if another gateway may be
/// able to serve it, and answers it otherwise.
pub(crate) async fn serve<C, B>(gateway: &Rc<Gateway<C, B>>, unserved: Unserved) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let Unserved { running, answer } = unserved;
    if !may_relay(gateway, &running, answer) {
        return own_answer(gateway, &running, answer);
    }
    let (call, due) = (Rc::clone(&running.call), running.due);
    let mut relaying = Relaying::new(gateway, running);
    let answering = async {
        if relaying.running.work.kind.is_stream() {
            relaying
                .open()
                .await
                .map(|answer| Opened::Stream(Box::new(answer)))
        } else {
            relaying.read_whole().await.map(Opened::Whole)
        }
    };
    let late = async { Err(last_answer(gateway, &call, due, false).await) };
    match smol::future::or(answering, late).await {
        Ok(Opened::Whole(response)) => {
            let status = response.status().as_u16();
            record_end(gateway, &relaying.running, "answered", status);
            *response
        }
        Ok(Opened::Stream(answer)) => stream::pass_on(relaying, *answer),
        Err(own) => own_answer(gateway, &relaying.running, own),
    }
}

enum Opened<C: CallerPort + 'static, B: BackendPort + 'static> {
    Whole(Box<Response<Body>>),
    Stream(Box<RelayedAnswer<C, B>>),
}

/// Whether another gateway may be able to serve a request that this one answers with
/// `answer`. A retry is taken from the budget if the request may have run.
fn may_relay<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    answer: OwnAnswer,
) -> bool {
    if running.is_relayed || !running.lacks_path(gateway) {
        return false;
    }
    match answer {
        OwnAnswer::NotRun(_) | OwnAnswer::NoPath(_) => true,
        OwnAnswer::InDoubt => running.may_run_again() && take_repeat(gateway, running),
        _ => false,
    }
}

/// How a request at a relay ended without an answer to pass on.
enum RelayEnd {
    /// Nothing of the request can have arrived.
    Unsent,
    /// The relay does not take the request, which has not run.
    Unavailable,
    /// The relay has begun a planned stop and does not take the request, which has not run.
    Stopping,
    /// The relay is of an earlier build than the request needs, and does not take it.
    EarlierBuild,
    /// The relay has no path to the service either; the request has not run.
    NoPath,
    /// The relay's own final answer.
    Own(OwnAnswer),
    /// The relay is at the end of a planned stop. The request may have run, and there is no answer.
    Left,
    /// The request may have run, and there is no answer.
    Broken,
}

impl RelayEnd {
    fn as_str(&self) -> &'static str {
        match self {
            RelayEnd::Unsent => "unsent",
            RelayEnd::Unavailable => "unavailable",
            RelayEnd::Stopping => "stopping",
            RelayEnd::EarlierBuild => "earlier_build",
            RelayEnd::NoPath => "no_path",
            RelayEnd::Own(answer) => answer.as_str(),
            RelayEnd::Left => "left",
            RelayEnd::Broken => "broken",
        }
    }
}

/// A request that is handed to relays.
pub(super) struct Relaying<C: CallerPort + 'static, B: BackendPort + 'static> {
    pub(super) gateway: Rc<Gateway<C, B>>,
    pub(super) running: RunningRequest,
    /// Id of the last event that the caller has.
    pub(super) resume_after: Option<String>,
    tried: Vec<SocketAddr>,
    /// Number of relays in `tried` that stop, or whose build is too early for the request.
    not_counted: usize,
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Relaying<C, B> {
    fn new(gateway: &Rc<Gateway<C, B>>, running: RunningRequest) -> Self {
        let resume_after = running.call.facts.resume_after.clone();
        Self::resuming(gateway, running, resume_after)
    }

    /// A stream of which the caller has the events up to `resume_after`.
    pub(super) fn resuming(
        gateway: &Rc<Gateway<C, B>>,
        running: RunningRequest,
        resume_after: Option<String>,
    ) -> Self {
        Relaying {
            gateway: Rc::clone(gateway),
            resume_after,
            running,
            tried: Vec::new(),
            not_counted: 0,
        }
    }

    /// Tries relays until a back end's answer begins.
    ///
    /// # Errors
    /// The answer to the caller, if there is none.
    pub(super) async fn open(&mut self) -> Result<RelayedAnswer<C, B>, OwnAnswer> {
        while let Some(relay) = self.next_relay() {
            self.tried.push(relay);
            match self.send(relay).await {
                Ok(answer) => return Ok(answer),
                Err(RelayEnd::Own(answer)) => return Err(self.truthful(answer)),
                Err(RelayEnd::Broken | RelayEnd::Left) => self.on_broken()?,
                Err(RelayEnd::EarlierBuild | RelayEnd::Stopping) => self.not_counted += 1,
                Err(RelayEnd::Unsent | RelayEnd::Unavailable | RelayEnd::NoPath) => {}
            }
        }
        Err(self.given_up())
    }

    async fn read_whole(&mut self) -> Result<Box<Response<Body>>, OwnAnswer> {
        loop {
            let mut answer = self.open().await?;
            let head = copy_head(&answer.exchange);
            match answer.exchange.read_whole(MAX_ANSWER_BYTES).await {
                Ok(body) => {
                    answer.finish();
                    return Ok(Box::new(Response::from_parts(head, bytes_body(body))));
                }
                Err(error) => {
                    self.log_broken(&error.to_string());
                    self.on_broken()?;
                }
            }
        }
    }

    fn next_relay(&self) -> Option<SocketAddr> {
        let asked = self.tried.len() - self.not_counted;
        if asked >= MAX_RELAYS || !is_allowed(&self.gateway, &self.running) {
            return None;
        }
        let RunningRequest { service, work, .. } = &self.running;
        let relays = self.gateway.relays.borrow();
        relays.choose(service, work.kind, &self.tried, self.gateway.now())
    }

    /// Counts an attempt that may have run.
    ///
    /// # Errors
    /// The answer to the caller, if the request may not run again.
    pub(super) fn on_broken(&mut self) -> Result<(), OwnAnswer> {
        self.running.progress.note(AttemptEnd::Broken);
        self.running.usage_counted.set(true);
        if self.running.may_run_again() && take_repeat(&self.gateway, &self.running) {
            return Ok(());
        }
        Err(OwnAnswer::InDoubt)
    }

    /// The relay that has the request or had it last.
    pub(super) fn last_relay(&self) -> Option<SocketAddr> {
        self.tried.last().copied()
    }

    fn given_up(&self) -> OwnAnswer {
        let has_not_run = self.running.progress.surely_not_run();
        if has_not_run && is_refused_by_stop(&self.gateway, &self.running) {
            return OwnAnswer::Stopping;
        }
        self.truthful(OwnAnswer::NoPath(retry_after(self.running.work.objective)))
    }

    /// The answer, or that the request is in doubt: a relay knows nothing of the attempts
    /// before its own.
    fn truthful(&self, answer: OwnAnswer) -> OwnAnswer {
        if answer.promises_not_run() && !self.running.progress.surely_not_run() {
            return OwnAnswer::InDoubt;
        }
        answer
    }

    async fn send(&self, relay: SocketAddr) -> Result<RelayedAnswer<C, B>, RelayEnd> {
        self.running.call.note_work_begins(self.gateway.now());
        self.running.call.begin_attempt();
        let sent = self.exchange(relay).await;
        if let Err(
            RelayEnd::Unsent
            | RelayEnd::Unavailable
            | RelayEnd::Stopping
            | RelayEnd::EarlierBuild
            | RelayEnd::NoPath,
        ) = sent
        {
            self.running.call.attempt_did_not_run();
        }
        let outcome = match &sent {
            Ok(_) => "answered",
            Err(end) => end.as_str(),
        };
        self.gateway.metrics.relayed(outcome);
        log::info!(
            request = self.running.call.facts.id.as_str(),
            service = self.running.service.as_str(),
            relay = relay.to_string().as_str(),
            outcome = outcome,
            remaining_ms = self.running.remaining(self.gateway.now()).0;
            "request_relayed"
        );
        sent
    }

    async fn exchange(&self, relay: SocketAddr) -> Result<RelayedAnswer<C, B>, RelayEnd> {
        let guard = RelayGuard::begin(&self.gateway, relay);
        let address = relay.to_string();
        let sent = self.gateway.pool.send(&address, self.request()).await;
        let mut exchange = sent.map_err(|error| self.on_error(relay, &error))?;
        let outcome = RelayOutcome::take(&mut exchange.head.headers);
        let version = take_version(&mut exchange.head.headers);
        let framing = take_framing(&mut exchange.head.headers);
        exchange.set_framing(framing);
        let build = take_build(&mut exchange.head.headers);
        let closes = announces_close(&exchange.head.headers);
        match self.on_outcome(relay, version, outcome, closes) {
            Ok(()) => Ok(RelayedAnswer {
                exchange,
                guard,
                build,
            }),
            Err(end) => {
                self.discard_rest(exchange, guard);
                Err(end)
            }
        }
    }

    fn on_error(&self, relay: SocketAddr, error: &HttpError) -> RelayEnd {
        let now = self.gateway.now();
        self.gateway.relays.borrow_mut().unavailable(relay, now);
        match error {
            HttpError::NotSent(_) | HttpError::Withheld => RelayEnd::Unsent,
            HttpError::Broken(_)
            | HttpError::NoAnswer(_)
            | HttpError::TooLong(_)
            | HttpError::NoRoom(_)
            | HttpError::TimedOut => RelayEnd::Broken,
        }
    }

    fn on_outcome(
        &self,
        relay: SocketAddr,
        version: RelayVersion,
        outcome: Option<RelayOutcome>,
        closes: bool,
    ) -> Result<(), RelayEnd> {
        let mut relays = self.gateway.relays.borrow_mut();
        match outcome {
            Some(RelayOutcome::Answered) => {
                relays.answered(relay);
                Ok(())
            }
            // A gateway closes the connections of its peers from the start of a planned stop on.
            Some(RelayOutcome::Unavailable) if closes => {
                relays.stopping(relay, self.gateway.now());
                Err(RelayEnd::Stopping)
            }
            Some(RelayOutcome::Left) => {
                relays.stopping(relay, self.gateway.now());
                Err(RelayEnd::Left)
            }
            Some(RelayOutcome::Unavailable) if version < self.required_version() => {
                if version < RelayVersion::required_for(self.running.work.kind) {
                    relays.declines_single_runs(relay);
                } else {
                    relays.answered(relay);
                }
                Err(RelayEnd::EarlierBuild)
            }
            Some(RelayOutcome::Unavailable) => {
                relays.unavailable(relay, self.gateway.now());
                Err(RelayEnd::Unavailable)
            }
            Some(RelayOutcome::Own(OwnAnswer::NoPath(_))) => {
                relays.lacks_path(relay, &self.running.service);
                Err(RelayEnd::NoPath)
            }
            Some(RelayOutcome::Own(answer)) => {
                relays.answered(relay);
                Err(RelayEnd::Own(answer))
            }
            // Whatever listens there now may have run the request.
            None => Err(RelayEnd::Broken),
        }
    }

    /// Discards the rest of a relay's own answer while the request goes on elsewhere.
    fn discard_rest(&self, exchange: Exchange, guard: RelayGuard<C, B>) {
        let discarding = async move {
            let rest = exchange.discard_rest(MAX_OWN_ANSWER_BYTES, MAX_REST_TIME);
            rest.await;
            drop(guard);
        };
        self.gateway.executor.spawn(discarding).detach();
    }

    /// The earliest version of relays that may take the request.
    fn required_version(&self) -> RelayVersion {
        let RunningRequest { work, .. } = &self.running;
        let of_kind = RelayVersion::required_for(work.kind);
        if self.resume_after.is_none() {
            return of_kind;
        }
        // Relays of the first version ignore builds.
        let of_resumption = match work.build {
            Some(_) => RelayVersion::MATCHES_ANSWERS,
            None => RelayVersion::KNOWS_BUILDS,
        };
        of_kind.max(of_resumption)
    }

    /// Builds the request for a relay.
    fn request(&self) -> Request<Full<Bytes>> {
        let RunningRequest { call, work, .. } = &self.running;
        let progress = &self.running.progress;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.head.method.clone();
        let path = call.head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = call.head.headers.clone();
        if !request.headers().contains_key(HOST)
            && let Ok(host) = call.facts.host.parse()
        {
            request.headers_mut().insert(HOST, host);
        }
        let now = self.gateway.now();
        let relayed_call = RelayedCall {
            version: self.required_version(),
            routes_version: self
                .gateway
                .forwarder
                .borrow()
                .routes_version()
                .unwrap_or_default(),
            service: self.running.service.clone(),
            tenant: call.tenant.clone(),
            elapsed: now.since(self.running.arrived),
            remaining: self.running.remaining(now),
            attempts_left: work
                .max_attempts
                .saturating_sub(progress.ran + progress.silent)
                .max(1),
            resume_after: self.resume_after.clone(),
            is_counted: self.running.usage_counted.get(),
        };
        relayed_call.write(request.headers_mut());
        write_build(work.build.as_ref(), request.headers_mut());
        request
    }

    pub(super) fn log_broken(&self, cause: &str) {
        log::info!(
            request = self.running.call.facts.id.as_str(),
            after = self.resume_after.as_deref().unwrap_or_default(),
            cause = cause;
            "relay_broken"
        );
    }
}

/// Counts a request as in flight at a relay until dropped.
pub(super) struct RelayGuard<C, B> {
    gateway: Rc<Gateway<C, B>>,
    relay: SocketAddr,
}

impl<C, B> RelayGuard<C, B> {
    fn begin(gateway: &Rc<Gateway<C, B>>, relay: SocketAddr) -> Self {
        gateway.relays.borrow_mut().sent(relay);
        RelayGuard {
            gateway: Rc::clone(gateway),
            relay,
        }
    }
}

impl<C, B> Drop for RelayGuard<C, B> {
    fn drop(&mut self) {
        self.gateway.relays.borrow_mut().ended(self.relay);
    }
}
