//! Streams of events that a relay passes on. If it breaks off, another relay resumes the
//! stream after the last whole event that the caller has.

use garnet_routes::WorkKind;
use garnet_runtime::Body;
use garnet_runtime::server::{BodyAborted, stream_body};
use hyper::Response;
use hyper::body::Bytes;

use futures_lite::stream::unfold;

use crate::buffered::copy_head;
use crate::events::EventSplitter;
use crate::ports::{BackendPort, CallerPort};
use crate::request::{record_end, sleep_until_due};

use super::answer::RelayedAnswer;
use super::sender::Relaying;

struct RelayedStream<C: CallerPort + 'static, B: BackendPort + 'static> {
    relaying: Relaying<C, B>,
    /// `None` after the answer has ended or broken off.
    answer: Option<RelayedAnswer<C, B>>,
    splitter: EventSplitter,
}

enum Next {
    Event(Bytes),
    End,
    /// The answer can't be completed.
    Cut,
}

/// What was received from a relay.
enum Received {
    Event(Bytes),
    End,
    Broke(String),
}

/// Builds the answer to the caller.
pub(super) fn pass_on<C, B>(relaying: Relaying<C, B>, answer: RelayedAnswer<C, B>) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let head = copy_head(&answer.exchange.head);
    let status = head.status.as_u16();
    let stream = RelayedStream {
        splitter: EventSplitter::after(relaying.resume_after.clone()),
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
            Next::Cut => {
                stream.record_end("cut", status);
                Some((Err(BodyAborted::BackendDisconnected), None))
            }
        }
    });
    Response::from_parts(head, stream_body(events))
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> RelayedStream<C, B> {
    fn record_end(&self, outcome: &str, status: u16) {
        let Relaying {
            gateway, running, ..
        } = &self.relaying;
        record_end(gateway, running, outcome, status);
    }

    async fn next(&mut self) -> Next {
        let due = self.relaying.running.due;
        let gateway = std::rc::Rc::clone(&self.relaying.gateway);
        let late = async {
            sleep_until_due(&gateway, due).await;
            Next::Cut
        };
        smol::future::or(self.next_or_resume(), late).await
    }

    async fn next_or_resume(&mut self) -> Next {
        loop {
            match self.receive().await {
                Received::Event(event) => return Next::Event(event),
                Received::End => {
                    if let Some(answer) = self.answer.take() {
                        answer.finish();
                    }
                    return Next::End;
                }
                Received::Broke(cause) => {
                    if !self.resume(&cause).await {
                        return Next::Cut;
                    }
                }
            }
        }
    }

    async fn receive(&mut self) -> Received {
        let is_resumable = self.relaying.running.work.kind == WorkKind::ResumableStream;
        let Some(answer) = &mut self.answer else {
            return Received::End;
        };
        loop {
            match answer.exchange.next().await {
                Ok(Some(chunk)) if !is_resumable => return Received::Event(chunk),
                Ok(Some(chunk)) => {
                    let complete = self.splitter.push(&chunk);
                    if !complete.is_empty() {
                        return Received::Event(complete);
                    }
                }
                Ok(None) if self.splitter.is_at_boundary() => return Received::End,
                Ok(None) => return Received::Broke("the last event is incomplete".to_owned()),
                Err(error) => return Received::Broke(error.to_string()),
            }
        }
    }

    /// Has another relay resume the stream. Returns `false` if none does.
    async fn resume(&mut self, cause: &str) -> bool {
        self.answer = None;
        let last_id = self.splitter.last_id().map(str::to_owned);
        self.relaying.log_broken(cause);
        let kind = self.relaying.running.work.kind;
        if kind != WorkKind::ResumableStream || last_id.is_none() {
            return false;
        }
        self.relaying.resume_after.clone_from(&last_id);
        if self.relaying.on_broken().is_err() {
            return false;
        }
        let Ok(answer) = self.relaying.open().await else {
            return false;
        };
        if !answer.exchange.head.status.is_success() {
            return false;
        }
        self.splitter = EventSplitter::after(last_id);
        self.answer = Some(answer);
        true
    }
}
