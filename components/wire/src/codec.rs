//! Encodes and decodes frames.

use asynchronous_codec::{BytesMut, Decoder, Encoder};
use garnet_types::EncodingVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;
use crate::frame::Frame;
use crate::v11;

/// Maximum length of a frame's payload. The full configuration of the largest supported
/// system fits.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// Length-prefixed `bincode` frames of one version.
#[derive(Debug, Clone, Copy)]
pub struct FrameCodec {
    version: EncodingVersion,
}

impl FrameCodec {
    /// Creates the codec for a connection of `version`.
    pub fn new(version: EncodingVersion) -> Self {
        FrameCodec { version }
    }
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

fn encode_value<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| WireError::Malformed(error.to_string()))
}

fn decode_value<T: DeserializeOwned>(payload: &[u8]) -> Result<T, WireError> {
    let (value, read) = bincode::serde::decode_from_slice(payload, bincode_config())
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if read != payload.len() {
        return Err(WireError::Malformed(
            "bytes are left over after the value".to_owned(),
        ));
    }
    Ok(value)
}

impl Encoder for FrameCodec {
    type Item<'a> = Frame;
    type Error = WireError;

    /// Encodes a frame. Adds no bytes for one that the version lacks and that can be left
    /// out.
    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), WireError> {
        if frame.since() > self.version && self.version > EncodingVersion::V11 {
            return Ok(());
        }
        let payload = if self.version > EncodingVersion::V11 {
            encode_value(&frame)?
        } else {
            match v11::Frame::of(frame)? {
                Some(frame) => encode_value(&frame)?,
                None => return Ok(()),
            }
        };
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
        if self.version > EncodingVersion::V11 {
            decode_value(payload).map(Some)
        } else {
            decode_value::<v11::Frame>(payload).map(|frame| Some(frame.into()))
        }
    }
}
