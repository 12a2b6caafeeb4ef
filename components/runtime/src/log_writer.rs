//! Writes log lines to standard output without blocking the event loop.
//!
//! Lines go through a bounded queue to a separate thread. When the reader of the
//! output is slow or stops, lines are dropped and counted; the count is written
//! as a line as soon as the queue moves again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 2048;
/// Capacity of the queue, in bytes. A line may carry text of another process.
const QUEUE_CAPACITY_BYTES: u64 = 1024 * 1024;

/// The event loop's end of the queue; it never blocks.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: LogCounts,
}

/// Counts of queued and of dropped lines.
#[derive(Debug, Clone, Default)]
pub struct LogCounts {
    pending: Arc<AtomicU64>,
    pending_bytes: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl LogCounts {
    /// Blocks until every line is written or `timeout` has passed. Only for the
    /// end of a process, when the event loop no longer runs.
    pub fn wait_until_written(&self, timeout: Duration) {
        let started = Instant::now();
        while self.pending.load(Ordering::Acquire) > 0 && started.elapsed() < timeout {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogCounts {
    fn add_pending(&self, bytes: usize) {
        self.pending.fetch_add(1, Ordering::AcqRel);
        self.pending_bytes.fetch_add(bytes as u64, Ordering::AcqRel);
    }

    fn remove_pending(&self, bytes: usize) {
        self.pending.fetch_sub(1, Ordering::AcqRel);
        self.pending_bytes.fetch_sub(bytes as u64, Ordering::AcqRel);
    }

    fn has_space_for(&self, bytes: usize) -> bool {
        self.pending_bytes.load(Ordering::Acquire) + bytes as u64 <= QUEUE_CAPACITY_BYTES
    }
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY);
        let counts = LogCounts::default();
        let counted = counts.clone();
        thread::spawn(move || write_all(output, &queued, &counted));
        LogWriter { lines, counts }
    }

    /// The counts, which outlive the writer.
    pub fn counts(&self) -> LogCounts {
        self.counts.clone()
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let has_space = self.counts.has_space_for(line.len());
        self.counts.add_pending(line.len());
        if !has_space || self.lines.try_send(line.to_vec()).is_err() {
            self.counts.remove_pending(line.len());
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut output: impl Write, queued: &Receiver<Vec<u8>>, counts: &LogCounts) {
    while let Ok(line) = queued.recv() {
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // Write errors are ignored: the reader of the output has gone.
            let _gone = writeln!(output, "level=warn event=log_lines_left_out count={lost}");
        }
        let _gone = output.write_all(&line);
        let _gone = output.flush();
        counts.remove_pending(line.len());
    }
}
