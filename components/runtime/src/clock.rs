//! The clock of a process: monotonic, and near the time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use garnet_types::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Where the time of a [`Clock`] comes from. It never goes back.
#[derive(Debug, Clone, Copy)]
pub enum TimeSource {
    /// Stands still while the machine is suspended.
    Monotonic,
    /// Goes on while the machine is suspended.
    BootTime,
    /// For tests.
    Custom(fn() -> Duration),
}

impl TimeSource {
    /// Time since a moment that stays the same.
    pub fn elapsed(self) -> Duration {
        match self {
            TimeSource::Monotonic => read(ClockId::Monotonic),
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

/// Milliseconds since 1970 when the process started, plus the time since then.
///
/// The cores rely on it never going back; claims rely on it being near the
/// time of day on every machine. Leases rely on it going on while the machine
/// is suspended: a process that wakes must know that its time is over.
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
    /// A clock that starts at the time of day and goes by `source`.
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

    /// What it goes by.
    pub fn source(&self) -> TimeSource {
        self.source
    }

    /// The present.
    pub fn now(&self) -> Millis {
        let elapsed = self.source.elapsed().saturating_sub(self.started);
        self.started_at + Millis(elapsed.as_millis() as u64)
    }
}
