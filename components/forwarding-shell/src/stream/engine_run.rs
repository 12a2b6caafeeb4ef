//! One engine's part of an answer, from its head on.

use garnet_routes::WorkKind;
use hyper::body::Bytes;
use hyper::http::response::Parts;

use crate::attempt::OpenAnswer;
use crate::events::EventSplitter;
use crate::ports::{BackendPort, Call, CallerPort};

/// What an engine was heard to say.
pub(super) enum Heard {
    /// The next of its answer: whole events, where the stream may be resumed.
    Event(Bytes),
    /// The proper end.
    End,
    /// It broke off, for this cause.
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
    /// An answer that goes on after the event `after`.
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

    /// Id of the last whole event that it sent, or that it went on after.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// What it says next. Where this is dropped nothing of it is lost: the half
    /// of an event is kept for the other half.
    pub(super) async fn next(&mut self) -> Heard {
        loop {
            match self.open.exchange.next().await {
                Ok(Some(chunk)) => {
                    self.has_begun = true;
                    self.open.guard.prefill_done();
                    if !self.is_resumable {
                        return Heard::Event(chunk);
                    }
                    let whole = self.splitter.push(&chunk);
                    if !whole.is_empty() {
                        return Heard::Event(whole);
                    }
                }
                Ok(None) if self.splitter.is_at_boundary() => return Heard::End,
                Ok(None) => return Heard::Broke("the last event is not whole".to_owned()),
                Err(error) => return Heard::Broke(error.to_string()),
            }
        }
    }

    /// It came to its proper end.
    pub(super) fn ended(mut self, call: &Call) {
        self.open.guard.succeeded();
        if self.has_begun && self.open.exchange.has_explicit_end() {
            self.open.guard.completed(call);
        }
        self.open.exchange.finish();
    }

    /// It broke off.
    pub(super) fn broke_off(mut self, call: &Call) {
        self.open.guard.connection_lost(call);
    }

    /// It is silent for longer than is useful: others should not come meanwhile,
    /// for twice the time that a first failure costs.
    pub(super) fn note_silent(&mut self) {
        self.open.guard.silent();
        self.open.guard.failed();
    }
}
