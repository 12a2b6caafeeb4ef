//! Bounds what one connection may read before other tasks of the event loop run.
//!
//! The HTTP library reads on as long as the socket has bytes, so a peer that sends faster than
//! its bytes are parsed would occupy the event loop without end.
//!
//! Contract: a stream reads at most [`MAX_BYTES_PER_TURN`] until its socket is empty or it is
//! granted another turn. A turn is granted only after the reactor has been polled, so that timers
//! have fired and other sockets were seen, and at most one stream is granted one per poll of the
//! reactor. However many peers send without end, the event loop is delayed by one turn.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Wake, Waker, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

/// Bytes that a stream reads in one turn. The longest request head fits into it.
pub const MAX_BYTES_PER_TURN: usize = 32 * 1024;

/// Delay of the timer that the reactor has to fire.
const REACTOR_TURN_DELAY: Duration = Duration::from_micros(10);

thread_local! {
    /// Number of turns granted on this thread.
    static GRANTED_TURNS: Cell<u64> = const { Cell::new(0) };
}

/// A stream that reads in turns.
#[derive(Debug)]
pub struct FairStream<S> {
    stream: S,
    bytes_in_turn: usize,
    /// Number of turns that were granted before this stream's current one.
    granted_before: Option<u64>,
    waiting: Option<NextTurn>,
}

impl<S> FairStream<S> {
    /// Wraps a stream, which begins with a turn of its own.
    pub fn new(stream: S) -> Self {
        FairStream {
            stream,
            bytes_in_turn: 0,
            granted_before: None,
            waiting: None,
        }
    }

    /// Waits for the next turn if this one is used up.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.bytes_in_turn < MAX_BYTES_PER_TURN {
            return Poll::Ready(());
        }
        let granted_before = &mut self.granted_before;
        let waiting = self
            .waiting
            .get_or_insert_with(|| NextTurn::new(granted_before.take()));
        let granted = ready!(waiting.poll_granted(context));
        self.waiting = None;
        self.granted_before = Some(granted);
        self.bytes_in_turn = 0;
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(context));
        let max = buffer.len().min(MAX_BYTES_PER_TURN - self.bytes_in_turn);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..max]);
        match &read {
            Poll::Ready(Ok(count)) => self.bytes_in_turn += count,
            Poll::Ready(Err(_)) => {}
            // The socket is empty: the stream waits for the reactor in any case.
            Poll::Pending => {
                self.bytes_in_turn = 0;
                self.granted_before = None;
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
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

/// Waits for a turn.
///
/// Waiting streams are polled in the order in which they began to wait. One takes the turn if none
/// was granted since it last waited. The stream that had the last turn counts that turn as granted
/// to another one, so that the streams take turns in order.
#[derive(Debug)]
struct NextTurn {
    reactor_turn: ReactorTurn,
    granted: u64,
}

impl NextTurn {
    /// `granted_before` is the number of turns granted before the last one of the stream.
    fn new(granted_before: Option<u64>) -> Self {
        NextTurn {
            reactor_turn: ReactorTurn::default(),
            granted: granted_before.unwrap_or_else(|| GRANTED_TURNS.get()),
        }
    }

    /// Returns the number of turns that were granted before.
    fn poll_granted(&mut self, context: &mut Context<'_>) -> Poll<u64> {
        loop {
            ready!(Pin::new(&mut self.reactor_turn).poll(context));
            let granted = GRANTED_TURNS.get();
            if self.granted == granted {
                GRANTED_TURNS.set(granted.wrapping_add(1));
                return Poll::Ready(granted);
            }
            *self = NextTurn::new(None);
        }
    }
}

/// Completes after the reactor has been polled.
///
/// A timer alone completes by its time, also if its task is polled for another reason. So its
/// wake-up, which only the reactor does, is noted.
#[derive(Debug, Default)]
struct ReactorTurn {
    timer: Option<Timer>,
    wake_up: Arc<WakeUp>,
}

impl Future for ReactorTurn {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.wake_up.is_done(context.waker()) {
            return Poll::Ready(());
        }
        if self.timer.is_none() {
            let waker = Waker::from(Arc::clone(&self.wake_up));
            self.timer = Some(registered_timer(&waker));
        }
        Poll::Pending
    }
}

/// A timer that the reactor has.
fn registered_timer(waker: &Waker) -> Timer {
    loop {
        let mut timer = Timer::after(REACTOR_TURN_DELAY);
        // A timer that is due when it is first polled does not reach the reactor.
        let mut context = Context::from_waker(waker);
        if Pin::new(&mut timer).poll(&mut context).is_pending() {
            return timer;
        }
    }
}

/// Notes that a timer has woken its task.
#[derive(Debug, Default)]
struct WakeUp {
    state: Mutex<WakeUpState>,
}

#[derive(Debug, Default)]
struct WakeUpState {
    is_done: bool,
    waker: Option<Waker>,
}

impl WakeUp {
    /// Whether it has happened; `waker` is woken otherwise when it does.
    fn is_done(&self, waker: &Waker) -> bool {
        let mut state = self.lock();
        if !state.is_done {
            state.waker = Some(waker.clone());
        }
        state.is_done
    }

    fn lock(&self) -> MutexGuard<'_, WakeUpState> {
        // The state is consistent even if a thread panicked while it held the lock.
        let state = self.state.lock();
        state.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Wake for WakeUp {
    fn wake(self: Arc<Self>) {
        let waker = {
            let mut state = self.lock();
            state.is_done = true;
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Waits until the reactor has been polled. Loops that accept connections call it, as they do not
/// wait while there are connections to accept.
pub async fn reactor_turn() {
    ReactorTurn::default().await;
}
