//! Encoding and decoding of server-sent events.

/// Decodes the `data:` lines of server-sent events from a body that arrives in chunks.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

/// Prefix of a line that carries data.
const DATA: &[u8] = b"data: ";

impl EventReader {
    /// Adds a chunk and returns the data of all lines that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<Vec<u8>> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line[..end].strip_prefix(DATA) {
                events.push(data.to_vec());
            }
        }
        events
    }
}

/// Encodes one server-sent event with the given data.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
