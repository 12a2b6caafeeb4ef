//! Parsing of `Retry-After`.

use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use displaydoc::Display;
use garnet_types::Millis;
use thiserror::Error;

/// Milliseconds in a second.
const MILLIS_PER_S: u64 = 1000;
/// Digits of a fraction of a second that are milliseconds.
const MILLIS_DIGITS: usize = 3;

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

impl fmt::Display for RetryAfter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}", self.0.0 / 1000, self.0.0 % 1000)
    }
}

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    /// Reads a number of seconds; a date needs the answer that it came with.
    fn from_str(text: &str) -> Result<Self, RetryAfterError> {
        RetryAfter::parse(text.as_bytes(), None)
    }
}

/// Rounded up to whole milliseconds. Digits only: the header allows no sign and no
/// exponent, and what can't be held is longer than any time that matters.
fn decimal_seconds(text: &str) -> Option<Millis> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let are_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    let has_digits = !whole.is_empty() || !fraction.is_empty();
    if !has_digits || !are_digits(whole) || !are_digits(fraction) {
        return None;
    }
    let seconds: u64 = match whole {
        "" => 0,
        digits => digits.parse().unwrap_or(u64::MAX),
    };
    let digits = fraction.bytes().chain(std::iter::repeat(b'0'));
    let digits = digits.take(MILLIS_DIGITS);
    let millis = digits.fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
    let rest = fraction.bytes().skip(MILLIS_DIGITS);
    let rounded_up = u64::from(rest.into_iter().any(|digit| digit != b'0'));
    let whole_ms = seconds.saturating_mul(MILLIS_PER_S);
    Some(Millis(whole_ms.saturating_add(millis + rounded_up)))
}

fn http_date(value: &[u8]) -> Option<SystemTime> {
    let text = std::str::from_utf8(value).ok()?;
    httpdate::parse_http_date(text.trim()).ok()
}
