//! The clock of a process: monotonic, and near the time of day.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use garnet_types::Millis;

/// Milliseconds since 1970 when the process started, plus monotonic time.
///
/// The cores rely on it never going back; claims rely on it being near the
/// time of day on every machine.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Millis,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_at: Millis(since_epoch.as_millis() as u64),
        }
    }
}

impl Clock {
    /// The present.
    pub fn now(&self) -> Millis {
        self.started_at + Millis(self.started.elapsed().as_millis() as u64)
    }
}
