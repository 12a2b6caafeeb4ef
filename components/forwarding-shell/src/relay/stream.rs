//! Streams of events that a relay passes on. If it breaks off, another relay resumes the
//! stream after the last whole event that the caller has.

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
use crate::ports::{BackendPort, CallerPort};
use crate::request::record_end;

use super::answer::RelayedAnswer;
use super::sender::Relaying;

struct RelayedStream<C: CallerPort + 'static, B: BackendPort + 'static> {
    relaying: Relaying<C, B>,
    /// `None` after the answer has ended or broken off.
    answer: Option<RelayedAnswer<C, B>>,
    reader: EventReader,
    /// How the end of the answer to the caller is marked, which its head has fixed.
    framing: Framing,
    cut_timer: Rc<CutTimer>,
    /// When the last event came.
    last_event_at: Millis,
    /// How the last relay that did not finish the answer ended.
    run_end: RunEnd,
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
    let stream = RelayedStream {
        reader: event_reader(&relaying, &answer),
        framing: answer.exchange.framing(),
        cut_timer: CutTimer::new(&relaying.gateway, relaying.running.due),
        last_event_at: relaying.gateway.now(),
        run_end: RunEnd::default(),
        relaying,
        answer: Some(answer),
    };
    let events = unfold(Some(stream), move |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Next::Event(event) => Some((Ok(event), Some(stream))),
            Next::End => {
                stream.record_end("streamed", status);
                None
            }
            Next::Cut(cause) => {
                stream.note_cut(cause);
                stream.record_end("cut", status);
                Some((Err(BodyAborted::BackendDisconnected), None))
            }
        }
    });
    Response::from_parts(head, stream_body(events))
}

fn event_reader<C: CallerPort, B: BackendPort>(
    relaying: &Relaying<C, B>,
    answer: &RelayedAnswer<C, B>,
) -> EventReader {
    let after = relaying.resume_after.clone();
    EventReader::new(
        after,
        relaying.running.work.kind,
        &answer.exchange,
        &relaying.gateway.budget,
    )
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> RelayedStream<C, B> {
    fn record_end(&self, outcome: &str, status: u16) {
        let Relaying {
            gateway, running, ..
        } = &self.relaying;
        record_end(gateway, running, outcome, status);
    }

    fn note_cut(&self, cause: CutCause) {
        let cut = AnswerCut {
            cause,
            run_end: &self.run_end,
            after: self.reader.last_id(),
            last_event_at: self.last_event_at,
            relay: self.relaying.last_relay(),
        };
        cut.note(&self.relaying.gateway, &self.relaying.running);
    }

    async fn next(&mut self) -> Next {
        let cut_timer = Rc::clone(&self.cut_timer);
        let late = async {
            cut_timer.expired().await;
            Next::Cut(CutCause::TimeOver)
        };
        smol::future::or(self.next_or_resume(), late).await
    }

    async fn next_or_resume(&mut self) -> Next {
        loop {
            match self.receive().await {
                Received::Event(event) => {
                    self.last_event_at = self.relaying.gateway.now();
                    return Next::Event(event);
                }
                Received::End(framing) => {
                    if let Some(answer) = self.answer.take() {
                        answer.finish();
                    }
                    if !self.framing.may_end_with(framing) {
                        return Next::Cut(CutCause::EndNotMarked);
                    }
                    return Next::End;
                }
                Received::Broke(cause) => {
                    if let Err(cause) = self.resume(cause).await {
                        return Next::Cut(cause);
                    }
                }
            }
        }
    }

    async fn receive(&mut self) -> Received {
        match &mut self.answer {
            Some(answer) => self.reader.next(&mut answer.exchange, || {}).await,
            None => Received::End(self.framing),
        }
    }

    /// Has another relay resume the stream.
    ///
    /// # Errors
    /// Why the answer is cut, if none does.
    async fn resume(&mut self, cause: BreakCause) -> Result<(), CutCause> {
        self.answer = None;
        let last_id = self.reader.last_id().map(str::to_owned);
        self.relaying.log_broken(&cause.to_string());
        self.run_end = RunEnd::Broke(cause);
        let work = &self.relaying.running.work;
        if work.kind != WorkKind::ResumableStream || last_id.is_none() || work.build.is_none() {
            return Err(CutCause::EngineBroke);
        }
        self.relaying.resume_after = last_id;
        if self.relaying.on_broken().is_err() {
            return Err(CutCause::NoSuccessor);
        }
        let Ok(answer) = self.relaying.open().await else {
            return Err(CutCause::NoSuccessor);
        };
        let is_of_same_build = answer.build == self.relaying.running.work.build;
        if !answer.exchange.head.status.is_success() || !is_of_same_build {
            return Err(CutCause::NoSuccessor);
        }
        self.reader = event_reader(&self.relaying, &answer);
        self.answer = Some(answer);
        Ok(())
    }
}
