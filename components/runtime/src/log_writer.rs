//! Writes log lines to standard output without ever holding up the loop.
//!
//! Lines go through a bounded queue to a thread of their own. When the reader
//! of the output is slow or stops, lines are left out and counted; the count
//! is told in a line as soon as there is room again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written.
const QUEUED_LINES: usize = 2048;

/// The loop's side: never blocks.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: LogCounts,
}

/// How many lines wait, and how many were left out.
#[derive(Debug, Clone, Default)]
pub struct LogCounts {
    waiting: Arc<AtomicU64>,
    suppressed: Arc<AtomicU64>,
}

impl LogCounts {
    /// Waits until every line is written, up to `patience`: at the very end of
    /// a process only, when no loop is left to hold up.
    pub fn wait_until_written(&self, patience: Duration) {
        let started = Instant::now();
        while self.waiting.load(Ordering::Acquire) > 0 && started.elapsed() < patience {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, queued) = sync_channel(QUEUED_LINES);
        let counts = LogCounts::default();
        let counted = counts.clone();
        thread::spawn(move || write_all(output, &queued, &counted));
        LogWriter { lines, counts }
    }

    /// Counts that outlive the writer.
    pub fn counts(&self) -> LogCounts {
        self.counts.clone()
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut output: impl Write, queued: &Receiver<Vec<u8>>, counts: &LogCounts) {
    while let Ok(line) = queued.recv() {
        let lost = counts.suppressed.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // A reader that is gone takes nothing any more.
            let _gone = writeln!(output, "level=warn event=log_lines_left_out count={lost}");
        }
        let _gone = output.write_all(&line);
        let _gone = output.flush();
        counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
