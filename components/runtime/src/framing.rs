//! How the end of an answer is marked on its connection.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How the end of an answer is marked (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by the last chunk, or by a head that allows no body.
    Delimited,
    /// By the end of the connection. An answer that was broken off looks complete.
    UntilClose,
}

impl Framing {
    /// The framing of an answer with these headers. `has_no_body` is set if the answer ends with
    /// its head.
    pub fn of(headers: &HeaderMap, has_no_body: bool) -> Self {
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

    /// Whether an answer with this framing may come to its end where the answer that it passes on
    /// has come to an end that is marked as `source`.
    pub fn may_end_with(self, source: Framing) -> bool {
        self == Framing::UntilClose || source == Framing::Delimited
    }
}

fn last_coding_is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
