//! Matches an answer to the request that it belongs to.

use hyper::http::response::Parts as ResponseParts;

use crate::ports::{BackendPort, Call};

/// The head of an answer that names the request to which it was received.
///
/// A back end may send a surplus answer, which arrives in the place of the answer that is due
/// next. What an answer reports, above all that a request has not run, is read from an
/// `AnswerHead` only.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead<'a>(&'a ResponseParts);

impl<'a> AnswerHead<'a> {
    /// Matches a head to the request of `call`. `None` if it names another request or none, or
    /// if it is not a final answer.
    pub fn matching<B: BackendPort>(
        backends: &B,
        call: &Call,
        head: &'a ResponseParts,
    ) -> Option<Self> {
        let is_own = backends.answered_id(head) == Some(call.facts.id.as_str());
        let is_final = !head.status.is_informational();
        (is_own && is_final).then_some(AnswerHead(head))
    }

    /// The status and headers.
    pub fn parts(&self) -> &'a ResponseParts {
        self.0
    }
}
