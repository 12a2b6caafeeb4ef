//! The search for an engine that answers a stream: engines are tried one after another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use garnet_forwarding::{AttemptEnd, GivenUp, NotRunReason, Placement, Progress};
use garnet_runtime::{Body, bytes_body};
use garnet_types::{BackendId, Framing, Millis};
use hyper::Response;
use smol::Timer;

use crate::attempt::OpenAnswer;
use crate::buffered::copy_head;
use crate::event_reader::Received;
use crate::failover::{
    admit_hedge, can_fail_over, has_path, is_allowed, is_path_suspected, is_suspected, may_be_sent,
    on_attempt_ended, take_repeat,
};
use crate::gateway::Gateway;
use crate::kv_transfer::WaitingCache;
use crate::ports::{BackendPort, CallerPort, JobPhase};
use crate::request::RunningRequest;
use crate::unread_answer::note_unread_failure;

use super::engine_run::EngineRun;

/// Longest failure answer of an engine that is passed on.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;
/// How often a stream that waits for the verdict on its path checks it.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The search for engines that answer a request.
pub(super) struct Search<C: CallerPort + 'static, B: BackendPort + 'static> {
    pub(super) gateway: Rc<Gateway<C, B>>,
    pub(super) running: RunningRequest,
    /// Id of the last complete event that the caller has, after which an engine resumes.
    pub(super) resume_after: Option<String>,
    /// The KV cache of the prefilled prompt, for a decode engine.
    pub(super) cache: Option<WaitingCache<C, B>>,
    /// Engines that had no room to prefill the prompt and decode it.
    pub(super) full_for_prompt: Vec<BackendId>,
    /// Whether an engine has already prefilled the prompt for this request.
    pub(super) was_prefilled: bool,
    /// An engine's failure answer, which is passed on if no other engine answers.
    failure: Option<Box<Response<Body>>>,
    /// Whether only an answer whose end is marked is of use.
    pub(super) needs_marked_end: bool,
    /// Set while an engine has the request and the end of the attempt is not yet noted. If
    /// the search is dropped meanwhile, the request may have run there.
    pub(super) may_run: Rc<Cell<bool>>,
    /// Whether a retry was taken from the budget for an attempt that has not been sent.
    pub(super) has_unused_repeat: bool,
}

/// An engine that answers, and what was received from it first.
pub(super) struct Found<C: CallerPort, B: BackendPort> {
    pub(super) run: EngineRun<C, B>,
    pub(super) first: Received,
}

/// Why no engine streams an answer.
pub(super) enum NotStreamed {
    GivenUp(GivenUp),
    /// The request would wait too long; it may be retried after this time.
    Busy(Millis),
    /// An engine's own answer, which is not a stream.
    Answered(Box<Response<Body>>),
}

impl NotStreamed {
    /// Prefers an engine's failure answer, which says more than that the request was given
    /// up.
    pub(super) fn or_answered(self, failure: Option<Box<Response<Body>>>) -> Self {
        match (self, failure) {
            (NotStreamed::GivenUp(_), Some(failure)) => NotStreamed::Answered(failure),
            (not_streamed, _) => not_streamed,
        }
    }
}

/// An engine's answer, `None` if the prompt was prefilled but not yet decoded, or how the
/// attempt ended.
pub(super) type Opened<C, B> = Result<Option<OpenAnswer<C, B>>, AttemptEnd>;

impl<C: CallerPort + 'static, B: BackendPort + 'static> Search<C, B> {
    pub(super) fn new(gateway: &Rc<Gateway<C, B>>, running: RunningRequest) -> Self {
        Search {
            gateway: Rc::clone(gateway),
            resume_after: running.call.facts.resume_after.clone(),
            running,
            cache: None,
            full_for_prompt: Vec::new(),
            was_prefilled: false,
            failure: None,
            needs_marked_end: false,
            may_run: Rc::default(),
            has_unused_repeat: false,
        }
    }

    /// Takes the failure answer of an engine, if there was one.
    pub(super) fn take_failure(&mut self) -> Option<Box<Response<Body>>> {
        self.failure.take()
    }

    /// Finds an engine that answers and waits for its first event. Until then the caller has
    /// received nothing, so another engine may begin instead.
    pub(super) async fn find_run(&mut self) -> Result<Found<C, B>, NotStreamed> {
        loop {
            let open = self.open().await?;
            if !open.exchange.head.status.is_success() {
                self.on_failure_answer(open).await?;
                continue;
            }
            if self.needs_marked_end && open.exchange.framing() == Framing::UntilClose {
                drop(open);
                self.handle_attempt_end(AttemptEnd::Broken)?;
                continue;
            }
            let kind = self.running.work.kind;
            let mut run =
                EngineRun::new(open, self.resume_after.clone(), kind, &self.gateway.budget);
            match run.next().await {
                Received::Broke(cause) => {
                    run.broke_off(&self.running.call, &cause);
                    let cause = cause.to_string();
                    self.log_broken(self.running.served_by.as_ref(), &cause);
                    self.handle_attempt_end(AttemptEnd::Broken)?;
                }
                first => {
                    self.may_run.set(false);
                    return Ok(Found { run, first });
                }
            }
        }
    }

    /// Begins to hedge the current engine, which is silent. Returns `false` if there is no
    /// other engine, or the service's retry budget is spent.
    pub(super) fn begin_hedge(&mut self) -> bool {
        self.note_tried();
        let begins = can_fail_over(&self.gateway, &self.running, true)
            && admit_hedge(&self.gateway, &mut self.running, Progress::silent_begun);
        if begins {
            self.has_unused_repeat = true;
            log::info!(
                request = self.running.call.facts.id.as_str(),
                backend = self.running.served_by.as_ref().map_or("", BackendId::as_str),
                after = self.resume_after.as_deref().unwrap_or_default();
                "stream_silent"
            );
        }
        begins
    }

    /// Cleans up after a search that was dropped before its end: drops its KV cache, and
    /// counts an attempt that was still open as broken off.
    pub(super) fn cancel(&mut self) {
        self.cache = None;
        if self.may_run.take() {
            self.running.progress.note(AttemptEnd::Broken);
        }
    }

    fn note_tried(&mut self) {
        if let Some(backend) = &self.running.served_by
            && !self.running.tried.contains(backend)
        {
            self.running.tried.push(backend.clone());
        }
    }

    /// Notes that an attempt ended with `end`; an error means that no other may follow.
    pub(super) fn handle_attempt_end(&mut self, end: AttemptEnd) -> Result<(), NotStreamed> {
        self.may_run.set(false);
        self.note_tried();
        let ended = on_attempt_ended(&self.gateway, &mut self.running, end);
        self.has_unused_repeat |= ended.is_ok() && self.running.progress.has_arrived();
        ended.map_err(NotStreamed::GivenUp)
    }

    /// Whether the rest of a stream that has begun may be handed to a relay: no engine is reached
    /// from here, and the request may run once more. A retry is taken from the budget unless one
    /// was taken for an attempt that was not sent.
    pub(super) fn may_hand_over(&mut self) -> bool {
        let running = &self.running;
        self.relay_may_resume()
            && !has_path(&self.gateway, running)
            && is_allowed(&self.gateway, running)
            && !is_suspected(&self.gateway, running)
            && (std::mem::take(&mut self.has_unused_repeat) || take_repeat(&self.gateway, running))
    }

    /// Whether a relay might resume the stream if the path were lost.
    fn relay_may_resume(&self) -> bool {
        !self.running.is_relayed && self.running.may_run_again()
    }

    /// Waits while it is open whether the path to the engines is lost, if a relay might then resume
    /// the stream: it need not use up its attempts before.
    pub(super) async fn path_decided(&self) {
        while self.relay_may_resume() && is_path_suspected(&self.gateway, &self.running) {
            Timer::after(PATH_CHECK_INTERVAL).await;
        }
    }

    /// Handles a failure answer of an engine. Another engine starts again if the work may be
    /// repeated; otherwise the failure is passed on.
    async fn on_failure_answer(&mut self, mut open: OpenAnswer<C, B>) -> Result<(), NotStreamed> {
        let head = copy_head(&open.exchange);
        let is_fault = head.status.is_server_error();
        if is_fault {
            open.guard.failed();
        }
        let body = match open.exchange.read_whole(MAX_FAILURE_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                note_unread_failure(&mut open.guard, &error);
                let cause = error.to_string();
                self.log_broken(self.running.served_by.as_ref(), &cause);
                return self.handle_attempt_end(AttemptEnd::Broken);
            }
        };
        open.exchange.finish();
        let answer = Box::new(Response::from_parts(head, bytes_body(body)));
        if is_fault && self.handle_attempt_end(AttemptEnd::Failed).is_ok() {
            self.failure = Some(answer);
            return Ok(());
        }
        Err(NotStreamed::Answered(answer))
    }

    pub(super) fn log_broken(&self, backend: Option<&BackendId>, cause: &str) {
        log::info!(
            request = self.running.call.facts.id.as_str(),
            backend = backend.map_or("", BackendId::as_str),
            after = self.resume_after.as_deref().unwrap_or_default(),
            cause = cause;
            "stream_broken"
        );
    }

    /// Tries engines until one answers.
    pub(super) async fn open(&mut self) -> Result<OpenAnswer<C, B>, NotStreamed> {
        loop {
            let opened = match self.cache.take() {
                Some(cache) => self.decode(cache).await,
                None => self.send_next().await?,
            };
            match opened {
                Ok(Some(open)) => return Ok(open),
                Ok(None) => {}
                Err(end) => self.handle_attempt_end(end)?,
            }
        }
    }

    /// Sends the whole request to one engine, or its prompt to a prefill engine. Returns
    /// `None` as answer if a prefilled prompt waits for its decode engine.
    async fn send_next(&mut self) -> Result<Opened<C, B>, NotStreamed> {
        self.running.is_prefilled.set(false);
        if self.running.answer_has_begun {
            self.path_decided().await;
        }
        if !may_be_sent(&self.gateway, &self.running) {
            return Err(NotStreamed::GivenUp(self.running.progress.given_up()));
        }
        let placement = if self.is_new() {
            self.place_new()?
        } else {
            self.place()
        };
        let placement = match placement {
            Some(placement) => placement,
            None => self.place_with_permit().await?,
        };
        match placement {
            Placement::One(backend) => {
                let job = self.job(JobPhase::Whole, backend.clone());
                let sent = self.send(&job).await;
                if matches!(sent, Err(AttemptEnd::NotRun(NotRunReason::Full))) {
                    self.full_for_prompt.push(backend);
                }
                Ok(sent.map(Some))
            }
            Placement::Handover {
                prefill_engine,
                copy_from,
            } => {
                // The first prefill takes no retry from the service's retry budget. Each later
                // one takes one, in addition to the retry for the decode that follows it.
                if self.was_prefilled && !take_repeat(&self.gateway, &self.running) {
                    return Err(NotStreamed::GivenUp(self.running.progress.given_up()));
                }
                let source = copy_from.and_then(|holder| self.copy_source(holder));
                self.prefill_at(prefill_engine, source).await
            }
        }
    }
}
