//! The `Retry-After` header.

use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use displaydoc::Display;
use garnet_types::{Decimal, Millis};
use thiserror::Error;

/// Decimal places of a second that count as milliseconds.
const MILLIS_DIGITS: usize = 3;

/// Time for which a back end asks to be sent nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAfter(Millis);

/// Why a value is not a `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RetryAfterError {
    /// it is neither a number of seconds nor an HTTP date
    Malformed,
    /// it is an HTTP date, and the answer has no date to compare it with
    NoDate,
}

impl RetryAfter {
    /// Creates a value from a time span.
    pub const fn new(span: Millis) -> Self {
        RetryAfter(span)
    }

    /// The time span.
    pub const fn span(self) -> Millis {
        self.0
    }

    /// The longest of the values of one answer, whose `Date` is `date`. Invalid values are passed
    /// to `on_invalid` and ignored.
    pub fn longest<V: AsRef<[u8]>>(
        values: impl IntoIterator<Item = V>,
        date: Option<&[u8]>,
        mut on_invalid: impl FnMut(V, RetryAfterError),
    ) -> Option<Self> {
        let parse_value = |value: V| match RetryAfter::parse(value.as_ref(), date) {
            Ok(retry_after) => Some(retry_after),
            Err(error) => {
                on_invalid(value, error);
                None
            }
        };
        values.into_iter().filter_map(parse_value).max()
    }

    /// Parses one value of the header: seconds, with or without a fraction, or an HTTP date. A date
    /// is compared with `date`, the `Date` of the same answer, since the clocks of two machines may
    /// differ by more than the span.
    ///
    /// # Errors
    /// If the value is malformed, or is a date while the answer has no valid `Date`.
    pub fn parse(value: &[u8], date: Option<&[u8]>) -> Result<Self, RetryAfterError> {
        let text = std::str::from_utf8(value).map_err(|_| RetryAfterError::Malformed)?;
        if let Some(span) = decimal_seconds(text) {
            return Ok(RetryAfter(span));
        }
        let until = httpdate::parse_http_date(text.trim_matches([' ', '\t']));
        let until = until.map_err(|_| RetryAfterError::Malformed)?;
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

    /// Parses a number of seconds; a date can only be parsed with the answer that it came with.
    fn from_str(text: &str) -> Result<Self, RetryAfterError> {
        RetryAfter::parse(text.as_bytes(), None)
    }
}

/// Parses a decimal number of seconds, rounded up to whole milliseconds.
fn decimal_seconds(text: &str) -> Option<Millis> {
    let decimal = Decimal::parse(text, MILLIS_DIGITS)?;
    Some(Millis(decimal.units) + Millis(u64::from(decimal.is_truncated)))
}

fn http_date(value: &[u8]) -> Option<SystemTime> {
    let text = std::str::from_utf8(value).ok()?;
    httpdate::parse_http_date(text.trim()).ok()
}
