//! Server-sent events from a body that comes in chunks.

/// Cuts a stream of bytes into the `data:` lines of server-sent events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

/// Start of a line that carries data.
const DATA: &[u8] = b"data: ";

impl EventReader {
    /// Takes a chunk and gives the data of every line that is now whole.
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

/// One event's bytes.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
