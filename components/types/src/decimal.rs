//! Unsigned decimal numbers as headers write them.

/// A decimal number in units of one: `units` of them, and whether digits beyond were cut
/// off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decimal {
    /// The number, in the unit of its last digit that counts.
    pub units: u64,
    /// Whether any digit that was cut off is not zero.
    pub is_truncated: bool,
}

impl Decimal {
    /// Reads digits with at most one point, blanks around them aside; `fraction_digits` of
    /// those behind the point count. `None` where the text is anything else: a sign, an
    /// exponent, another script's digits. What can't be held is the largest that can.
    pub fn parse(text: &str, fraction_digits: usize) -> Option<Self> {
        let text = text.trim_matches([' ', '\t']);
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let are_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
        let has_digits = !whole.is_empty() || !fraction.is_empty();
        if !has_digits || !are_digits(whole) || !are_digits(fraction) {
            return None;
        }
        let zeros = std::iter::repeat(b'0');
        let counted = fraction.bytes().chain(zeros).take(fraction_digits);
        let units = whole.bytes().chain(counted).fold(0_u64, |sum, digit| {
            sum.saturating_mul(10)
                .saturating_add(u64::from(digit - b'0'))
        });
        let mut cut = fraction.bytes().skip(fraction_digits);
        Some(Decimal {
            units,
            is_truncated: cut.any(|digit| digit != b'0'),
        })
    }
}
