//! How long a caller's connection may rest, and how long its next head may
//! take.
//!
//! The HTTP library knows one limit for both and fixes it when a connection is
//! accepted. Here the two are told apart, and the limits are those in force
//! when they are looked at.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use smol::Timer;
use smol::net::TcpStream;

use crate::server::{Body, BodyAborted};
use crate::shared::Shared;

/// Limits are looked at again after this time at the latest.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// How often a stop looks whether a head is in.
const LOOK_FOR_HEAD: Duration = Duration::from_millis(5);

/// Bounds on the time of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Longest time from the first byte of a head to its last.
    pub head: Duration,
    /// Longest rest between an answer and the next head.
    pub idle: Duration,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing of the next head has arrived.
    Resting,
    /// A head arrives.
    Head,
    /// A request is served.
    Serving,
}

impl Phase {
    /// Name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Phase::Resting => "resting",
            Phase::Head => "head",
            Phase::Serving => "serving",
        }
    }
}

/// The phase of one connection and when it began.
#[derive(Debug)]
pub(crate) struct ConnectionTimer {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    has_served: Cell<bool>,
}

impl ConnectionTimer {
    pub(crate) fn start() -> Rc<Self> {
        Rc::new(ConnectionTimer {
            phase: Cell::new(Phase::Resting),
            since: Cell::new(Instant::now()),
            has_served: Cell::new(false),
        })
    }

    pub(crate) fn request_began(&self) {
        self.has_served.set(true);
        self.enter(Phase::Serving);
    }

    /// Ends when no head is on its way, or after `most`.
    pub(crate) async fn head_is_in(&self, most: Duration) {
        let began = Instant::now();
        while self.expects_head() && began.elapsed() < most {
            Timer::after(LOOK_FOR_HEAD).await;
        }
    }

    /// What the connection is doing, and for how long.
    pub(crate) fn phase(&self) -> (Phase, Duration) {
        (self.phase.get(), self.since.get().elapsed())
    }

    /// Whether a caller has begun a head, or has just connected to send one.
    fn expects_head(&self) -> bool {
        match self.phase.get() {
            Phase::Resting => !self.has_served.get(),
            Phase::Head => true,
            Phase::Serving => false,
        }
    }

    /// Ends when the connection has taken longer than it may.
    pub(crate) async fn overdue(&self, times: &Shared<ConnectionTimeouts>) {
        while let Some(left) = self.left(&times.current()) {
            Timer::after(left.min(LOOK_AGAIN)).await;
        }
    }

    /// Time until the present phase must be over; `None` when it must be now.
    fn left(&self, times: &ConnectionTimeouts) -> Option<Duration> {
        let most = match self.phase.get() {
            Phase::Resting => times.idle,
            Phase::Head => times.head,
            Phase::Serving => return Some(LOOK_AGAIN),
        };
        let left = most.saturating_sub(self.since.get().elapsed());
        (!left.is_zero()).then_some(left)
    }

    fn bytes_arrived(&self) {
        if self.phase.get() == Phase::Resting {
            self.enter(Phase::Head);
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }
}

/// A connection that notes when bytes arrive.
#[derive(Debug)]
pub(crate) struct TimedStream {
    pub(crate) stream: TcpStream,
    pub(crate) clock: Rc<ConnectionTimer>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(count)) if count > 0) {
            self.clock.bytes_arrived();
        }
        read
    }
}

impl AsyncWrite for TimedStream {
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

/// A body at whose end, or drop, the connection rests.
pub(crate) struct TimedBody {
    pub(crate) body: Body,
    pub(crate) clock: Rc<ConnectionTimer>,
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TimedBody {
    fn drop(&mut self) {
        self.clock.enter(Phase::Resting);
    }
}
