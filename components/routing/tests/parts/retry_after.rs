//! Parsing of `Retry-After`.

use garnet_routing::{RetryAfter, RetryAfterError};
use garnet_types::Millis;
use proptest::prelude::*;
use rstest::rstest;

const NOON: &[u8] = b"Thu, 03 Dec 2026 12:00:00 GMT";

#[rstest]
#[case("3", 3_000)]
#[case("0", 0)]
#[case("0.25", 250)]
#[case(" 12\t", 12_000)]
#[case("0.0001", 1)]
#[case("3.", 3_000)]
#[case(".5", 500)]
#[case("99999999999999999999999999999999", u64::MAX)]
#[case("Thu, 03 Dec 2026 12:00:03 GMT", 3_000)]
#[case("Thu, 03 Dec 2026 11:59:00 GMT", 0)]
fn seconds_and_dates_are_parsed(#[case] value: &str, #[case] span_ms: u64) {
    let parsed = RetryAfter::parse(value.as_bytes(), Some(NOON));
    assert_eq!(parsed, Ok(RetryAfter::new(Millis(span_ms))));
}

#[rstest]
fn other_values_are_malformed(
    #[values(
        "",
        " ",
        ".",
        "-1",
        "+1",
        "1e3",
        "1,5",
        "3 s",
        "soon",
        "NaN",
        "inf",
        "1.1.1",
        "0x10",
        "3, 5",
        "\u{661}",
        "Thu, 41 Dec 2026 12:00:00 GMT"
    )]
    value: &str,
) {
    let parsed = RetryAfter::parse(value.as_bytes(), Some(NOON));
    assert_eq!(parsed, Err(RetryAfterError::Malformed));
}

#[rstest]
#[case(None)]
#[case(Some(&b"today"[..]))]
fn a_date_requires_the_date_of_its_answer(#[case] date: Option<&[u8]>) {
    let parsed = RetryAfter::parse(b"Thu, 03 Dec 2026 12:00:03 GMT", date);
    assert_eq!(parsed, Err(RetryAfterError::NoDate));
}

proptest! {
    #[test]
    fn parsing_never_panics(value in proptest::collection::vec(any::<u8>(), 0..40)) {
        let _either = RetryAfter::parse(&value, Some(NOON));
    }

    #[test]
    fn a_displayed_value_parses_to_itself(span_ms in 0_u64..10_000_000_000) {
        let displayed = RetryAfter::new(Millis(span_ms)).to_string();
        prop_assert_eq!(displayed.parse(), Ok(RetryAfter::new(Millis(span_ms))));
    }

    #[test]
    fn rounding_never_shortens_the_time(span_ms in 0_u64..10_000_000_000) {
        let value = format!("{}.{:03}", span_ms / 1000, span_ms % 1000);
        let parsed = RetryAfter::parse(value.as_bytes(), None).expect("seconds");
        prop_assert!(parsed.span() >= Millis(span_ms));
        prop_assert!(parsed.span() <= Millis(span_ms + 1));
    }
}
