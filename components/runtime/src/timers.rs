//! Timers that wait for a time of the process's clock.
//!
//! Timers of the event loop stop while the machine is suspended, but the clock
//! does not, so they would fire late by the duration of the suspension. A
//! periodic task checks for suspensions, and all waiting tasks then read the
//! clock again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use garnet_types::Millis;
use smol::Timer;

use crate::clock::{Clock, TimeSource};

/// A smaller difference of the clocks is no suspension, as they are not read at
/// the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// The timers of a process.
#[derive(Debug, Clone)]
pub struct Timers(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    monotonic: TimeSource,
    /// Lead of the clock over the monotonic one at the last check.
    lead: Cell<Duration>,
    resumed: Event,
}

impl Timers {
    /// Creates timers of `clock`, compared with the monotonic clock to detect
    /// suspensions.
    pub fn new(clock: Clock) -> Self {
        Timers::with_monotonic(clock, TimeSource::MonotonicTime)
    }

    /// Creates timers with another monotonic source.
    pub fn with_monotonic(clock: Clock, monotonic: TimeSource) -> Self {
        let inner = Inner {
            clock,
            monotonic,
            lead: Cell::default(),
            resumed: Event::new(),
        };
        inner.lead.set(inner.current_lead());
        Timers(Rc::new(inner))
    }

    /// Waits until `due`, or until the event loop first runs after it.
    pub async fn sleep_until(&self, due: Millis) {
        loop {
            let resumed = self.0.resumed.listen();
            let remaining = due.since(self.0.clock.now());
            if remaining == Millis::ZERO {
                return;
            }
            let timer = async {
                Timer::after(Duration::from_millis(remaining.0)).await;
            };
            smol::future::or(timer, resumed).await;
        }
    }

    /// Returns for how long the machine was suspended since the last check, if it
    /// was, and makes all waiting tasks read the clock again.
    pub fn check_suspension(&self) -> Option<Duration> {
        let lead = self.0.current_lead();
        let suspended = lead.saturating_sub(self.0.lead.replace(lead));
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.0.resumed.notify(usize::MAX);
        Some(suspended)
    }
}

impl Inner {
    fn current_lead(&self) -> Duration {
        let counted = self.clock.source().elapsed();
        counted.saturating_sub(self.monotonic.elapsed())
    }
}
