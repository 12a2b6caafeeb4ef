//! The events of an answer that one engine sends, from the head on.

use garnet_routes::WorkKind;
use garnet_runtime::ByteBudget;
use garnet_types::Framing;
use hyper::http::response::Parts;

use crate::attempt::OpenAnswer;
use crate::buffered::copy_head;
use crate::event_reader::{BreakCause, EventReader, Received};
use crate::events::EventRefused;
use crate::ports::{BackendPort, Call, CallerPort};
use crate::unread_answer::{note_no_room, note_unread};

/// An engine that answers. Dropping it closes the connection, which ends its work.
pub(super) struct EngineRun<C: CallerPort, B: BackendPort> {
    open: OpenAnswer<C, B>,
    reader: EventReader,
}

impl<C: CallerPort, B: BackendPort> EngineRun<C, B> {
    /// Reads an answer that resumes after the event `after`.
    pub(super) fn new(
        open: OpenAnswer<C, B>,
        after: Option<String>,
        kind: WorkKind,
        budget: &ByteBudget,
    ) -> Self {
        let reader = EventReader::new(after, kind, &open.exchange, budget);
        EngineRun { open, reader }
    }

    /// The head of the answer to the caller.
    pub(super) fn answer_head(&self) -> Parts {
        copy_head(&self.open.exchange)
    }

    pub(super) fn framing(&self) -> Framing {
        self.open.exchange.framing()
    }

    /// Id of the last complete event that the engine sent, or after which it resumed.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.reader.last_id()
    }

    /// Receives the next bytes; see [`EventReader::next`].
    pub(super) async fn next(&mut self) -> Received {
        let OpenAnswer { exchange, guard } = &mut self.open;
        let on_chunk = || guard.received_more();
        self.reader.next(exchange, on_chunk).await
    }

    /// Notes that the answer came to its end. If the end is not marked, it is open whether the run
    /// completed or crashed.
    pub(super) fn ended(mut self, call: &Call) {
        self.open.guard.succeeded();
        if self.reader.has_begun() && self.open.exchange.framing() == Framing::Delimited {
            self.open.guard.completed(call);
        }
        self.open.exchange.finish();
    }

    /// Notes that the answer broke off.
    pub(super) fn broke_off(mut self, call: &Call, cause: &BreakCause) {
        let is_marked = self.framing() == Framing::Delimited;
        match cause {
            // An engine that marks the end of its answer has not crashed.
            BreakCause::IncompleteEvent if is_marked => self.open.guard.failed(),
            // The engine was still sending when its answer was given up.
            BreakCause::Refused(EventRefused::TooLong) => self.open.guard.failed(),
            BreakCause::Refused(EventRefused::NoRoom(refused)) => {
                note_no_room(&mut self.open.guard, *refused);
            }
            BreakCause::Connection(error) => note_unread(&mut self.open.guard, call, error),
            BreakCause::IncompleteEvent | BreakCause::NoEvent => {
                self.open.guard.connection_lost(call);
            }
        }
    }

    /// Notes that the engine has been silent for too long. `silent` opens its circuit
    /// breaker and `failed` doubles the time that it stays open, so other requests avoid the
    /// engine for twice the time that a first failure causes.
    pub(super) fn note_silent(&mut self) {
        self.open.guard.silent();
        self.open.guard.failed();
    }
}
