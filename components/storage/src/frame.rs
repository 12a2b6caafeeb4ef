//! Frames: one checksummed unit for each sync.
//!
//! A frame is written only after the one before it was synced, so after a
//! crash at most the last frame of the last segment can be torn. A bad frame
//! that a good one follows is damage of the medium.

/// Marks the start of a frame; lets a reader find a good frame behind a bad one.
const MAGIC: [u8; 4] = *b"GCF1";
/// Magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// The payload of the frame that starts at the front of `bytes`, if it is
/// whole, and the frame's length.
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

/// Wraps a payload.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// What a file of frames holds.
#[derive(Debug)]
pub(crate) struct Frames<'a> {
    /// Payloads in order.
    pub payloads: Vec<&'a [u8]>,
    /// Bytes of whole frames from the start of the file.
    pub valid_length: usize,
    /// Whether a whole frame was found behind the first bad byte.
    pub damaged: bool,
}

/// Reads all frames of a file.
pub(crate) fn read_all(bytes: &[u8]) -> Frames<'_> {
    let mut payloads = Vec::new();
    let mut at = 0;
    while let Some((payload, length)) = parse(&bytes[at..]) {
        payloads.push(payload);
        at += length;
    }
    let damaged = at < bytes.len() && has_frame(&bytes[at + 1..]);
    Frames {
        payloads,
        valid_length: at,
        damaged,
    }
}

fn has_frame(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(HEADER_BYTES - 1)).any(|at| parse(&bytes[at..]).is_some())
}
