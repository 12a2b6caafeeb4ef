//! Parsing of the rates that back ends report.

use garnet_limits::{RateError, RequestRate};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("1.1", 1_100_000)]
#[case("0", 0)]
#[case("0.25", 250_000)]
#[case(" 12\t", 12_000_000)]
#[case("6.50", 6_500_000)]
#[case("0.9000000001", 900_000)]
#[case("0.0000009999", 0)]
#[case("3.", 3_000_000)]
#[case(".5", 500_000)]
#[case("000012.000", 12_000_000)]
#[case("99999999999999999999999999999999", 2_700_000_000_000)]
fn decimal_numbers_are_parsed(#[case] text: &str, #[case] micros_per_s: u64) {
    let rate: RequestRate = text.parse().expect("a rate");
    assert_eq!(rate, RequestRate::from_micros_per_s(micros_per_s));
}

#[rstest]
fn other_texts_are_not_rates(
    #[values(
        "",
        " ",
        ".",
        "-1",
        "+1",
        "1e3",
        "1,5",
        "one",
        "NaN",
        "inf",
        "1.1.1",
        "0x10",
        "1.1 a second",
        "1 1",
        "\u{661}"
    )]
    text: &str,
) {
    assert_eq!(text.parse::<RequestRate>(), Err(RateError::NotDecimal));
}

#[rstest]
#[case::none(&[], Ok(None))]
#[case::one(&["1.1"], Ok(Some("1.1")))]
#[case::the_lowest_of_two(&["3", "1.5"], Ok(Some("1.5")))]
#[case::one_of_two_is_malformed(&["3", "x"], Err(RateError::NotDecimal))]
fn the_lowest_of_several_limits_counts(
    #[case] values: &[&str],
    #[case] expected: Result<Option<&str>, RateError>,
) {
    let named = RequestRate::lowest_in(values.iter().map(|value| value.as_bytes()));
    let expected = expected.map(|rate| rate.map(|rate| rate.parse().expect("a rate")));
    assert_eq!(named, expected);
    let invalid_utf8 = [&[0xff_u8][..]];
    assert!(RequestRate::lowest_in(invalid_utf8.into_iter()).is_err());
}

proptest! {
    #[test]
    fn a_displayed_rate_parses_to_itself(micros in 0..2_700_000_000_000_u64) {
        let rate = RequestRate::from_micros_per_s(micros);
        prop_assert_eq!(rate.to_string().parse(), Ok(rate));
    }

    /// Rounding up would allow more requests than the back end takes.
    #[test]
    fn a_rate_is_never_rounded_up(whole in 0..100_000_u64, fraction in "[0-9]{1,30}") {
        let text = format!("{whole}.{fraction}");
        let rate: RequestRate = text.parse().expect("a rate");
        let named: f64 = text.parse().expect("a number");
        prop_assert!(rate.per_s() <= named + 1e-9);
        prop_assert!(rate.per_s() > named - 1.1e-6);
    }

    #[test]
    fn parsing_never_panics(text in ".*") {
        let _parsed = text.parse::<RequestRate>();
    }
}
