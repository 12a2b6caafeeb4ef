//! Limits what a connection receives without progress.
//!
//! The HTTP library limits heads, chunk extensions and trailers, but neither the length of a chunk
//! size nor the number of informational answers.
//!
//! Contract: a connection fails once it has received more than [`MAX_BYTES_WITHOUT_PROGRESS`]
//! since its last progress, which is a whole head or a part of a body that its reader took.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use displaydoc::Display;
use futures_lite::{AsyncRead, AsyncWrite};
use thiserror::Error;

use crate::fair_stream::{FairStream, MAX_BYTES_PER_TURN};

/// Maximum number of bytes received without progress.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 1024 * 1024;
/// Longest head that the HTTP library reads.
const MAX_HEAD_BYTES: usize = 408 * 1024;
/// Number of reads in which the HTTP library is ahead of the reader of a body: a part that waits
/// to be taken, and the one after it.
const MAX_READS_AHEAD: usize = 2;

// A reader that takes its time is not taken for a peer without progress.
const _: () = assert!(
    MAX_HEAD_BYTES + (MAX_READS_AHEAD + 1) * MAX_BYTES_PER_TURN < MAX_BYTES_WITHOUT_PROGRESS
);

/// more than {0} bytes were received without progress
#[derive(Debug, Display, Error)]
struct NoProgress(usize);

/// The bytes that a connection has received since its last progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    bytes: Rc<Cell<usize>>,
}

impl Progress {
    /// Notes that a whole head or a part of a body was taken.
    pub(crate) fn note(&self) {
        self.bytes.set(0);
    }

    fn received(&self, count: usize) -> Result<(), NoProgress> {
        let bytes = self.bytes.get().saturating_add(count);
        self.bytes.set(bytes);
        if bytes > MAX_BYTES_WITHOUT_PROGRESS {
            return Err(NoProgress(MAX_BYTES_WITHOUT_PROGRESS));
        }
        Ok(())
    }
}

/// A stream that fails without progress. It reads at most [`MAX_BYTES_PER_TURN`] at once.
#[derive(Debug)]
pub(crate) struct ProgressStream<S> {
    stream: FairStream<S>,
    progress: Progress,
}

impl<S> ProgressStream<S> {
    pub(crate) fn new(stream: S, progress: Progress) -> Self {
        let stream = FairStream::new(stream);
        ProgressStream { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ProgressStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = self.progress.received(count);
        received.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ProgressStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
