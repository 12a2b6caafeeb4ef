//! A body of bytes that are at hand, sent in slices.
//!
//! Contract: the HTTP library copies each frame into the write buffer of its connection, which it
//! keeps until the connection ends. A body of one frame would be there once more, and as long.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};

/// Largest slice, in bytes.
pub const MAX_SLICE_BYTES: usize = 16 * 1024;

/// A body whose bytes are all at hand.
#[derive(Debug)]
pub struct SlicedBody {
    rest: Bytes,
}

impl SlicedBody {
    /// Creates a body of these bytes.
    pub fn new(bytes: Bytes) -> Self {
        SlicedBody { rest: bytes }
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.rest.len().min(MAX_SLICE_BYTES);
        let slice = self.rest.split_to(len);
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
