//! Encoding and decoding of server-sent events.

use displaydoc::Display;
use thiserror::Error;

/// Longest line, without its end. A longer one is not buffered.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// a line is longer than 1048576 bytes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct LineTooLong;

/// Decodes the `data:` lines of server-sent events from a body that arrives in chunks.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

/// Prefix of a line that carries data.
const DATA: &[u8] = b"data: ";

impl EventReader {
    /// Number of bytes of the line that is incomplete.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Adds a chunk and returns the data of all lines that it completes.
    ///
    /// # Errors
    /// If the last line is too long. The reader is of no use then.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Vec<u8>>, LineTooLong> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line[..end].strip_prefix(DATA) {
                events.push(data.to_vec());
            }
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        Ok(events)
    }
}

/// Encodes one server-sent event with the given data.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
