//! The clock of a process: monotonic, and close to the time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use garnet_types::Millis;
use rustix::time::{ClockId, clock_gettime};

/// The time source of a [`Clock`]. It never goes backwards.
#[derive(Debug, Clone, Copy)]
pub enum TimeSource {
    /// A monotonic clock that stops while the machine is suspended.
    MonotonicTime,
    /// A monotonic clock that continues while the machine is suspended.
    BootTime,
    /// A function that returns the time, for tests.
    Custom(fn() -> Duration),
}

impl TimeSource {
    /// Time since a fixed moment.
    pub fn elapsed(self) -> Duration {
        match self {
            TimeSource::MonotonicTime => read(ClockId::Monotonic),
            TimeSource::BootTime => read(ClockId::Boottime),
            TimeSource::Custom(source) => source(),
        }
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// The time of day at the start of the process plus the time elapsed since then.
///
/// The state machines rely on a clock that never goes backwards, claims on one
/// that is close to the time of day on every machine. Leases rely on one that
/// continues while the machine is suspended: a process that resumes must notice
/// that its lease has expired.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: TimeSource,
    started: Duration,
    started_at: Millis,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new(TimeSource::BootTime)
    }
}

impl Clock {
    /// Creates a clock that starts at the time of day and advances by `source`.
    pub fn new(source: TimeSource) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            source,
            started: source.elapsed(),
            started_at: Millis(since_epoch.as_millis() as u64),
        }
    }

    /// The time source.
    pub fn source(&self) -> TimeSource {
        self.source
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        let elapsed = self.source.elapsed().saturating_sub(self.started);
        self.started_at + Millis(elapsed.as_millis() as u64)
    }
}
