//! Which engines a stream is sent to, one after the other, until one answers.

use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;

use garnet_forwarding::{Admission, AttemptEnd, GivenUp, NotRunReason, Placement, Progress};
use garnet_quarantine::Standing;
use garnet_runtime::{Body, bytes_body};
use garnet_types::{BackendId, Millis};
use hyper::Response;

use crate::attempt::{OpenAnswer, attempt, failed_with, log_failure, note_silent, within};
use crate::gateway::Gateway;
use crate::handover::{WaitingCache, prefill, prefill_time_limit};
use crate::ports::{BackendPort, CallerPort, CopySource, Job, JobPhase};
use crate::request::{
    Running, apart, can_go_elsewhere, go_on, go_on_beside, log_no_back_end, may_be_sent,
    may_repeat, standing,
};
use crate::stopping::outlasts_stop;
use crate::whole::copy_head;

use super::engine_run::{EngineRun, Heard};

/// Longest failure of an engine's own that is passed on, in bytes.
const LONGEST_FAILURE: usize = 1024 * 1024;

/// The search for engines that answer a request.
pub(super) struct Search<C: CallerPort + 'static, B: BackendPort + 'static> {
    gateway: Rc<Gateway<C, B>>,
    pub(super) running: Running,
    /// The last whole event that the caller has, for an engine to go on after.
    pub(super) resume_after: Option<String>,
    /// The prompt as one engine read it, for another to go on from.
    cache: Option<WaitingCache<C, B>>,
    /// Engines that had no room to read the prompt and to generate.
    no_room_for_prompt: Vec<BackendId>,
    /// Whether an engine has read the prompt for this request before.
    was_read: bool,
    /// An engine's failure, to be passed on where no other engine answers.
    failure: Option<Box<Response<Body>>>,
    /// Set while an engine was sent the request and its end is not noted: where
    /// the search is dropped now, it may have run there.
    may_run: Rc<Cell<bool>>,
}

/// An engine that answers, and the first that it said.
pub(super) struct Found<C: CallerPort, B: BackendPort> {
    pub(super) run: EngineRun<C, B>,
    pub(super) first: Heard,
}

/// Why no engine answers.
pub(super) enum Refused {
    GivenUp(GivenUp),
    /// It would wait for too long: when to come back.
    Busy(Millis),
    /// The engine's own answer, which is no stream.
    Answered(Box<Response<Body>>),
}

impl Refused {
    /// An engine's own failure tells more than that the request was given up.
    pub(super) fn or_answered(self, failure: Option<Box<Response<Body>>>) -> Self {
        match (self, failure) {
            (Refused::GivenUp(_), Some(failure)) => Refused::Answered(failure),
            (refused, _) => refused,
        }
    }
}

/// An engine's answer, or none yet where the prompt was prefilled; or how the attempt
/// ended.
type Opened<C, B> = Result<Option<OpenAnswer<C, B>>, AttemptEnd>;

/// What came of a prefill and of the engines that were asked beside it.
enum Beside<C: CallerPort + 'static, B: BackendPort + 'static> {
    /// How the prefill ended.
    Read(Result<WaitingCache<C, B>, AttemptEnd>),
    /// Another engine answers.
    Answer(Box<OpenAnswer<C, B>>),
}

/// Which of the two came to an end first.
enum First<C: CallerPort + 'static, B: BackendPort + 'static> {
    Slow(Result<WaitingCache<C, B>, AttemptEnd>),
    Others(Result<Box<OpenAnswer<C, B>>, Refused>),
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Search<C, B> {
    pub(super) fn new(gateway: &Rc<Gateway<C, B>>, running: Running) -> Self {
        Search {
            gateway: Rc::clone(gateway),
            resume_after: running.call.facts.resume_after.clone(),
            running,
            cache: None,
            no_room_for_prompt: Vec::new(),
            was_read: false,
            failure: None,
            may_run: Rc::default(),
        }
    }

    /// An engine's own failure, where one was met.
    pub(super) fn take_failure(&mut self) -> Option<Box<Response<Body>>> {
        self.failure.take()
    }

    /// Finds an engine that answers, and waits for its first event: until then
    /// it has promised nothing, and another engine may begin in its place.
    pub(super) async fn find_run(&mut self) -> Result<Found<C, B>, Refused> {
        loop {
            let open = self.open().await?;
            if !open.exchange.head.status.is_success() {
                self.after_failure(open).await?;
                continue;
            }
            let kind = self.running.work.kind;
            let mut run = EngineRun::new(open, self.resume_after.clone(), kind);
            match run.next().await {
                Heard::Broke(cause) => {
                    run.broke_off(&self.running.call);
                    self.log_broken(self.running.served_by.as_ref(), &cause);
                    self.after(AttemptEnd::Broken)?;
                }
                first => {
                    self.may_run.set(false);
                    return Ok(Found { run, first });
                }
            }
        }
    }

    /// Begins to look for an engine that goes on beside the present one, which
    /// is silent; `false` where there is none, or no repeat for it.
    pub(super) fn begin_beside(&mut self) -> bool {
        self.note_tried();
        let begins = can_go_elsewhere(&self.gateway, &self.running, true)
            && go_on_beside(&self.gateway, &mut self.running, Progress::keep);
        if begins {
            log::info!(
                request = self.running.call.facts.id.as_str(),
                backend = self.running.served_by.as_ref().map_or("", BackendId::as_str),
                after = self.resume_after.as_deref().unwrap_or_default();
                "stream_silent"
            );
        }
        begins
    }

    /// Ends a search that was dropped on its way.
    pub(super) fn call_off(&mut self) {
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

    /// Whether to go on after an attempt that ended with `end`.
    pub(super) fn after(&mut self, end: AttemptEnd) -> Result<(), Refused> {
        self.may_run.set(false);
        self.note_tried();
        go_on(&self.gateway, &mut self.running, end).map_err(Refused::GivenUp)
    }

    /// The engine answered with a failure of its own. Another engine may begin
    /// anew where the work may be repeated; else the failure is passed on.
    async fn after_failure(&mut self, mut open: OpenAnswer<C, B>) -> Result<(), Refused> {
        let head = copy_head(&open.exchange.head);
        let is_fault = head.status.is_server_error();
        if is_fault {
            open.guard.failed();
        }
        let Ok(body) = open.exchange.read_whole(LONGEST_FAILURE).await else {
            return self.after(AttemptEnd::Broken);
        };
        open.exchange.finish();
        let answer = Box::new(Response::from_parts(head, bytes_body(body)));
        if is_fault && self.after(AttemptEnd::Failed).is_ok() {
            self.failure = Some(answer);
            return Ok(());
        }
        Err(Refused::Answered(answer))
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

    /// Places the request until an engine answers.
    async fn open(&mut self) -> Result<OpenAnswer<C, B>, Refused> {
        loop {
            let opened = match self.cache.take() {
                Some(cache) => self.generate(cache).await,
                None => self.begin().await?,
            };
            match opened {
                Ok(Some(open)) => return Ok(open),
                Ok(None) => {}
                Err(end) => self.after(end)?,
            }
        }
    }

    /// Has one engine do all of it, or one engine read the prompt for another.
    /// Gives no answer where a prompt was prefilled that waits for its decode engine.
    async fn begin(&mut self) -> Result<Opened<C, B>, Refused> {
        if !may_be_sent(&self.gateway, &self.running) {
            return Err(Refused::GivenUp(self.running.progress.given_up()));
        }
        let placement = if self.is_new() {
            self.place_new()?
        } else {
            self.place()
        };
        match placement {
            None => {
                log_no_back_end(&self.gateway, &self.running);
                Err(Refused::GivenUp(self.running.progress.given_up()))
            }
            Some(Placement::One(backend)) => {
                let job = self.job(JobPhase::Whole, backend.clone());
                let sent = self.send(&job).await;
                if matches!(sent, Err(AttemptEnd::NotRun(NotRunReason::Full))) {
                    self.no_room_for_prompt.push(backend);
                }
                Ok(sent.map(Some))
            }
            Some(Placement::Handover {
                prefill_engine,
                copy_from,
            }) => {
                // The first prefill is none of the service's repeats; each later
                // one is, beside the repeat that goes on from it.
                if self.was_read && !may_repeat(&self.gateway, &self.running) {
                    return Err(Refused::GivenUp(self.running.progress.given_up()));
                }
                let source = copy_from.and_then(|holder| self.copy_source(holder));
                self.read_at(prefill_engine, source).await
            }
        }
    }

    /// Whether no engine has seen the request, here or before.
    fn is_new(&self) -> bool {
        self.running.is_untried() && !self.was_read && self.resume_after.is_none()
    }

    /// Places a new request. One for which the engines have no time is turned
    /// away before any of them has seen it, or sent to be prefilled after the rest.
    fn place_new(&mut self) -> Result<Option<Placement>, Refused> {
        if outlasts_stop(&self.gateway, &self.running) {
            // Any other gateway may take it now.
            return Err(Refused::Busy(Millis::ZERO));
        }
        if standing(&self.gateway, &self.running.call) != Standing::Clear {
            // Where it runs is said already, whoever has time.
            return Ok(self.place());
        }
        let Running { service, work, .. } = &self.running;
        let now = self.gateway.now();
        let longest_gap = self.gateway.callers.longest_gap(&self.running.route);
        let arrival = self.running.arrival(longest_gap, now);
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let placed = forwarder.place_new(service, work, &arrival, now);
        drop(forwarder);
        let Some((placement, admission)) = placed else {
            return Ok(None);
        };
        let (retry_after, predicted) = match admission {
            Admission::Admit => return Ok(Some(placement)),
            Admission::Defer => {
                self.running.work.is_deferred = true;
                return Ok(Some(placement));
            }
            Admission::Refuse {
                retry_after,
                predicted,
            } => (retry_after, predicted),
        };
        log::info!(
            request = self.running.call.facts.id.as_str(),
            route = self.running.route.name.as_str(),
            predicted_ms = predicted.0,
            objective_ms = work.objective.0,
            retry_after_ms = retry_after.0,
            came_back = arrival.came_back;
            "admission_refused"
        );
        Err(Refused::Busy(retry_after))
    }

    async fn read_at(
        &mut self,
        prefill_engine: BackendId,
        source: Option<CopySource>,
    ) -> Result<Opened<C, B>, Refused> {
        let job = self.job(JobPhase::Prefill(source), prefill_engine.clone());
        let gateway = Rc::clone(&self.gateway);
        let call = Rc::clone(&self.running.call);
        let time_limit = prefill_time_limit(&gateway, &call, &job);
        let mut reading = pin!(prefill(&gateway, &call, &job));
        let read = loop {
            if let Some(read) = within(time_limit, reading.as_mut()).await {
                break read;
            }
            if self.begin_reading_beside(&job) {
                match self.read_beside(reading).await? {
                    Beside::Read(read) => break read,
                    Beside::Answer(open) => return Ok(Ok(Some(*open))),
                }
            }
        };
        Ok(match read {
            Ok(cache) => {
                self.was_read = true;
                self.cache = Some(cache);
                Ok(None)
            }
            Err(end) => {
                // Another prefill engine takes it: a decode engine that prefills a prompt
                // holds up all that it generates.
                self.running.tried.push(prefill_engine);
                Err(end)
            }
        })
    }

    /// Whether other engines may do the work beside a prefill engine that takes
    /// too long.
    fn begin_reading_beside(&mut self, job: &Job) -> bool {
        if !self.running.tried.contains(&job.backend) {
            note_silent(&self.gateway, &self.running.call, job);
            self.running.tried.push(job.backend.clone());
        }
        // It runs nothing: it counts as one that was turned away.
        let count = |progress: &mut Progress| {
            progress.note(AttemptEnd::NotRun(NotRunReason::CacheGone));
        };
        can_go_elsewhere(&self.gateway, &self.running, true)
            && go_on_beside(&self.gateway, &mut self.running, count)
    }

    /// Has other engines do the work beside a prefill engine that takes too long
    /// and is kept: whoever has the prompt read first goes on, and the rest is
    /// closed. A prefill runs nothing, so both may go on at once.
    ///
    /// Invariant: what the slow engine read is used only where no other engine
    /// can have begun to generate, or the work may be repeated.
    async fn read_beside(
        &mut self,
        mut reading: Pin<&mut impl Future<Output = Result<WaitingCache<C, B>, AttemptEnd>>>,
    ) -> Result<Beside<C, B>, Refused> {
        let may_run = Rc::clone(&self.may_run);
        let (read, others) = {
            let mut others: Pin<Box<dyn Future<Output = _>>> = Box::pin(self.open());
            let first = {
                let slow = async { First::Slow(reading.as_mut().await) };
                let others = async { First::Others(others.as_mut().await.map(Box::new)) };
                smol::future::or(slow, others).await
            };
            match first {
                First::Slow(Ok(cache)) if !may_run.get() => return Ok(Beside::Read(Ok(cache))),
                First::Slow(read) => (Some(read), others.await.map(Box::new)),
                First::Others(outcome) => (None, outcome),
            }
        };
        let refused = match others {
            Ok(open) => return Ok(Beside::Answer(open)),
            Err(refused) => refused,
        };
        if !self.running.may_run_again() {
            return Err(refused);
        }
        let read = match read {
            Some(read) => read,
            None => reading.await,
        };
        // Who looked on has told more than that the slow engine failed as well.
        read.map(|cache| Beside::Read(Ok(cache)))
            .map_err(|_| refused)
    }

    /// A prefill takes its time: who generates is chosen after it. The cache is
    /// kept for another decode engine where this one has not taken it.
    async fn generate(&mut self, cache: WaitingCache<C, B>) -> Opened<C, B> {
        // The verdict on a request may fall while its prompt is prefilled, and
        // its time may pass.
        if !may_be_sent(&self.gateway, &self.running) {
            return Err(AttemptEnd::NotRun(NotRunReason::Refused));
        }
        let Some(decode_engine) = self.place_decode(cache.prefill_engine()) else {
            log_no_back_end(&self.gateway, &self.running);
            return Err(AttemptEnd::NotRun(NotRunReason::Full));
        };
        let job = self.job(JobPhase::Decode(cache.source()), decode_engine);
        match self.send(&job).await {
            Ok(answer) => {
                cache.taken();
                Ok(Some(answer))
            }
            Err(end) => {
                match end {
                    AttemptEnd::Unsent
                    | AttemptEnd::NotRun(NotRunReason::Full | NotRunReason::Misdirected) => {
                        self.cache = Some(cache);
                    }
                    // Its prefill engine lost it, and would lose it again.
                    _ => self.running.tried.push(cache.prefill_engine().clone()),
                }
                Err(end)
            }
        }
    }

    fn copy_source(&self, holder: BackendId) -> Option<CopySource> {
        let forwarder = self.gateway.forwarder.borrow();
        let address = forwarder.address(&holder)?.to_owned();
        Some(CopySource {
            backend: holder,
            address,
        })
    }

    async fn send(&mut self, job: &Job) -> Result<OpenAnswer<C, B>, AttemptEnd> {
        self.running.served_by = Some(job.backend.clone());
        self.may_run.set(true);
        // A decode engine under load is slow with its first event; one that is gone
        // shows when the request's bytes are not acknowledged.
        let answer = attempt(&self.gateway, &self.running.call, job).await;
        match &answer {
            Ok(open) if open.exchange.head.status.is_server_error() => {
                let cause = failed_with(open.exchange.head.status);
                log_failure(&self.running.call, job, &cause);
            }
            Ok(_) => {}
            Err(_) => self.running.tried.push(job.backend.clone()),
        }
        answer
    }

    fn job(&self, phase: JobPhase, backend: BackendId) -> Job {
        let resumes = !matches!(phase, JobPhase::Prefill(_));
        let resume_after = self.resume_after.clone().filter(|_| resumes);
        let work = &self.running.work;
        let priority = match &phase {
            // Its prompt is prefilled: it holds up nobody's first token.
            JobPhase::Decode(_) => work.priority,
            _ => work.rank(self.uncached_tokens(&phase, &backend)),
        };
        Job {
            phase,
            backend,
            remaining: self.running.remaining(self.gateway.now()),
            priority,
            resume_after,
        }
    }

    /// Prompt tokens that the back end has to prefill in this phase.
    fn uncached_tokens(&self, phase: &JobPhase, backend: &BackendId) -> u64 {
        let source = match phase {
            JobPhase::Whole => None,
            JobPhase::Prefill(source) => source.as_ref().map(|source| &source.backend),
            JobPhase::Decode(_) => return 0,
        };
        let Some(prompt) = &self.running.work.prompt else {
            return 0;
        };
        let forwarder = self.gateway.forwarder.borrow();
        forwarder.uncached_tokens(backend, prompt, source, self.gateway.now())
    }

    fn place(&self) -> Option<Placement> {
        let Running { service, work, .. } = &self.running;
        apart(&self.gateway, &self.running, |tried| {
            let now = self.gateway.now();
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            forwarder.place(service, work, tried, true, now)
        })
    }

    fn place_decode(&self, prefill_engine: &BackendId) -> Option<BackendId> {
        let service = &self.running.service;
        apart(&self.gateway, &self.running, |tried| {
            let now = self.gateway.now();
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            let decode_engine = forwarder.place_decode(service, prefill_engine, tried, now);
            // Who had no room for the prompt may have it for what is read: better
            // than to refuse where nobody else is left.
            decode_engine.or_else(|| {
                let mut tried = tried.to_vec();
                tried.retain(|engine| !self.no_room_for_prompt.contains(engine));
                forwarder.place_decode(service, prefill_engine, &tried, now)
            })
        })
    }
}
