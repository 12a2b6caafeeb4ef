//! The body of a request that a server receives.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::progress::Progress;

/// The body of a request. Each part that is taken from it is progress of its connection.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    progress: Progress,
}

impl RequestBody {
    pub(crate) fn new(body: Incoming, progress: Progress) -> Self {
        RequestBody { body, progress }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(Some(Ok(_)))) {
            self.progress.note();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
