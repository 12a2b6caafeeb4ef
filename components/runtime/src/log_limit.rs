//! A rate limit on the log lines of each event.
//!
//! Under load some events occur thousands of times a second, and logging them
//! would cost more than handling them. Suppressed lines are counted, and the
//! next line of the same event reports the count.

use std::collections::HashMap;

/// Maximum count of lines of one event in a second.
pub const LINES_PER_SECOND: u32 = 200;
const SECOND_MS: u64 = 1000;

#[derive(Debug, Clone, Copy, Default)]
struct Written {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Counts the lines of each event.
#[derive(Debug, Default)]
pub struct LogLimit {
    events: HashMap<&'static str, Written>,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written.
    Write {
        /// Lines of the same event suppressed since the last one that was written.
        suppressed: u64,
    },
    /// The line is suppressed and counted.
    Suppress,
}

impl LogLimit {
    /// Decides whether a line of `event` at `time_ms` is written.
    pub fn check(&mut self, event: &'static str, time_ms: u64) -> Verdict {
        let written = self.events.entry(event).or_default();
        let second = time_ms / SECOND_MS;
        if written.second != second {
            written.second = second;
            written.lines = 0;
        }
        if written.lines >= LINES_PER_SECOND {
            written.suppressed += 1;
            return Verdict::Suppress;
        }
        written.lines += 1;
        let suppressed = std::mem::take(&mut written.suppressed);
        Verdict::Write { suppressed }
    }
}
