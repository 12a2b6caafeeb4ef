//! The events of an answer that one engine sends, from the head on.

use garnet_routes::WorkKind;
use hyper::body::Bytes;
use hyper::http::response::Parts;

use crate::attempt::OpenAnswer;
use crate::events::EventSplitter;
use crate::ports::{BackendPort, Call, CallerPort};

/// What was received from an engine.
pub(super) enum Received {
    /// The next bytes of the answer; complete events if the stream may be resumed.
    Event(Bytes),
    /// The proper end of the answer.
    End,
    /// The answer broke off, for this cause.
    Broke(String),
}

/// An engine that answers. Dropping it closes the connection, which ends its work.
pub(super) struct EngineRun<C: CallerPort, B: BackendPort> {
    open: OpenAnswer<C, B>,
    splitter: EventSplitter,
    is_resumable: bool,
    /// Whether the engine has sent any of its answer.
    has_begun: bool,
}

impl<C: CallerPort, B: BackendPort> EngineRun<C, B> {
    /// Reads an answer that resumes after the event `after`.
    pub(super) fn new(open: OpenAnswer<C, B>, after: Option<String>, kind: WorkKind) -> Self {
        EngineRun {
            open,
            splitter: EventSplitter::after(after),
            is_resumable: kind == WorkKind::ResumableStream,
            has_begun: false,
        }
    }

    pub(super) fn head(&self) -> &Parts {
        &self.open.exchange.head
    }

    /// Id of the last complete event that the engine sent, or after which it resumed.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Receives the next bytes. Dropping the future loses none: an incomplete event stays
    /// buffered.
    pub(super) async fn next(&mut self) -> Received {
        loop {
            match self.open.exchange.next().await {
                Ok(Some(chunk)) => {
                    self.has_begun = true;
                    self.open.guard.prefill_done();
                    if !self.is_resumable {
                        return Received::Event(chunk);
                    }
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

    /// Notes that the answer came to its proper end.
    pub(super) fn ended(mut self, call: &Call) {
        self.open.guard.succeeded();
        if self.has_begun && self.open.exchange.has_explicit_end() {
            self.open.guard.completed(call);
        }
        self.open.exchange.finish();
    }

    /// Notes that the answer broke off.
    pub(super) fn broke_off(mut self, call: &Call) {
        self.open.guard.connection_lost(call);
    }

    /// Notes that the engine has been silent for too long. `silent` opens its circuit
    /// breaker and `failed` doubles the time that it stays open, so other requests avoid the
    /// engine for twice the time that a first failure causes.
    pub(super) fn note_silent(&mut self) {
        self.open.guard.silent();
        self.open.guard.failed();
    }
}
