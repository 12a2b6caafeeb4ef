//! Streams of events: passed on as they arrive, taken up by another engine
//! where the route allows it.

mod cut;
mod opening;

use std::rc::Rc;

use futures_lite::stream::unfold;
use garnet_forwarding::{AttemptEnd, GivenUp};
use garnet_routes::WorkKind;
use garnet_runtime::server::{BodyCut, stream_body};
use garnet_runtime::{Body, bytes_body};
use garnet_types::{BackendId, Millis};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::response::Parts;

use crate::answers::OwnAnswer;
use crate::attempt::{OpenAnswer, within};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::handover::WaitingCache;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{Running, finished, go_on, note_begun, own_answer, until};
use crate::whole::copy_head;

use cut::CutCause;

/// Longest failure of an engine's own that is passed on.
const LONGEST_FAILURE: usize = 1024 * 1024;

/// A stream under way.
struct Stream<C: CallerPort + 'static, B: BackendPort + 'static> {
    gateway: Rc<Gateway<C, B>>,
    running: Running,
    open: Option<OpenAnswer<C, B>>,
    splitter: EventSplitter,
    /// The prompt as one engine read it, for another to go on from.
    cache: Option<WaitingCache<C, B>>,
    /// Whether an engine has read the prompt for this request before.
    was_read: bool,
    /// An engine's failure, to be passed on where no other engine answers.
    failure: Option<Box<Response<Body>>>,
    /// Whether the present engine has sent an event.
    begun: bool,
    /// When the last event came, or the request where none has come.
    last_event_at: Millis,
    /// How the last engine that broke off or was left ended.
    engine_end: String,
    ended: bool,
}

/// An engine's answer, or none yet where the prompt was prefilled; or how the attempt
/// ended.
type Opened<C, B> = Result<Option<OpenAnswer<C, B>>, AttemptEnd>;

/// What comes next of a stream.
enum Next {
    Event(Bytes),
    End,
    Cut(CutCause),
}

/// Serves the request until its time is over.
pub(crate) async fn serve<C, B>(gateway: &Rc<Gateway<C, B>>, running: Running) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let due = running.due;
    let splitter = EventSplitter::after(running.call.facts.resume_after.clone());
    let last_event_at = running.arrived;
    let mut stream = Stream {
        gateway: Rc::clone(gateway),
        running,
        open: None,
        splitter,
        cache: None,
        was_read: false,
        failure: None,
        begun: false,
        last_event_at,
        engine_end: String::new(),
        ended: false,
    };
    let opening = async { Some(stream.open_with_first_event().await) };
    let late = async {
        until(gateway, due).await;
        None
    };
    let opened = smol::future::or(opening, late).await;
    let failure = stream.failure.take();
    let opened = opened.map(|opened| opened.map_err(|refused| refused.or_answered(failure)));
    match opened {
        Some(Ok((head, first))) => stream.answer(head, first),
        Some(Err(Refused::GivenUp(given_up))) => {
            let answer = OwnAnswer::given_up(given_up, stream.running.work.objective);
            own_answer(gateway, &stream.running, answer)
        }
        Some(Err(Refused::Busy(retry_after))) => {
            own_answer(gateway, &stream.running, OwnAnswer::NotRun(retry_after))
        }
        Some(Err(Refused::Answered(response))) => {
            finished(
                gateway,
                &stream.running,
                "answered",
                response.status().as_u16(),
            );
            *response
        }
        None => own_answer(gateway, &stream.running, OwnAnswer::TimedOut),
    }
}

/// Why a stream did not begin.
enum Refused {
    GivenUp(GivenUp),
    /// It would wait for too long: when to come back.
    Busy(Millis),
    /// The engine's own answer, which is no stream.
    Answered(Box<Response<Body>>),
}

impl Refused {
    /// An engine's own failure tells more than that the request was given up.
    fn or_answered(self, failure: Option<Box<Response<Body>>>) -> Self {
        match (self, failure) {
            (Refused::GivenUp(_), Some(failure)) => Refused::Answered(failure),
            (refused, _) => refused,
        }
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Stream<C, B> {
    /// Opens the stream and waits for its first event: until then nothing was
    /// promised to the caller, and another engine may begin anew.
    async fn open_with_first_event(&mut self) -> Result<(Parts, Bytes), Refused> {
        loop {
            self.open().await?;
            let Some(open) = &self.open else {
                return Err(Refused::GivenUp(self.running.progress.given_up()));
            };
            let head = copy_head(&open.exchange.head);
            if !head.status.is_success() {
                self.after_failure(head).await?;
                continue;
            }
            match self.next_from_engine().await {
                Next::Event(first) => return Ok((head, first)),
                Next::End => {
                    self.ended = true;
                    return Ok((head, Bytes::new()));
                }
                Next::Cut(_) => self.after(AttemptEnd::Broken)?,
            }
        }
    }

    /// The answer with its first event and all that follow.
    fn answer(self, head: Parts, first: Bytes) -> Response<Body> {
        let took = self.gateway.now().since(self.running.arrived);
        let route = &self.running.route.name;
        self.gateway.metrics.first_event(route, took);
        let backend = self.running.served_by.as_ref();
        let prompt = self.running.work.prompt.as_ref();
        let likely = prompt.and_then(|prompt| prompt.likely_output_tokens);
        log::info!(
            request = self.running.call.facts.id.as_str(),
            route = route.as_str(),
            backend = backend.map_or("", BackendId::as_str),
            most_output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens),
            likely_output_tokens = likely.unwrap_or_default(),
            ttft_ms = took.0;
            "stream_begun"
        );
        let state = (self, Some(first));
        let events = unfold(Some(state), |state| async move {
            let (mut stream, first) = state?;
            if let Some(first) = first {
                return Some((Ok(first), Some((stream, None))));
            }
            match stream.next().await {
                Next::Event(event) => Some((Ok(event), Some((stream, None)))),
                Next::End => {
                    finished(&stream.gateway, &stream.running, "streamed", 200);
                    None
                }
                Next::Cut(cause) => {
                    stream.note_cut(cause);
                    finished(&stream.gateway, &stream.running, "cut", 200);
                    Some((Err(BodyCut::BackendBroke), None))
                }
            }
        });
        Response::from_parts(head, stream_body(events))
    }

    /// The next whole events, from another engine where this one broke off.
    async fn next(&mut self) -> Next {
        let due = self.running.due;
        let gateway = Rc::clone(&self.gateway);
        let late = async {
            until(&gateway, due).await;
            Next::Cut(CutCause::TimeOver)
        };
        smol::future::or(self.next_or_resume(), late).await
    }

    async fn next_or_resume(&mut self) -> Next {
        if self.ended {
            return Next::End;
        }
        loop {
            match self.next_from_engine().await {
                Next::Cut(_) if self.running.work.kind == WorkKind::ResumableStream => {
                    let resumed = match self.after(AttemptEnd::Broken) {
                        Ok(()) => self.open().await,
                        Err(refused) => Err(refused),
                    };
                    let is_stream = self
                        .open
                        .as_ref()
                        .is_some_and(|open| open.exchange.head.status.is_success());
                    if resumed.is_err() || !is_stream {
                        return Next::Cut(CutCause::NoSuccessor);
                    }
                    log::info!(
                        request = self.running.call.facts.id.as_str(),
                        after = self.splitter.last_id().unwrap_or_default();
                        "stream_resumed"
                    );
                }
                next => return next,
            }
        }
    }

    async fn next_from_engine(&mut self) -> Next {
        loop {
            let time_limit = self.event_timeout();
            let Some(open) = &mut self.open else {
                return Next::Cut(CutCause::NoSuccessor);
            };
            let Some(next) = within(time_limit, open.exchange.next()).await else {
                // Left without a successor, a sound engine that is slow would
                // have its answer cut.
                if !self.can_go_elsewhere() {
                    continue;
                }
                if let Some(mut open) = self.open.take() {
                    open.guard.silent();
                    open.guard.failed();
                }
                return self.broke("silent");
            };
            match next {
                Ok(Some(event)) => {
                    self.begun = true;
                    self.last_event_at = self.gateway.now();
                    note_begun(&self.gateway, &self.running, self.gateway.now());
                    open.guard.prefill_done();
                    if self.running.work.kind != WorkKind::ResumableStream {
                        return Next::Event(event);
                    }
                    let whole = self.splitter.push(&event);
                    if !whole.is_empty() {
                        return Next::Event(whole);
                    }
                }
                Ok(None) if self.splitter.is_at_boundary() => {
                    open.guard.succeeded();
                    if self.begun && open.exchange.tells_end() {
                        open.guard.completed(&self.running.call);
                    }
                    if let Some(open) = self.open.take() {
                        open.exchange.finish();
                    }
                    return Next::End;
                }
                Ok(None) => return self.broke("the last event is not whole"),
                Err(error) => return self.broke(&error.to_string()),
            }
        }
    }

    /// How long the next event is waited for, where another engine may go on.
    fn event_timeout(&self) -> Option<Millis> {
        let may_move_on = self.begun && self.running.may_move_on();
        may_move_on.then_some(self.running.silence.pause)
    }

    /// Whether another engine is there to go on, and a repeat for it.
    fn can_go_elsewhere(&self) -> bool {
        let Running {
            service,
            work,
            tried,
            served_by,
            ..
        } = &self.running;
        let mut tried = tried.clone();
        tried.extend(served_by.clone());
        let now = self.gateway.now();
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        forwarder.has_repeat(service, now)
            && forwarder.place(service, work, &tried, true, now).is_some()
    }

    /// The engine broke off. Its connection is closed, which ends its work, and
    /// what it sent of an event that is not whole is void: the next engine
    /// begins that event anew.
    fn broke(&mut self, cause: &str) -> Next {
        if let Some(mut open) = self.open.take() {
            open.guard.connection_lost(&self.running.call);
        }
        self.begun = false;
        self.splitter.drop_partial();
        let backend = self.running.served_by.as_ref();
        log::info!(
            request = self.running.call.facts.id.as_str(),
            backend = backend.map_or("", BackendId::as_str),
            after = self.splitter.last_id().unwrap_or_default(),
            cause = cause;
            "stream_broken"
        );
        cause.clone_into(&mut self.engine_end);
        Next::Cut(CutCause::EngineBroke)
    }

    /// Whether to go on after an attempt that ended with `end`.
    fn after(&mut self, end: AttemptEnd) -> Result<(), Refused> {
        if let Some(backend) = &self.running.served_by
            && !self.running.tried.contains(backend)
        {
            self.running.tried.push(backend.clone());
        }
        go_on(&self.gateway, &mut self.running, end).map_err(Refused::GivenUp)
    }

    /// The engine answered with a failure of its own. Another engine may begin
    /// anew where the work may be repeated; else the failure is passed on.
    async fn after_failure(&mut self, head: Parts) -> Result<(), Refused> {
        let Some(mut open) = self.open.take() else {
            return Err(Refused::GivenUp(self.running.progress.given_up()));
        };
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
}
