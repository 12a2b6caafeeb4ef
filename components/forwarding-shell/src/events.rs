//! Cuts a stream of server-sent events where one ends, so that a stream can
//! be taken up by another back end between two events.

use hyper::body::Bytes;

const ID_FIELD: &[u8] = b"id:";

/// Gathers chunks and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        EventSplitter {
            pending: Vec::new(),
            last_id,
        }
    }

    /// Takes a chunk and gives out all events that are whole now; empty when
    /// none is.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.pending.extend_from_slice(chunk);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id);
        }
        Bytes::from(whole)
    }

    /// Whether no part of an event is left over.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Id of the last event that was given out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops what is left of an event that broke off.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Behind the last empty line.
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
