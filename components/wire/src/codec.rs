//! Frames to bytes and back.

use asynchronous_codec::{BytesMut, Decoder, Encoder};

use crate::error::WireError;
use crate::frame::Frame;

/// Longest frame, in bytes: a whole configuration of the target's size fits.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// Length-prefixed `bincode` frames.
#[derive(Debug, Clone, Copy, Default)]
pub struct FrameCodec;

fn encoding() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

impl Encoder for FrameCodec {
    type Item<'a> = Frame;
    type Error = WireError;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), WireError> {
        let payload = bincode::serde::encode_to_vec(&frame, bincode::config::standard())
            .map_err(|error| WireError::Malformed(error.to_string()))?;
        if payload.len() > MAX_FRAME_BYTES {
            return Err(WireError::TooLong(payload.len()));
        }
        target.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        target.extend_from_slice(&payload);
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(prefix) = source.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let mut length = [0; LENGTH_BYTES];
        length.copy_from_slice(prefix);
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireError::TooLong(length));
        }
        if source.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let bytes = source.split_to(LENGTH_BYTES + length);
        let payload = &bytes[LENGTH_BYTES..];
        let (frame, read) = bincode::serde::decode_from_slice(payload, encoding())
            .map_err(|error| WireError::Malformed(error.to_string()))?;
        if read != payload.len() {
            return Err(WireError::Malformed("bytes are left over".to_owned()));
        }
        Ok(Some(frame))
    }
}
