//! A client's stream that can be handed to a new connection of the HTTP library to read one more
//! answer to the request that has been sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Buf, Bytes};

/// A client's stream.
#[derive(Debug)]
pub(crate) struct ResumableStream<S> {
    stream: S,
    /// Bytes that an earlier connection of the HTTP library has received and not read.
    unread: Bytes,
    request: RequestState,
}

#[derive(Debug)]
enum RequestState {
    /// What is written is sent.
    Unsent,
    /// The request has been sent, so that what is written is discarded. The HTTP library takes bytes
    /// that it receives before it writes for bytes of no answer, so that reads wait for a write.
    AwaitsWrite(Option<Waker>),
    /// The HTTP library has written the request again.
    Written,
}

impl<S> ResumableStream<S> {
    /// A stream whose request has not been sent.
    pub(crate) fn new(stream: S) -> Self {
        ResumableStream {
            stream,
            unread: Bytes::new(),
            request: RequestState::Unsent,
        }
    }

    /// The stream after an answer to its request was read, without the `unread` bytes that follow it.
    pub(crate) fn after_answer(self, unread: Bytes) -> Self {
        ResumableStream {
            stream: self.stream,
            unread,
            request: RequestState::AwaitsWrite(None),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ResumableStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let RequestState::AwaitsWrite(reader) = &mut self.request {
            *reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.unread.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = buffer.len().min(self.unread.len());
        self.unread.copy_to_slice(&mut buffer[..count]);
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ResumableStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.request {
            RequestState::Unsent => return Pin::new(&mut self.stream).poll_write(context, buffer),
            RequestState::AwaitsWrite(reader) => {
                if let Some(reader) = reader.take() {
                    reader.wake();
                }
                self.request = RequestState::Written;
            }
            RequestState::Written => {}
        }
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
