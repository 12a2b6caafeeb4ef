//! Streams of events, passed on as they arrive and resumed at another engine if the route
//! allows it.

mod engine_run;
mod placement;
mod prefill;
mod search;
mod successor;

use std::rc::Rc;

use futures_lite::stream::unfold;
use garnet_routes::WorkKind;
use garnet_runtime::Body;
use garnet_runtime::server::{BodyAborted, stream_body};
use garnet_types::{BackendId, BuildId, Framing, Millis};
use hyper::Response;
use hyper::body::Bytes;

use crate::answer_cut::{AnswerCut, CutCause, RunEnd};
use crate::answers::OwnAnswer;
use crate::cut_timer::CutTimer;
use crate::event_reader::{BreakCause, Received};
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::relay::{BegunAnswer, RelayedStream};
use crate::request::{LEFT_TO_PEER, RunningRequest, Unserved, count_usage_once, record_end};
use crate::stopping::last_answer;
use crate::stream_builds::{bind_taken_up, bind_to_engine};
use crate::timeout::with_timeout;

use engine_run::EngineRun;
use search::{Found, NotStreamed, Search};

/// Status of each answer that is streamed.
const STATUS: u16 = 200;

/// A stream whose answer has begun.
struct Stream<C: CallerPort + 'static, B: BackendPort + 'static> {
    gateway: Rc<Gateway<C, B>>,
    search: Search<C, B>,
    /// The engine that answers; `None` after its answer has ended or broken off.
    run: Option<EngineRun<C, B>>,
    /// How the end of the answer to the caller is marked, which its head has fixed.
    framing: Framing,
    cut_timer: Rc<CutTimer>,
    /// When the last event came.
    last_event_at: Millis,
    /// How the last run that did not finish the answer ended.
    run_end: RunEnd,
    ended: bool,
    /// Whether the head of the answer names the stream's build to the peer that handed it over.
    peer_knows_build: bool,
}

/// The next step of a stream.
enum Next {
    Event(Bytes),
    End,
    Cut(CutCause),
    /// A relay is to resume the stream.
    HandOver,
    /// The peer that handed over the stream resumes it at another gateway.
    LeftToPeer,
}

/// An answer that has begun, and who serves the rest of it.
enum Answer<C: CallerPort + 'static, B: BackendPort + 'static> {
    Direct {
        stream: Box<Stream<C, B>>,
        /// The next step, if it is known.
        next: Option<Next>,
    },
    Relayed(Box<RelayedStream<C, B>>),
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Answer<C, B> {
    /// Returns the next part of the body and the rest of the answer; `None` at its end.
    async fn step(self) -> Option<(Result<Bytes, BodyAborted>, Option<Self>)> {
        let (mut stream, next) = match self {
            Answer::Direct { stream, next } => (stream, next),
            Answer::Relayed(stream) => return Self::step_relayed(*stream).await,
        };
        let next = match next {
            Some(next) => next,
            None => stream.next().await,
        };
        match next {
            Next::Event(event) => {
                let rest = Answer::Direct { stream, next: None };
                Some((Ok(event), Some(rest)))
            }
            Next::End => {
                record_end(&stream.gateway, &stream.search.running, "streamed", STATUS);
                None
            }
            Next::Cut(cause) => {
                stream.note_cut(cause);
                record_end(&stream.gateway, &stream.search.running, "cut", STATUS);
                Some((Err(BodyAborted::BackendDisconnected), None))
            }
            Next::HandOver => Self::step_relayed(stream.into_relayed()).await,
            Next::LeftToPeer => {
                record_end(
                    &stream.gateway,
                    &stream.search.running,
                    LEFT_TO_PEER,
                    STATUS,
                );
                Some((Err(BodyAborted::BackendDisconnected), None))
            }
        }
    }

    async fn step_relayed(
        stream: RelayedStream<C, B>,
    ) -> Option<(Result<Bytes, BodyAborted>, Option<Self>)> {
        let (event, rest) = stream.step(STATUS).await?;
        Some((event, rest.map(|rest| Answer::Relayed(Box::new(rest)))))
    }
}

/// Serves the request until it times out.
///
/// # Errors
/// The request, if no engine answered it.
pub(crate) async fn serve<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    mut running: RunningRequest,
) -> Result<Response<Body>, Unserved>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let (call, due, is_relayed) = (Rc::clone(&running.call), running.due, running.is_relayed);
    let bound = {
        let binding = bind_taken_up(gateway, &mut running);
        let late = async { Err(last_answer(gateway, &call, due, is_relayed).await) };
        smol::future::or(binding, late).await
    };
    if let Err(answer) = bound {
        return Err(Unserved { running, answer });
    }
    let mut search = Search::new(gateway, running);
    let opening = async { Ok(search.find_run().await) };
    let late = async { Err(last_answer(gateway, &call, due, is_relayed).await) };
    let found = smol::future::or(opening, late).await;
    let failure = search.take_failure();
    let found = found.map(|found| found.map_err(|not_streamed| not_streamed.or_answered(failure)));
    let answer = match found {
        Ok(Ok(found)) => return Ok(Stream::new(gateway, search).answer(found)),
        Ok(Err(NotStreamed::Answered(response))) => {
            let status = response.status().as_u16();
            record_end(gateway, &search.running, "answered", status);
            return Ok(*response);
        }
        Ok(Err(NotStreamed::GivenUp(given_up))) => {
            return Err(Unserved::given_up(gateway, search.running, given_up));
        }
        Ok(Err(NotStreamed::Busy(retry_after))) => OwnAnswer::NotRun(retry_after),
        Err(last_answer) => last_answer,
    };
    let running = search.running;
    Err(Unserved { running, answer })
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Stream<C, B> {
    fn new(gateway: &Rc<Gateway<C, B>>, search: Search<C, B>) -> Self {
        Stream {
            gateway: Rc::clone(gateway),
            cut_timer: CutTimer::new(gateway, search.running.due),
            search,
            run: None,
            framing: Framing::UntilClose,
            last_event_at: gateway.now(),
            run_end: RunEnd::default(),
            ended: false,
            peer_knows_build: false,
        }
    }

    /// Builds the answer from its first event and those that follow.
    fn answer(mut self, found: Found<C, B>) -> Response<Body> {
        let mut head = found.run.answer_head();
        self.framing = self.framing_for_caller(found.run.framing());
        head.extensions.insert(self.framing);
        bind_to_engine(&self.gateway, &mut self.search.running);
        if let Some(build) = &self.search.running.work.build {
            head.extensions.insert(build.clone());
            self.peer_knows_build = self.search.running.is_relayed;
        }
        self.search.running.answer_has_begun = true;
        self.run = Some(found.run);
        let first = self.on_received(found.first);
        self.log_begun();
        let answer = Answer::Direct {
            stream: Box::new(self),
            next: Some(first),
        };
        let events = unfold(Some(answer), |answer| async move { answer?.step().await });
        Response::from_parts(head, stream_body(events))
    }

    /// How the end of the answer to the caller is marked, if its first engine marks its own as
    /// `first`. Another engine of the service may resume it.
    fn framing_for_caller(&self, first: Framing) -> Framing {
        let RunningRequest { service, work, .. } = &self.search.running;
        let may_resume = work.kind == WorkKind::ResumableStream;
        let now = self.gateway.now();
        if may_resume && self.gateway.unmarked_ends.are_expected(service, now) {
            return Framing::UntilClose;
        }
        first
    }

    /// The rest of the stream, which a relay is to serve.
    fn into_relayed(self) -> RelayedStream<C, B> {
        let Search {
            mut running,
            resume_after,
            ..
        } = self.search;
        log::info!(
            request = running.call.facts.id.as_str(),
            service = running.service.as_str(),
            backend = running.served_by.as_ref().map_or("", BackendId::as_str),
            after = resume_after.as_deref().unwrap_or_default(),
            build = running.work.build.as_ref().map_or("", BuildId::as_str),
            ran = running.progress.ran,
            unreachable = running.progress.unreachable,
            remaining_ms = running.remaining(self.gateway.now()).0;
            "stream_handed_over"
        );
        running.served_by = None;
        let begun = BegunAnswer {
            framing: self.framing,
            cut_timer: self.cut_timer,
            last_event_at: self.last_event_at,
            run_end: self.run_end,
        };
        RelayedStream::resuming(&self.gateway, running, resume_after, begun)
    }

    fn log_begun(&self) {
        let RunningRequest {
            call,
            route,
            work,
            arrived,
            served_by,
            ..
        } = &self.search.running;
        let took = self.gateway.now().since(*arrived);
        self.gateway.metrics.first_event(&route.name, took);
        let prompt = work.prompt.as_ref();
        let likely = prompt.and_then(|prompt| prompt.likely_output_tokens);
        log::info!(
            request = call.facts.id.as_str(),
            route = route.name.as_str(),
            backend = served_by.as_ref().map_or("", BackendId::as_str),
            build = work.build.as_ref().map_or("", BuildId::as_str),
            most_output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens),
            likely_output_tokens = likely.unwrap_or_default(),
            ttft_ms = took.0;
            "stream_begun"
        );
    }

    /// Returns the next complete events, from another engine if this one broke off.
    async fn next(&mut self) -> Next {
        let cut_timer = Rc::clone(&self.cut_timer);
        let late = async {
            cut_timer.expired().await;
            Next::Cut(CutCause::TimeOver)
        };
        let gateway = Rc::clone(&self.gateway);
        let peer_may_resume = self.peer_may_resume();
        let stop_end = async {
            if !peer_may_resume {
                return std::future::pending().await;
            }
            gateway.stop_end.until_near().await;
            Next::LeftToPeer
        };
        let ended = smol::future::or(late, stop_end);
        smol::future::or(self.next_or_resume(), ended).await
    }

    /// Whether the peer that handed over the stream may have another gateway resume it. It then
    /// counts this one's runs as one attempt.
    fn peer_may_resume(&self) -> bool {
        self.peer_knows_build && self.can_resume() && self.search.running.work.max_attempts > 1
    }

    async fn next_or_resume(&mut self) -> Next {
        if self.ended {
            return Next::End;
        }
        if self.search.running.work.build.is_none() {
            // The leader may have sent the engine's build since the stream began.
            bind_to_engine(&self.gateway, &mut self.search.running);
        }
        loop {
            let time_limit = self.event_timeout();
            let Some(run) = &mut self.run else {
                return Next::Cut(CutCause::NoSuccessor);
            };
            match with_timeout(time_limit, run.next()).await {
                Some(Received::Broke(cause)) => {
                    self.note_broken(cause);
                    if !self.can_resume() {
                        return Next::Cut(CutCause::EngineBroke);
                    }
                    return self.resume_after_break().await;
                }
                Some(received) => return self.on_received(received),
                None => {
                    if let Some(next) = self.resume_hedged().await {
                        return next;
                    }
                }
            }
        }
    }

    /// Handles what the current engine sent.
    fn on_received(&mut self, received: Received) -> Next {
        match received {
            Received::Event(event) => {
                let now = self.gateway.now();
                self.last_event_at = now;
                let RunningRequest {
                    call,
                    usage_counted,
                    ..
                } = &self.search.running;
                count_usage_once(&self.gateway, call, usage_counted, now);
                let last_id = self.run.as_ref().and_then(EngineRun::last_id);
                self.search.resume_after = last_id.map(str::to_owned);
                Next::Event(event)
            }
            Received::End(framing) => {
                if let Some(run) = self.run.take() {
                    run.ended(&self.search.running.call);
                }
                // The caller's framing would mark an end that this engine has not marked.
                if !self.framing.may_end_with(framing) {
                    return Next::Cut(CutCause::EndNotMarked);
                }
                self.ended = true;
                Next::End
            }
            Received::Broke(cause) => {
                self.note_broken(cause);
                Next::Cut(CutCause::EngineBroke)
            }
        }
    }

    /// Whether another engine may resume after the last event. Without the id of that event an
    /// engine would start again from the beginning, and without the build any engine might resume.
    fn can_resume(&self) -> bool {
        let work = &self.search.running.work;
        work.kind == WorkKind::ResumableStream
            && self.search.resume_after.is_some()
            && work.build.is_some()
    }

    /// How long to wait for the next event before another engine is asked.
    fn event_timeout(&self) -> Option<Millis> {
        let may_fail_over = self.can_resume() && self.search.running.may_fail_over();
        may_fail_over.then_some(self.search.running.silence.pause)
    }

    /// Handles an engine that broke off. Its connection is closed, which ends its work. An
    /// incomplete event is dropped, since the next engine sends that event from its start.
    fn note_broken(&mut self, cause: BreakCause) {
        if let Some(run) = self.run.take() {
            run.broke_off(&self.search.running.call, &cause);
        }
        let backend = self.search.running.served_by.clone();
        self.note_run_end(backend.as_ref(), RunEnd::Broke(cause));
    }

    fn note_run_end(&mut self, backend: Option<&BackendId>, end: RunEnd) {
        self.search.log_broken(backend, &end.text());
        self.run_end = end;
    }

    fn note_cut(&self, cause: CutCause) {
        let cut = AnswerCut {
            cause,
            run_end: &self.run_end,
            after: self.search.resume_after.as_deref(),
            last_event_at: self.last_event_at,
            relay: None,
        };
        cut.note(&self.gateway, &self.search.running);
    }
}
