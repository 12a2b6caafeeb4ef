//! Logs are bounded and never hold up who writes them.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use garnet_runtime::log_limit::{LINES_PER_SECOND, LogLimit, Verdict};
use garnet_runtime::log_writer::LogWriter;

type Written = Arc<Mutex<Vec<u8>>>;

/// An output whose reader has stopped until it is let go on.
struct Stopped {
    go_on: Receiver<()>,
    written: Written,
}

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Ends when the sender is dropped.
        let _gone = self.go_on.recv();
        let mut written = self.written.lock().expect("no panic");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stopped() -> (Stopped, Sender<()>, Written) {
    let (let_go, go_on) = channel();
    let written = Written::default();
    let output = Stopped {
        go_on,
        written: Arc::clone(&written),
    };
    (output, let_go, written)
}

#[test]
fn a_reader_that_stops_holds_nobody_up_and_what_is_left_out_is_counted() {
    let (output, let_go, written) = stopped();
    let mut writer = LogWriter::start(output);
    let counts = writer.counts();
    // It would never come to its end if one write waited for the reader.
    for line in 0..10_000 {
        let text = format!("event=line number={line}\n");
        writer.write_all(text.as_bytes()).expect("never an error");
    }
    drop(let_go);
    counts.wait_until_written(Duration::from_secs(60));
    writer.write_all(b"event=last\n").expect("never an error");
    counts.wait_until_written(Duration::from_secs(60));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let lines = text.matches("event=line ").count();
    let told: usize = text
        .lines()
        .filter_map(|line| line.split_once("event=log_lines_left_out count="))
        .filter_map(|(_, count)| count.parse::<usize>().ok())
        .sum();
    assert_eq!(lines + told, 10_000);
    assert!(told > 0 && text.ends_with("event=last\n"));
}

#[test]
fn each_kind_of_event_has_its_own_bound_in_a_second() {
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
