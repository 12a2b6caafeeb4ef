//! Request rates as back ends report them.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use garnet_types::{Decimal, Millis};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Decimal places that are kept; further ones are dropped, so that a rate is never rounded up.
const FRACTION_DIGITS: usize = 6;
/// Millionths of a request in one request.
const MICROS_PER_REQUEST: u64 = 1_000_000;
/// Highest rate, in requests a second: a thousand times the fleet's design load.
const MAX_PER_S: u64 = 2_700_000;

/// A rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate {
    micros_per_s: u64,
}

impl RequestRate {
    /// Creates a rate from millionths of a request a second.
    pub const fn from_micros_per_s(micros_per_s: u64) -> Self {
        RequestRate { micros_per_s }
    }

    /// The lowest of the limits in one answer.
    ///
    /// # Errors
    /// If any value is not a rate.
    pub fn lowest_in<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<Self>, RateError> {
        let read = |value| -> Result<RequestRate, RateError> {
            let text = std::str::from_utf8(value).map_err(|_| RateError::NotDecimal)?;
            text.parse()
        };
        let rates: Result<Vec<RequestRate>, RateError> = values.map(read).collect();
        Ok(rates?.into_iter().min())
    }

    /// Millionths of a request in `time` at this rate.
    pub(crate) fn micros_in(self, time: Millis) -> u64 {
        let micros = u128::from(self.micros_per_s) * u128::from(time.0) / 1000;
        u64::try_from(micros).unwrap_or(u64::MAX)
    }

    /// Time that `micros` millionths of a request take at this rate, rounded up.
    pub(crate) fn time_of(self, micros: u64) -> Millis {
        let millis = u128::from(micros) * 1000;
        let millis = millis.div_ceil(u128::from(self.micros_per_s.max(1)));
        Millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.micros_per_s as f64 / MICROS_PER_REQUEST as f64
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.micros_per_s / MICROS_PER_REQUEST;
        let fraction = format!("{:06}", self.micros_per_s % MICROS_PER_REQUEST);
        match fraction.trim_end_matches('0') {
            "" => write!(formatter, "{whole}"),
            digits => write!(formatter, "{whole}.{digits}"),
        }
    }
}

/// Why a text is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RateError {
    /// it is not a decimal number of 0 or more
    NotDecimal,
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let decimal = Decimal::parse(text, FRACTION_DIGITS).ok_or(RateError::NotDecimal)?;
        let max_micros = MAX_PER_S * MICROS_PER_REQUEST;
        Ok(RequestRate::from_micros_per_s(
            decimal.units.min(max_micros),
        ))
    }
}
