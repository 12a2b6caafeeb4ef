//! Splits a stream of server-sent events at the ends of events, so that another back
//! end can resume it between two events.

use hyper::body::Bytes;

const ID_FIELD: &[u8] = b"id:";

/// Buffers chunks and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        EventSplitter {
            pending: Vec::new(),
            last_id,
        }
    }

    /// Takes a chunk and returns all events that are complete now; empty if there is
    /// none.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.pending.extend_from_slice(chunk);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id_in(&complete) {
            self.last_id = Some(id);
        }
        Bytes::from(complete)
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Id of the last event that was returned.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the incomplete event that is buffered.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end > 1 {
        let line_ends = bytes[end - 1] == b'\n';
        let empty_line = line_ends
            && (bytes[end - 2] == b'\n' || (end > 2 && bytes[end - 3..end - 1] == *b"\n\r"));
        if empty_line {
            return Some(end);
        }
        end -= 1;
    }
    None
}

fn last_id_in(events: &[u8]) -> Option<String> {
    let value = events
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(ID_FIELD))
        .next_back()?;
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
