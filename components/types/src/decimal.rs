//! Unsigned decimal numbers in HTTP headers.

/// A fixed-point decimal number, and whether it lost digits when it was parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decimal {
    /// The number, in units of the last fraction digit that [`Decimal::parse`] keeps.
    pub units: u64,
    /// Whether a fraction digit other than zero was dropped.
    pub is_truncated: bool,
}

impl Decimal {
    /// Parses ASCII digits with at most one decimal point and keeps `fraction_digits` digits
    /// behind the point. Spaces and tabs around the number are ignored. Returns `None` for
    /// anything else, such as a sign, an exponent or digits of another script. A number that
    /// is too large saturates.
    pub fn parse(text: &str, fraction_digits: usize) -> Option<Self> {
        let text = text.trim_matches([' ', '\t']);
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let are_digits = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
        let has_digits = !whole.is_empty() || !fraction.is_empty();
        if !has_digits || !are_digits(whole) || !are_digits(fraction) {
            return None;
        }
        let zeros = std::iter::repeat(b'0');
        let kept = fraction.bytes().chain(zeros).take(fraction_digits);
        let units = whole.bytes().chain(kept).fold(0_u64, |sum, digit| {
            sum.saturating_mul(10)
                .saturating_add(u64::from(digit - b'0'))
        });
        let mut dropped = fraction.bytes().skip(fraction_digits);
        Some(Decimal {
            units,
            is_truncated: dropped.any(|digit| digit != b'0'),
        })
    }
}
