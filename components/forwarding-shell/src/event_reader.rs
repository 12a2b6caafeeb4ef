//! Reads the events of an answer, from an engine or from a relay that passes it on.

use displaydoc::Display;
use garnet_routes::WorkKind;
use garnet_runtime::{ByteBudget, Exchange, HttpError};
use garnet_types::Framing;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap};

use crate::events::{EventRefused, EventScanner, EventSplitter};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What was received.
pub(crate) enum Received {
    /// The next bytes of the answer; complete events if the stream may be resumed.
    Event(Bytes),
    /// The end of the answer, marked in this way.
    End(Framing),
    /// The answer broke off.
    Broke(BreakCause),
}

/// Why an answer is known to have been broken off.
#[derive(Debug, Display)]
pub(crate) enum BreakCause {
    /// {0}
    Connection(HttpError),
    /// the last event is incomplete
    IncompleteEvent,
    /// {0}
    Refused(EventRefused),
    /// the connection ended before the first event
    NoEvent,
}

/// The state of reading one answer.
pub(crate) struct EventReader {
    mode: Mode,
    framing: Framing,
    has_begun: bool,
}

enum Mode {
    /// Returns complete events, as another engine may resume after any of them.
    Split(EventSplitter),
    /// Returns bytes as they arrive.
    Pass(EventScanner),
    /// Returns bytes as they arrive; they are not events.
    Opaque,
}

impl EventReader {
    /// Reads an answer that resumes after the event `after`, and buffers within `budget`.
    pub(crate) fn new(
        after: Option<String>,
        kind: WorkKind,
        exchange: &Exchange,
        budget: &ByteBudget,
    ) -> Self {
        let head = &exchange.head;
        let mode = match kind {
            _ if !head.status.is_success() => Mode::Opaque,
            WorkKind::ResumableStream => Mode::Split(EventSplitter::after(after, budget)),
            _ if is_event_stream(&head.headers) => Mode::Pass(EventScanner::default()),
            _ => Mode::Opaque,
        };
        EventReader {
            mode,
            framing: exchange.framing(),
            has_begun: false,
        }
    }

    /// Id of the last complete event that was received, or after which the answer resumed.
    pub(crate) fn last_id(&self) -> Option<&str> {
        match &self.mode {
            Mode::Split(splitter) => splitter.last_id(),
            Mode::Pass(_) | Mode::Opaque => None,
        }
    }

    /// Whether any of the answer has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Receives the next bytes; `on_chunk` is called for each chunk that arrives. Dropping the
    /// future loses none: an incomplete event stays buffered.
    pub(crate) async fn next(
        &mut self,
        exchange: &mut Exchange,
        mut on_chunk: impl FnMut(),
    ) -> Received {
        loop {
            match exchange.next().await {
                Ok(Some(chunk)) => {
                    self.has_begun = true;
                    on_chunk();
                    match self.push(chunk) {
                        Ok(ready) if ready.is_empty() => {}
                        Ok(ready) => return Received::Event(ready),
                        Err(refused) => return Received::Broke(BreakCause::Refused(refused)),
                    }
                }
                Ok(None) => return self.on_end(),
                Err(error) => return Received::Broke(BreakCause::Connection(error)),
            }
        }
    }

    fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventRefused> {
        match &mut self.mode {
            Mode::Split(splitter) => splitter.push(&chunk),
            Mode::Pass(scanner) => {
                scanner.scan(&chunk);
                Ok(chunk)
            }
            Mode::Opaque => Ok(chunk),
        }
    }

    fn on_end(&mut self) -> Received {
        if !self.has_begun && self.framing == Framing::UntilClose {
            return Received::Broke(BreakCause::NoEvent);
        }
        let is_at_boundary = match &self.mode {
            Mode::Split(splitter) => splitter.is_at_boundary(),
            Mode::Pass(scanner) => scanner.is_at_boundary(),
            Mode::Opaque => true,
        };
        if !is_at_boundary {
            return Received::Broke(BreakCause::IncompleteEvent);
        }
        // Comments after the last event.
        let rest = match &mut self.mode {
            Mode::Split(splitter) => splitter.take_pending(),
            Mode::Pass(_) | Mode::Opaque => Bytes::new(),
        };
        if rest.is_empty() {
            Received::End(self.framing)
        } else {
            Received::Event(rest)
        }
    }
}

/// Whether the answer consists of events. Engines may omit the type.
fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).is_none_or(|content_type| {
        let content_type = content_type.as_bytes();
        let start = content_type.get(..EVENT_STREAM.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    })
}
