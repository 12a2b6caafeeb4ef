//! Tells whether a connection has bytes that its peer does not take yet.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Whether the last write to a connection is waiting for its peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteMonitor {
    is_waiting: Rc<Cell<bool>>,
}

impl WriteMonitor {
    pub(crate) fn is_waiting(&self) -> bool {
        self.is_waiting.get()
    }

    fn note<T>(&self, written: &Poll<T>) {
        self.is_waiting.set(written.is_pending());
    }
}

/// A stream whose writes are monitored.
#[derive(Debug)]
pub(crate) struct MonitoredStream<S> {
    pub(crate) stream: S,
    pub(crate) monitor: WriteMonitor,
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.monitor.note(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.monitor.note(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
