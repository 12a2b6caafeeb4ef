//! Parsing of `Retry-After`.

use std::time::SystemTime;

use displaydoc::Display;
use garnet_types::Millis;
use thiserror::Error;

/// Milliseconds in a second.
const MILLIS_PER_S: f64 = 1000.0;

/// How long a back end asks to be sent nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAfter(Millis);

/// Why a value is no `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RetryAfterError {
    /// it is neither a number of seconds nor an HTTP date
    Malformed,
    /// it is an HTTP date, and the answer has no date to compare it with
    NoDate,
}

impl RetryAfter {
    /// A span of its own.
    pub const fn new(span: Millis) -> Self {
        RetryAfter(span)
    }

    /// The span.
    pub const fn span(self) -> Millis {
        self.0
    }

    /// Reads one value of the header: seconds, with or without a fraction, or an
    /// HTTP date. A date counts from `date`, the `Date` of the same answer, since the
    /// clocks of two machines may differ by more than the span.
    ///
    /// # Errors
    /// As [`RetryAfterError`] says.
    pub fn parse(value: &[u8], date: Option<&[u8]>) -> Result<Self, RetryAfterError> {
        let text = std::str::from_utf8(value).map_err(|_| RetryAfterError::Malformed)?;
        let text = text.trim_matches([' ', '\t']);
        if let Some(span) = decimal_seconds(text) {
            return Ok(RetryAfter(span));
        }
        let until = httpdate::parse_http_date(text).map_err(|_| RetryAfterError::Malformed)?;
        let answered_at = date.and_then(http_date).ok_or(RetryAfterError::NoDate)?;
        let span = until.duration_since(answered_at).unwrap_or_default();
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Ok(RetryAfter(Millis(millis)))
    }
}

/// Rounded up to whole milliseconds. `f64` parses signs, exponents and names of
/// numbers as well, which the header does not allow.
fn decimal_seconds(text: &str) -> Option<Millis> {
    let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !text.bytes().all(is_decimal) {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Millis((seconds * MILLIS_PER_S).ceil() as u64))
}

fn http_date(value: &[u8]) -> Option<SystemTime> {
    let text = std::str::from_utf8(value).ok()?;
    httpdate::parse_http_date(text.trim()).ok()
}
