//! Reads from the headers of an answer how its end is marked.

use garnet_types::Framing;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// The framing of an answer with these headers. `has_no_body` is set if the answer ends with its
/// head.
pub fn framing_of(headers: &HeaderMap, has_no_body: bool) -> Framing {
    let is_delimited = match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        // Only chunks mark an end, and they override a length.
        Some(codings) => last_coding_is_chunked(codings.as_bytes()),
        None => headers.contains_key(CONTENT_LENGTH),
    };
    if is_delimited || has_no_body {
        Framing::Delimited
    } else {
        Framing::UntilClose
    }
}

fn last_coding_is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
