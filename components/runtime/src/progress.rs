//! Limits what a connection receives without progress, and what it holds of that.
//!
//! The HTTP library limits heads, chunk extensions and trailers, but neither the length of a chunk
//! size nor the number of informational answers.
//!
//! Contract: a connection fails once it has received more than [`MAX_BYTES_WITHOUT_PROGRESS`]
//! since its last progress, which is a whole head or a part of a body that its reader took. What
//! the connection of a client holds of a head beyond [`MAX_UNCOUNTED_BYTES`] is reserved in a
//! budget, until the head is dropped.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use displaydoc::Display;
use futures_lite::{AsyncRead, AsyncWrite};
use thiserror::Error;

use crate::byte_budget::{BudgetExceeded, ByteBudget, Reservation};
use crate::fair_stream::{FairStream, MAX_BYTES_PER_TURN};
use crate::pooled_connection::MAX_CONNECTION_BUFFER_BYTES;

/// Maximum number of bytes received without progress.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 1024 * 1024;
/// Most that is read at once. The HTTP library's buffer is twice as large, and there are two while
/// a part of a body waits to be taken.
const MAX_BYTES_PER_READ: usize = 8 * 1024;
/// Longest head that the HTTP library reads.
const MAX_HEAD_BYTES: usize = 408 * 1024;
/// What each connection may hold without a reservation: a part of a body and the next one.
const MAX_UNCOUNTED_BYTES: usize = 2 * MAX_BYTES_PER_READ;
/// The HTTP library's buffer doubles as a head grows.
const BUFFER_GROWTH: usize = 2;
/// Number of reads in which the HTTP library is ahead of the reader of a body: a part that waits
/// to be taken, and the one after it.
const MAX_READS_AHEAD: usize = 2;

// A reader that takes its time is not taken for a peer without progress.
const _: () = assert!(
    MAX_HEAD_BYTES + (MAX_READS_AHEAD + 1) * MAX_BYTES_PER_TURN < MAX_BYTES_WITHOUT_PROGRESS
);

/// Why a connection is read no further.
#[derive(Debug, Display, Error)]
pub(crate) enum ReadRefused {
    /// more than {0} bytes were received without progress
    NoProgress(usize),
    /// {0}
    NoRoom(BudgetExceeded),
}

/// The room that the head of an answer takes in a budget, freed with the last copy of the head.
#[derive(Debug, Clone)]
pub(crate) struct HeadRoom(#[expect(dead_code, reason = "held for its drop")] Arc<Reservation>);

/// The bytes that a connection has received since its last progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    bytes: Rc<Cell<usize>>,
    held: Option<Rc<RefCell<Reservation>>>,
}

impl Progress {
    /// The bytes of a connection that reserves what it holds in `budget`.
    pub(crate) fn within(budget: &ByteBudget) -> Self {
        Progress {
            bytes: Rc::default(),
            held: Some(Rc::new(RefCell::new(budget.reserve()))),
        }
    }

    /// Notes that a whole head or a part of a body was taken.
    pub(crate) fn note(&self) {
        self.bytes.set(0);
        // Nothing is left of what was held for a part of a body.
        drop(self.take_held());
    }

    /// Notes that a whole head was taken, and returns the room that it takes, if any is reserved.
    pub(crate) fn note_head(&self) -> Option<HeadRoom> {
        self.bytes.set(0);
        let held = self.take_held()?;
        Some(HeadRoom(Arc::new(held)))
    }

    fn take_held(&self) -> Option<Reservation> {
        let mut held = self.held.as_ref()?.borrow_mut();
        held.take()
    }

    fn received(&self, count: usize) -> Result<(), ReadRefused> {
        let bytes = self.bytes.get().saturating_add(count);
        self.bytes.set(bytes);
        if bytes > MAX_BYTES_WITHOUT_PROGRESS {
            return Err(ReadRefused::NoProgress(MAX_BYTES_WITHOUT_PROGRESS));
        }
        if let Some(held) = self.held.as_ref().filter(|_| bytes > MAX_UNCOUNTED_BYTES) {
            let size = BUFFER_GROWTH * bytes.min(MAX_CONNECTION_BUFFER_BYTES);
            let reserved = held.borrow_mut().resize(size);
            reserved.map_err(ReadRefused::NoRoom)?;
        }
        Ok(())
    }
}

/// A stream that fails without progress. It reads at most [`MAX_BYTES_PER_READ`] at once.
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
        let max = buffer.len().min(MAX_BYTES_PER_READ);
        let stream = Pin::new(&mut self.stream);
        let count = ready!(stream.poll_read(context, &mut buffer[..max]))?;
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
