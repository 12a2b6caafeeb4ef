//! Logging: one line of key=value pairs per event.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Duration;

use crate::log_limit::{LogLimit, Verdict};
use crate::log_writer::{LogCounts, LogWriter};
use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Maximum wait for the last lines when a process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for the queued lines when it is dropped at the end of the process.
#[derive(Debug)]
pub struct LogGuard(LogCounts);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.wait_until_written(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output without blocking the event loop.
/// `GARNET_LOG` sets the level.
#[must_use = "the guard must live until the end of the process to flush the last lines"]
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
            let suppressed = match check_limit(&limit, record, now) {
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
    // If logging was started before, the first logger stays.
    drop(builder);
    LogGuard(counts)
}

/// Applies the rate limit. Events without a fixed name are not limited.
fn check_limit(limit: &Mutex<LogLimit>, record: &Record<'_>, now: u64) -> Verdict {
    match (record.args().as_str(), limit.lock()) {
        (Some(event), Ok(mut limit)) => limit.check(event, now),
        _ => Verdict::Write { suppressed: 0 },
    }
}

/// Formats a line: time, level, process, event, and the event's own pairs.
pub fn format_line(time_ms: u64, process: &str, record: &Record<'_>) -> String {
    let mut line = format!(
        "time_ms={time_ms} level={} process={} event={}",
        record.level().as_str().to_lowercase(),
        quote(process),
        quote(&record.args().to_string()),
    );
    let mut pairs = Pairs(&mut line);
    // Writing to a string can't fail.
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

/// Returns a plain word unchanged, and other text quoted and escaped.
fn quote(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:/@+,".contains(&byte);
    if !text.is_empty() && text.bytes().all(plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}
