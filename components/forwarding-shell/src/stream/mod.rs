//! Streams of events: passed on as they arrive, taken up by another engine
//! where the route allows it.

mod cut;
mod engine_run;
mod placing;
mod reading;
mod search;
mod successor;

use std::rc::Rc;

use futures_lite::stream::unfold;
use garnet_routes::WorkKind;
use garnet_runtime::Body;
use garnet_runtime::server::{BodyAborted, stream_body};
use garnet_types::{BackendId, Millis};
use hyper::Response;
use hyper::body::Bytes;

use crate::answers::OwnAnswer;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{Running, finished, given_up_answer, note_begun, own_answer, until};
use crate::waiting::within;
use crate::whole::copy_head;

use cut::CutCause;
use engine_run::{EngineRun, Heard};
use search::{Found, Refused, Search};

/// A stream under way.
struct Stream<C: CallerPort + 'static, B: BackendPort + 'static> {
    gateway: Rc<Gateway<C, B>>,
    search: Search<C, B>,
    /// The engine that answers; `None` when it has come to its end or is gone.
    run: Option<EngineRun<C, B>>,
    /// When the last event came.
    last_event_at: Millis,
    /// How the last engine that broke off or was left ended.
    engine_end: String,
    ended: bool,
}

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
    let mut search = Search::new(gateway, running);
    let opening = async { Some(search.find_run().await) };
    let late = async {
        until(gateway, due).await;
        None
    };
    let found = smol::future::or(opening, late).await;
    let failure = search.take_failure();
    let found = found.map(|found| found.map_err(|refused| refused.or_answered(failure)));
    match found {
        Some(Ok(found)) => Stream::new(gateway, search).answer(found),
        Some(Err(Refused::GivenUp(given_up))) => {
            let answer = given_up_answer(gateway, &search.running, given_up);
            own_answer(gateway, &search.running, answer)
        }
        Some(Err(Refused::Busy(retry_after))) => {
            own_answer(gateway, &search.running, OwnAnswer::NotRun(retry_after))
        }
        Some(Err(Refused::Answered(response))) => {
            let status = response.status().as_u16();
            finished(gateway, &search.running, "answered", status);
            *response
        }
        None => own_answer(gateway, &search.running, OwnAnswer::TimedOut),
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Stream<C, B> {
    fn new(gateway: &Rc<Gateway<C, B>>, search: Search<C, B>) -> Self {
        Stream {
            gateway: Rc::clone(gateway),
            search,
            run: None,
            last_event_at: gateway.now(),
            engine_end: String::new(),
            ended: false,
        }
    }

    /// The answer with its first event and all that follow.
    fn answer(mut self, found: Found<C, B>) -> Response<Body> {
        let head = copy_head(found.run.head());
        self.run = Some(found.run);
        let first = self.take(found.first);
        self.log_begun();
        let state = (self, Some(first));
        let events = unfold(Some(state), |state| async move {
            let (mut stream, first) = state?;
            let next = match first {
                Some(first) => first,
                None => stream.next().await,
            };
            match next {
                Next::Event(event) => Some((Ok(event), Some((stream, None)))),
                Next::End => {
                    finished(&stream.gateway, &stream.search.running, "streamed", 200);
                    None
                }
                Next::Cut(cause) => {
                    stream.note_cut(cause);
                    finished(&stream.gateway, &stream.search.running, "cut", 200);
                    Some((Err(BodyAborted::BackendDisconnected), None))
                }
            }
        });
        Response::from_parts(head, stream_body(events))
    }

    fn log_begun(&self) {
        let Running {
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
            most_output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens),
            likely_output_tokens = likely.unwrap_or_default(),
            ttft_ms = took.0;
            "stream_begun"
        );
    }

    /// The next whole events, from another engine where this one broke off.
    async fn next(&mut self) -> Next {
        let due = self.search.running.due;
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
            let time_limit = self.event_timeout();
            let Some(run) = &mut self.run else {
                return Next::Cut(CutCause::NoSuccessor);
            };
            match within(time_limit, run.next()).await {
                Some(Heard::Broke(cause)) => {
                    self.note_broken(&cause);
                    if !self.may_be_taken_up() {
                        return Next::Cut(CutCause::EngineBroke);
                    }
                    return self.go_on_after_break().await;
                }
                Some(heard) => return self.take(heard),
                None => {
                    if let Some(next) = self.go_on_beside().await {
                        return next;
                    }
                }
            }
        }
    }

    /// Takes what the present engine said.
    fn take(&mut self, heard: Heard) -> Next {
        match heard {
            Heard::Event(event) => {
                let now = self.gateway.now();
                self.last_event_at = now;
                let Running { call, begun, .. } = &self.search.running;
                note_begun(&self.gateway, call, begun, now);
                let last_id = self.run.as_ref().and_then(EngineRun::last_id);
                self.search.resume_after = last_id.map(str::to_owned);
                Next::Event(event)
            }
            Heard::End => {
                if let Some(run) = self.run.take() {
                    run.ended(&self.search.running.call);
                }
                self.ended = true;
                Next::End
            }
            Heard::Broke(cause) => {
                self.note_broken(&cause);
                Next::Cut(CutCause::EngineBroke)
            }
        }
    }

    /// Whether another engine may go on after the last event: one that can't be
    /// told which that was would begin anew.
    fn may_be_taken_up(&self) -> bool {
        let kind = self.search.running.work.kind;
        kind == WorkKind::ResumableStream && self.search.resume_after.is_some()
    }

    /// How long the next event is waited for before another engine is asked.
    fn event_timeout(&self) -> Option<Millis> {
        let may_move_on = self.may_be_taken_up() && self.search.running.may_move_on();
        may_move_on.then_some(self.search.running.silence.pause)
    }

    /// The engine broke off. Its connection is closed, which ends its work, and
    /// what it sent of an event that is not whole is void: the next engine
    /// begins that event anew.
    fn note_broken(&mut self, cause: &str) {
        if let Some(run) = self.run.take() {
            run.broke_off(&self.search.running.call);
        }
        let backend = self.search.running.served_by.clone();
        self.log_broken(backend.as_ref(), cause);
    }

    fn log_broken(&mut self, backend: Option<&BackendId>, cause: &str) {
        self.search.log_broken(backend, cause);
        cause.clone_into(&mut self.engine_end);
    }
}
