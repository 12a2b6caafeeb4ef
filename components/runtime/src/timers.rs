//! Waiting for a moment of the process's clock.
//!
//! Timers of the loop stand still while the machine is suspended, and the clock
//! does not: what is due would be late by the time of the suspension. Whoever
//! ticks looks for one, and all who wait look at the clock again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use garnet_types::Millis;
use smol::Timer;

use crate::clock::{Clock, TimeSource};

/// A difference of the clocks below this is no suspension: they are not read
/// in the same moment.
const SHORTEST_SUSPENSION: Duration = Duration::from_millis(20);

/// The timers of a process.
#[derive(Debug, Clone)]
pub struct Timers(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    steady: TimeSource,
    /// How far the clock was ahead of the steady one at the last look.
    ahead: Cell<Duration>,
    woke: Event,
}

impl Timers {
    /// Timers by `clock`, whose suspensions show against the steady one.
    pub fn new(clock: Clock) -> Self {
        Timers::with_monotonic(clock, TimeSource::Monotonic)
    }

    /// The same with another steady source.
    pub fn with_monotonic(clock: Clock, steady: TimeSource) -> Self {
        let inner = Inner {
            clock,
            steady,
            ahead: Cell::default(),
            woke: Event::new(),
        };
        inner.ahead.set(inner.ahead_now());
        Timers(Rc::new(inner))
    }

    /// Ends at the moment `due`, or as soon as the loop runs after it.
    pub async fn sleep_until(&self, due: Millis) {
        loop {
            let woke = self.0.woke.listen();
            let left = due.since(self.0.clock.now());
            if left == Millis::ZERO {
                return;
            }
            let timer = async {
                Timer::after(Duration::from_millis(left.0)).await;
            };
            smol::future::or(timer, woke).await;
        }
    }

    /// Looks whether the machine was suspended since the last look, and for how
    /// long. All who wait look at the clock again then.
    pub fn check_suspension(&self) -> Option<Duration> {
        let ahead = self.0.ahead_now();
        let suspended = ahead.saturating_sub(self.0.ahead.replace(ahead));
        if suspended < SHORTEST_SUSPENSION {
            return None;
        }
        self.0.woke.notify(usize::MAX);
        Some(suspended)
    }
}

impl Inner {
    fn ahead_now(&self) -> Duration {
        let counted = self.clock.source().elapsed();
        counted.saturating_sub(self.steady.elapsed())
    }
}
