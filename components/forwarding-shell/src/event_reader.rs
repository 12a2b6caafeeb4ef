//! Reads the events of an answer, from an engine or from a relay that passes it on.

use garnet_routes::WorkKind;
use garnet_runtime::Exchange;
use hyper::body::Bytes;

use crate::events::EventSplitter;

/// What was received.
pub(crate) enum Received {
    /// The next bytes of the answer; complete events if the stream may be resumed.
    Event(Bytes),
    /// The proper end of the answer.
    End,
    /// The answer broke off, for this cause.
    Broke(String),
}

/// The state of reading one answer.
pub(crate) struct EventReader {
    splitter: EventSplitter,
    is_resumable: bool,
}

impl EventReader {
    /// Reads an answer that resumes after the event `after`.
    pub(crate) fn new(after: Option<String>, kind: WorkKind) -> Self {
        EventReader {
            splitter: EventSplitter::after(after),
            is_resumable: kind == WorkKind::ResumableStream,
        }
    }

    /// Id of the last complete event that was received, or after which the answer resumed.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
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
                    on_chunk();
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
}
