//! Idle and request-head timeouts of callers' connections.
//!
//! The HTTP library has a single timeout for both and sets it when a connection
//! is accepted. This module has one timeout for each, and a change of settings
//! takes effect on open connections.

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

use crate::close_mode::CloseMode;
use crate::progress::ProgressStream;
use crate::server::{Body, BodyAborted};
use crate::shared::Shared;
use garnet_types::Framing;

/// Interval at which changed timeouts are noticed.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Poll interval for the end of a request head during a stop.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Maximum time from the first to the last byte of a request head.
    pub head: Duration,
    /// Maximum time between an answer and the next request head.
    pub idle: Duration,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte of the next request head has arrived.
    Idle,
    /// A request head is arriving.
    Head,
    /// A request is being served.
    Serving,
}

impl Phase {
    /// The name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Phase::Idle => "resting",
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
    /// Whether bytes of an answer wait until the caller's connection takes them.
    has_unsent: Cell<bool>,
}

impl ConnectionTimer {
    pub(crate) fn start() -> Rc<Self> {
        Rc::new(ConnectionTimer {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            has_served: Cell::new(false),
            has_unsent: Cell::new(false),
        })
    }

    pub(crate) fn on_request(&self) {
        self.has_served.set(true);
        self.enter(Phase::Serving);
    }

    /// Waits until no request head is expected, or until `timeout` has passed.
    pub(crate) async fn head_received(&self, timeout: Duration) {
        let began = Instant::now();
        while self.expects_head() && began.elapsed() < timeout {
            Timer::after(HEAD_POLL_INTERVAL).await;
        }
    }

    /// Whether bytes of an answer wait until the caller's connection takes them.
    pub(crate) fn has_unsent(&self) -> bool {
        self.has_unsent.get()
    }

    /// The current phase and its duration so far.
    pub(crate) fn phase(&self) -> (Phase, Duration) {
        (self.phase.get(), self.since.get().elapsed())
    }

    /// Whether the caller has started to send a request head, or has just connected.
    fn expects_head(&self) -> bool {
        match self.phase.get() {
            Phase::Idle => !self.has_served.get(),
            Phase::Head => true,
            Phase::Serving => false,
        }
    }

    /// Waits until the current phase exceeds its timeout.
    pub(crate) async fn timed_out(&self, timeouts: &Shared<ConnectionTimeouts>) {
        while let Some(remaining) = self.remaining(&timeouts.current()) {
            Timer::after(remaining.min(TIMEOUT_CHECK_INTERVAL)).await;
        }
    }

    /// Time left in the current phase; `None` when its timeout has expired.
    fn remaining(&self, timeouts: &ConnectionTimeouts) -> Option<Duration> {
        let timeout = match self.phase.get() {
            Phase::Idle => timeouts.idle,
            Phase::Head => timeouts.head,
            Phase::Serving => return Some(TIMEOUT_CHECK_INTERVAL),
        };
        let remaining = timeout.saturating_sub(self.since.get().elapsed());
        (!remaining.is_zero()).then_some(remaining)
    }

    fn on_bytes(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }
}

/// A stream that informs its connection timer when bytes arrive.
#[derive(Debug)]
pub(crate) struct TimedStream {
    pub(crate) stream: ProgressStream<TcpStream>,
    pub(crate) connection_timer: Rc<ConnectionTimer>,
    pub(crate) close_mode: Rc<CloseMode>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(count)) if count > 0) {
            self.connection_timer.on_bytes();
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
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.connection_timer.has_unsent.set(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library shuts a connection down only after a complete answer.
        self.close_mode.complete();
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// A response body. Its connection becomes idle when it is dropped, or when the first of a body
/// is taken that is at hand: from then on, only the caller can delay it.
pub(crate) struct TimedBody {
    body: Body,
    framing: Framing,
    connection_timer: Rc<ConnectionTimer>,
    /// Whether all of the body is at hand and none of it was taken yet.
    is_whole: bool,
}

impl TimedBody {
    pub(crate) fn new(body: Body, framing: Framing, connection_timer: Rc<ConnectionTimer>) -> Self {
        TimedBody {
            is_whole: body.size_hint().exact().is_some(),
            body,
            framing,
            connection_timer,
        }
    }
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if std::mem::take(&mut self.is_whole) {
            self.connection_timer.enter(Phase::Idle);
        }
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.framing == Framing::Delimited && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Delimited => self.body.size_hint(),
            // A known size would become a length.
            Framing::UntilClose => SizeHint::default(),
        }
    }
}

impl Drop for TimedBody {
    fn drop(&mut self) {
        self.connection_timer.enter(Phase::Idle);
    }
}
