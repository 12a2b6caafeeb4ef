//! Logs: one line of key=value pairs for each event.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Duration;

use crate::log_limit::{LogLimit, Verdict};
use crate::log_writer::{LogCounts, LogWriter};
use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Longest wait for the last lines of a process.
const LAST_LINES: Duration = Duration::from_millis(300);

/// The lines that wait, until the end of the process.
#[derive(Debug)]
pub struct LogGuard(LogCounts);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.wait_until_written(LAST_LINES);
    }
}

/// Starts logging to standard output, without ever holding up the loop.
/// `GARNET_LOG` sets the level.
#[must_use = "dropping it at once waits for nothing later"]
pub fn start(process: &str) -> LogGuard {
    let process = process.to_owned();
    let clock = crate::Clock::default();
    let environment = Env::default().filter_or("GARNET_LOG", "info");
    let output = LogWriter::start(std::io::stdout());
    let counts = output.counts();
    let limit = Mutex::new(LogLimit::default());
    let builder = Builder::from_env(environment)
        .target(Target::Pipe(Box::new(output)))
        .format(move |output, record| {
            let now = clock.now().0;
            let suppressed = match judge(&limit, record, now) {
                Verdict::Suppress => return Ok(()),
                Verdict::Write { suppressed } => suppressed,
            };
            let line = format_line(now, &process, record);
            if suppressed > 0 {
                return writeln!(output, "{line} lines_left_out={suppressed}");
            }
            writeln!(output, "{line}")
        })
        .try_init();
    // A second start in one process keeps the first logger.
    drop(builder);
    LogGuard(counts)
}

/// Events without a fixed name are not limited.
fn judge(limit: &Mutex<LogLimit>, record: &Record<'_>, now: u64) -> Verdict {
    match (record.args().as_str(), limit.lock()) {
        (Some(event), Ok(mut limit)) => limit.check(event, now),
        _ => Verdict::Write { suppressed: 0 },
    }
}

/// One line: time, level, process, event, and the event's own pairs.
pub fn format_line(time_ms: u64, process: &str, record: &Record<'_>) -> String {
    let mut line = format!(
        "time_ms={time_ms} level={} process={} event={}",
        record.level().as_str().to_lowercase(),
        quote(process),
        quote(&record.args().to_string()),
    );
    let mut pairs = Pairs(&mut line);
    // Writing to a string has no way to fail.
    let _written = record.key_values().visit(&mut pairs);
    line
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={}", quote(&value.to_string()))?;
        Ok(())
    }
}

/// The text as it is when it is one plain word, else quoted and escaped.
fn quote(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:/@+,".contains(&byte);
    if !text.is_empty() && text.bytes().all(plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}
