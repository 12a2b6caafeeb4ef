//! Finds the ends of events in a stream of server-sent events, so that another back end can
//! resume it between two events.

use displaydoc::Display;
use garnet_runtime::{BudgetExceeded, ByteBudget, ByteBuffer};
use hyper::body::Bytes;

/// Longest event, with the comments before it. Longer ones are not buffered.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";
/// May precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = &[0xef, 0xbb, 0xbf];

/// Why an event is not buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EventRefused {
    /// an event is longer than 1048576 bytes
    TooLong,
    /// {0}
    NoRoom(BudgetExceeded),
}

/// Buffers chunks and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    budget: ByteBudget,
    pending: ByteBuffer,
    scanner: EventScanner,
    last_id: Option<String>,
}

impl Default for EventSplitter {
    fn default() -> Self {
        EventSplitter::after(None, &ByteBudget::default())
    }
}

impl EventSplitter {
    /// A splitter for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<String>, budget: &ByteBudget) -> Self {
        EventSplitter {
            budget: budget.clone(),
            pending: ByteBuffer::new(budget),
            scanner: EventScanner::default(),
            last_id,
        }
    }

    /// Takes a chunk and returns all events that are complete now; empty if there is
    /// none.
    ///
    /// # Errors
    /// If an event is too long, wherever its chunks begin, or the budget has no room for it. The
    /// splitter is of no use then.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventRefused> {
        let end = self.scanner.scan(chunk);
        if self.scanner.longest_event > MAX_EVENT_BYTES {
            return Err(EventRefused::TooLong);
        }
        let Some(end) = end else {
            self.pending.extend(chunk).map_err(EventRefused::NoRoom)?;
            return Ok(Bytes::new());
        };
        let (ended, rest) = chunk.split_at(end);
        self.pending.extend(ended).map_err(EventRefused::NoRoom)?;
        let complete = self.take_pending();
        self.pending.extend(rest).map_err(EventRefused::NoRoom)?;
        if let Some(id) = last_id_in(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.scanner.is_at_boundary()
    }

    /// Takes what is buffered.
    pub fn take_pending(&mut self) -> Bytes {
        std::mem::replace(&mut self.pending, ByteBuffer::new(&self.budget)).freeze()
    }

    /// Id of the last event that was returned.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the incomplete event that is buffered.
    pub fn drop_partial(&mut self) {
        self.pending = ByteBuffer::new(&self.budget);
        self.scanner = EventScanner::default();
    }
}

/// Follows the lines of a stream. A line ends with CR, LF or both; an empty line ends an event;
/// a line that begins with a colon is a comment and belongs to no event.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether fields of an event have come that no empty line has ended.
    is_in_event: bool,
    /// The line that the last byte, a CR, has ended. A LF after it belongs to the same line end.
    after_cr: Option<LineEnd>,
    /// Number of bytes of the byte order mark that have come.
    mark_len: usize,
    /// Whether any other byte has come.
    has_begun: bool,
    /// Number of bytes since the end of the last event.
    event_len: usize,
    /// The largest that `event_len` has been.
    longest_event: usize,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineEnd {
    OfEvent,
    OfLine,
}

impl EventScanner {
    /// Takes a chunk. Returns the position in it after the last event that it completes.
    pub fn scan(&mut self, chunk: &[u8]) -> Option<usize> {
        let mut end = None;
        for (idx, byte) in chunk.iter().enumerate() {
            if self.take(*byte) == Some(LineEnd::OfEvent) {
                let begun = end.replace(idx + 1).unwrap_or(0);
                self.note_length(idx + 1 - begun);
                self.event_len = 0;
            }
        }
        self.note_length(chunk.len() - end.unwrap_or(0));
        end
    }

    /// Whether no event and no line is incomplete.
    pub fn is_at_boundary(&self) -> bool {
        !self.is_in_event && self.line == Line::Empty
    }

    /// Counts the next bytes of an event.
    fn note_length(&mut self, bytes: usize) {
        self.event_len += bytes;
        self.longest_event = self.longest_event.max(self.event_len);
    }

    /// Takes a byte. Returns the end of a line if it completes one.
    fn take(&mut self, byte: u8) -> Option<LineEnd> {
        let after_cr = self.after_cr.take();
        if byte == b'\n' && after_cr.is_some() {
            return after_cr;
        }
        if self.is_of_mark(byte) {
            return None;
        }
        match (byte, self.line) {
            (b'\r' | b'\n', _) => {
                let ended = self.end_line();
                self.after_cr = (byte == b'\r').then_some(ended);
                return Some(ended);
            }
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
        None
    }

    fn end_line(&mut self) -> LineEnd {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.is_in_event = false;
                LineEnd::OfEvent
            }
            Line::Comment => LineEnd::OfLine,
            Line::Field => {
                self.is_in_event = true;
                LineEnd::OfLine
            }
        }
    }

    /// Whether a byte belongs to the byte order mark.
    fn is_of_mark(&mut self, byte: u8) -> bool {
        if self.has_begun {
            return false;
        }
        if BYTE_ORDER_MARK.get(self.mark_len) == Some(&byte) {
            self.mark_len += 1;
            return true;
        }
        self.has_begun = true;
        false
    }
}

fn last_id_in(events: &[u8]) -> Option<String> {
    let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
    let value = events
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter_map(|line| line.strip_prefix(ID_FIELD))
        .next_back()?;
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
