//! How the end of an answer is marked.

/// How the end of an answer is marked on its connection (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by the last chunk, or by a head that allows no body.
    Delimited,
    /// By the end of the connection. An answer that was broken off looks complete.
    UntilClose,
}

impl Framing {
    /// Whether an answer with this framing may come to its end where the answer that it passes on
    /// has come to an end that is marked as `source`.
    pub fn may_end_with(self, source: Framing) -> bool {
        self == Framing::UntilClose || source == Framing::Delimited
    }
}
