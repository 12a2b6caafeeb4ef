//! Frames of a file: one checksummed unit for each sync.
//!
//! A frame is written only after the previous one was synced. After a crash, at
//! most the last frame of the last segment can be torn. An invalid frame that is
//! followed by a valid one means that the medium is damaged.

/// Marks the start of a frame, so that a valid frame can be found after an invalid one.
const MAGIC: [u8; 4] = *b"GCF1";
/// Length of the header: magic, payload length and checksum.
const HEADER_BYTES: usize = 12;

/// The payload and the length of the frame at the start of `bytes`, if that frame is
/// complete and its checksum matches.
fn parse(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    let intact = crc32fast::hash(payload) == checksum;
    intact.then_some((payload, HEADER_BYTES + length))
}

/// Encodes a payload as a frame.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// The frames of a file.
#[derive(Debug)]
pub(crate) struct Frames<'a> {
    /// Payloads, in order.
    pub payloads: Vec<&'a [u8]>,
    /// Length in bytes of the valid frames at the start of the file.
    pub valid_length: usize,
    /// Whether a valid frame follows the first invalid byte.
    pub damaged: bool,
}

/// Reads all frames of a file.
pub(crate) fn read_all(bytes: &[u8]) -> Frames<'_> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some((payload, length)) = parse(&bytes[offset..]) {
        payloads.push(payload);
        offset += length;
    }
    let damaged = offset < bytes.len() && contains_frame(&bytes[offset + 1..]);
    Frames {
        payloads,
        valid_length: offset,
        damaged,
    }
}

fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(HEADER_BYTES - 1))
        .any(|offset| parse(&bytes[offset..]).is_some())
}
