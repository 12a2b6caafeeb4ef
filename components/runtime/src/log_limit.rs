//! A bound on the lines of one kind of event in a second.
//!
//! Under load some events come thousands of times a second, and their lines
//! would cost more than the work they tell of. What is left out is counted,
//! and the count is told when the next line of that kind is written.

use std::collections::HashMap;

/// Lines of one kind of event in a second.
pub const LINES_PER_SECOND: u32 = 200;
const SECOND_MS: u64 = 1000;

#[derive(Debug, Clone, Copy, Default)]
struct Written {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Counts the lines of each kind.
#[derive(Debug, Default)]
pub struct LogLimit {
    events: HashMap<&'static str, Written>,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written, after this many of its kind were left out.
    Write {
        /// Lines left out since the last one that was written.
        suppressed: u64,
    },
    /// It is left out and counted.
    Suppress,
}

impl LogLimit {
    /// Judges a line of `event` at a time.
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
