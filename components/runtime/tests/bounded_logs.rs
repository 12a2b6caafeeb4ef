//! Logs are rate-limited and never block their writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use garnet_runtime::log_limit::{LINES_PER_SECOND, LogLimit, Verdict};
use garnet_runtime::log_writer::LogWriter;

type Written = Arc<Mutex<Vec<u8>>>;

/// An output whose reader is blocked until it is released.
struct BlockedOutput {
    released: Receiver<()>,
    written: Written,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Ends when the sender is dropped.
        let _gone = self.released.recv();
        let mut written = self.written.lock().expect("no panic");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BlockedOutput, Sender<()>, Written) {
    let (release, released) = channel();
    let written = Written::default();
    let output = BlockedOutput {
        released,
        written: Arc::clone(&written),
    };
    (output, release, written)
}

#[test]
fn a_blocked_reader_does_not_block_the_writer_and_dropped_lines_are_counted() {
    let (output, release, written) = blocked_output();
    let mut writer = LogWriter::start(output);
    let counts = writer.counts();
    // The loop would never end if one write waited for the reader.
    for line in 0..10_000 {
        let text = format!("event=line number={line}\n");
        writer.write_all(text.as_bytes()).expect("never an error");
    }
    drop(release);
    counts.wait_until_written(Duration::from_secs(60));
    writer.write_all(b"event=last\n").expect("never an error");
    counts.wait_until_written(Duration::from_secs(60));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let lines = text.matches("event=line ").count();
    let dropped: usize = text
        .lines()
        .filter_map(|line| line.split_once("event=log_lines_left_out count="))
        .filter_map(|(_, count)| count.parse::<usize>().ok())
        .sum();
    assert_eq!(lines + dropped, 10_000);
    assert!(dropped > 0 && text.ends_with("event=last\n"));
}

/// A line may carry text of another process, so that the number of lines is no bound.
#[test]
fn lines_that_wait_are_bounded_in_bytes() {
    const LINE_BYTES: usize = 10_000;
    const MAX_WAITING_BYTES: usize = 1024 * 1024;
    let (output, release, written) = blocked_output();
    let mut writer = LogWriter::start(output);
    let counts = writer.counts();
    let line = format!("{}\n", "x".repeat(LINE_BYTES - 1));
    for _ in 0..1000 {
        writer.write_all(line.as_bytes()).expect("never an error");
    }
    drop(release);
    counts.wait_until_written(Duration::from_secs(60));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let waited = text.matches(&line).count() * LINE_BYTES;
    assert!(waited > 0 && waited <= MAX_WAITING_BYTES, "{waited} bytes");
}

#[test]
fn each_event_has_its_own_limit_per_second() {
    let mut limit = LogLimit::default();
    let mut written = 0;
    for _ in 0..LINES_PER_SECOND + 50 {
        if limit.check("request_ended", 5_000) != Verdict::Suppress {
            written += 1;
        }
    }
    assert_eq!(written, LINES_PER_SECOND);
    let other = limit.check("stop_begun", 5_999);
    assert_eq!(other, Verdict::Write { suppressed: 0 });
    let next = limit.check("request_ended", 6_000);
    assert_eq!(next, Verdict::Write { suppressed: 50 });
}
