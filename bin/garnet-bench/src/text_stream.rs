//! A streamed text as its caller reads it.

use garnet_engine_api::EventReader;
use serde_json::Value;

/// The event that says that the text is whole.
const END_MARK: &[u8] = b"[DONE]";

/// What has come of a stream so far.
#[derive(Default)]
pub(crate) struct TextStream {
    reader: EventReader,
    pub(crate) text: String,
    /// Whether the mark of its end came.
    pub(crate) is_done: bool,
    /// The engine that gave the text, once it is told.
    pub(crate) served_by: Option<String>,
}

impl TextStream {
    /// Takes a chunk of the body; whether it held text. Half an event waits
    /// for the rest.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> bool {
        let before = self.text.len();
        let events = match self.reader.push(chunk) {
            Ok(events) => events,
            Err(error) => {
                eprintln!("a stream was not read: {error}");
                return false;
            }
        };
        for event in events {
            if event == END_MARK {
                self.is_done = true;
                continue;
            }
            let chunk: Value = serde_json::from_slice(&event).unwrap_or_default();
            self.text += chunk["choices"][0]["text"].as_str().unwrap_or_default();
            if let Some(engine) = chunk["garnet_served_by"].as_str() {
                self.served_by = Some(engine.to_owned());
            }
        }
        self.text.len() > before
    }
}
