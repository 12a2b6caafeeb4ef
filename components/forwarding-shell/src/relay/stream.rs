//! Streams of events that a relay passes on. If it breaks off, another relay resumes the
//! stream after the last whole event that the caller has. A relay also resumes a stream that an
//! engine began, if this gateway has lost its path to the engines since.

use std::rc::Rc;

use futures_lite::stream::unfold;
use garnet_routes::WorkKind;
use garnet_runtime::Body;
use garnet_runtime::server::{BodyAborted, stream_body};
use garnet_types::{Framing, Millis};
use hyper::Response;
use hyper::body::Bytes;

use crate::answer_cut::{AnswerCut, CutCause, RunEnd};
use crate::buffered::copy_head;
use crate::cut_timer::CutTimer;
use crate::event_reader::{BreakCause, EventReader, Received};
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{RunningRequest, record_end};

use super::answer::RelayedAnswer;
use super::sender::Relaying;

/// A stream whose answer has begun, and which a relay passes on or is to resume.
pub(crate) struct RelayedStream<C: CallerPort + 'static, B: BackendPort + 'static> {
    relaying: Relaying<C, B>,
    /// `None` while a relay is to resume the stream, and after its end.
    answer: Option<OpenRelay<C, B>>,
    begun: BegunAnswer,
}

/// What the answer to the caller has fixed, and its course so far.
pub(crate) struct BegunAnswer {
    /// How the end of the answer to the caller is marked, which its head has fixed.
    pub(crate) framing: Framing,
    pub(crate) cut_timer: Rc<CutTimer>,
    /// When the last event came.
    pub(crate) last_event_at: Millis,
    /// How the last run or relay that did not finish the answer ended.
    pub(crate) run_end: RunEnd,
}

/// A relay's answer and the state of reading it.
struct OpenRelay<C: CallerPort + 'static, B: BackendPort + 'static> {
    answer: RelayedAnswer<C, B>,
    reader: EventReader,
}

enum Next {
    Event(Bytes),
    End,
    /// The answer can't be completed.
    Cut(CutCause),
}

/// Builds the answer to the caller.
pub(super) fn pass_on<C, B>(
    mut relaying: Relaying<C, B>,
    answer: RelayedAnswer<C, B>,
) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let head = copy_head(&answer.exchange);
    if answer.build.is_some() {
        relaying.running.work.build.clone_from(&answer.build);
    }
    relaying.running.answer_has_begun = true;
    let status = head.status.as_u16();
    let begun = BegunAnswer {
        framing: answer.exchange.framing(),
        cut_timer: CutTimer::new(&relaying.gateway, relaying.running.due),
        last_event_at: relaying.gateway.now(),
        run_end: RunEnd::default(),
    };
    let answer = Some(OpenRelay::new(&relaying, answer));
    let stream = RelayedStream {
        relaying,
        answer,
        begun,
    };
    let events = unfold(Some(stream), move |stream| async move {
        let (event, stream) = stream?.step(status).await?;
        Some((event, stream))
    });
    Response::from_parts(head, stream_body(events))
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> OpenRelay<C, B> {
    fn new(relaying: &Relaying<C, B>, answer: RelayedAnswer<C, B>) -> Self {
        let reader = EventReader::new(
            relaying.resume_after.clone(),
            relaying.running.work.kind,
            &answer.exchange,
            &relaying.gateway.budget,
        );
        OpenRelay { answer, reader }
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> RelayedStream<C, B> {
    /// Continues an answer that an engine of this gateway began. The relay is asked by the first
    /// [`Self::step`]; the retry for it has been taken from the budget.
    pub(crate) fn resuming(
        gateway: &Rc<Gateway<C, B>>,
        running: RunningRequest,
        resume_after: Option<String>,
        begun: BegunAnswer,
    ) -> Self {
        RelayedStream {
            relaying: Relaying::resuming(gateway, running, resume_after),
            answer: None,
            begun,
        }
    }

    /// Returns the next part of the body and the rest of the stream; `None` at its end.
    pub(crate) async fn step(
        mut self,
        status: u16,
    ) -> Option<(Result<Bytes, BodyAborted>, Option<Self>)> {
        match self.next().await {
            Next::Event(event) => Some((Ok(event), Some(self))),
            Next::End => {
                self.record_end("streamed", status);
                None
            }
            Next::Cut(cause) => {
                self.note_cut(cause);
                self.record_end("cut", status);
                Some((Err(BodyAborted::BackendDisconnected), None))
            }
        }
    }

    fn record_end(&self, outcome: &str, status: u16) {
        let Relaying {
            gateway, running, ..
        } = &self.relaying;
        record_end(gateway, running, outcome, status);
    }

    fn note_cut(&self, cause: CutCause) {
        let cut = AnswerCut {
            cause,
            run_end: &self.begun.run_end,
            after: self.last_id(),
            last_event_at: self.begun.last_event_at,
            relay: self.relaying.last_relay(),
        };
        cut.note(&self.relaying.gateway, &self.relaying.running);
    }

    /// Id of the last whole event that the caller has.
    fn last_id(&self) -> Option<&str> {
        match &self.answer {
            Some(open) => open.reader.last_id(),
            None => self.relaying.resume_after.as_deref(),
        }
    }

    async fn next(&mut self) -> Next {
        let cut_timer = Rc::clone(&self.begun.cut_timer);
        let late = async {
            cut_timer.expired().await;
            Next::Cut(CutCause::TimeOver)
        };
        smol::future::or(self.next_or_resume(), late).await
    }

    async fn next_or_resume(&mut self) -> Next {
        loop {
            let open = match &mut self.answer {
                Some(open) => open,
                None => match self.open_rest().await {
                    Ok(open) => self.answer.insert(open),
                    Err(cause) => return Next::Cut(cause),
                },
            };
            match open.reader.next(&mut open.answer.exchange, || {}).await {
                Received::Event(event) => {
                    self.begun.last_event_at = self.relaying.gateway.now();
                    return Next::Event(event);
                }
                Received::End(framing) => {
                    if let Some(open) = self.answer.take() {
                        open.answer.finish();
                    }
                    if !self.begun.framing.may_end_with(framing) {
                        return Next::Cut(CutCause::EndNotMarked);
                    }
                    return Next::End;
                }
                Received::Broke(cause) => {
                    if let Err(cause) = self.on_broken(cause) {
                        return Next::Cut(cause);
                    }
                }
            }
        }
    }

    /// Handles a relay that broke off.
    ///
    /// # Errors
    /// Why the answer is cut, if no other relay may resume it.
    fn on_broken(&mut self, cause: BreakCause) -> Result<(), CutCause> {
        let last_id = self.last_id().map(str::to_owned);
        self.answer = None;
        self.relaying.log_broken(&cause.to_string());
        self.begun.run_end = RunEnd::Broke(cause);
        let work = &self.relaying.running.work;
        if work.kind != WorkKind::ResumableStream || last_id.is_none() || work.build.is_none() {
            return Err(CutCause::EngineBroke);
        }
        self.relaying.resume_after = last_id;
        let resumes = self.relaying.on_broken();
        resumes.map_err(|_| CutCause::NoSuccessor)
    }

    /// Has a relay resume the stream.
    ///
    /// # Errors
    /// Why the answer is cut, if none does.
    async fn open_rest(&mut self) -> Result<OpenRelay<C, B>, CutCause> {
        let Ok(answer) = self.relaying.open().await else {
            return Err(CutCause::NoSuccessor);
        };
        let is_of_same_build = answer.build == self.relaying.running.work.build;
        if !answer.exchange.head.status.is_success() || !is_of_same_build {
            return Err(CutCause::NoSuccessor);
        }
        Ok(OpenRelay::new(&self.relaying, answer))
    }
}
