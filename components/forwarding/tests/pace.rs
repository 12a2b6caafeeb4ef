//! Models of prefill and token times that are learned from observed requests.

use garnet_forwarding::{PrefillPace, Prompt, TokenTime};
use garnet_types::Millis;
use proptest::prelude::*;

proptest! {
    /// A linear prefill time with a fixed share is learned for any slope and offset.
    #[test]
    fn the_fitted_line_predicts_a_linear_pace(tokens_per_ms in 5_u64..500, fixed_ms in 0_u64..50) {
        let mut pace = PrefillPace::default();
        let took = |tokens: u64| tokens / tokens_per_ms + fixed_ms;
        for tokens in [500, 4_000, 12_000, 30_000].repeat(300) {
            pace.note(tokens, Millis(took(tokens)));
        }
        for tokens in [1_000, 8_000, 25_000] {
            let expected = took(tokens) as f64;
            let off = (pace.expected_ms(tokens) - expected).abs();
            prop_assert!(off <= expected * 0.05 + 2.0, "{tokens}: {off} ms off {expected}");
        }
    }

    /// For any samples, more tokens never take less time.
    #[test]
    fn more_tokens_never_take_less_time(seen in prop::collection::vec((1_u64..50_000, 0_u64..5_000), 1..60)) {
        let mut pace = PrefillPace::default();
        for (tokens, took) in seen {
            pace.note(tokens, Millis(took));
        }
        let expected: Vec<f64> = [0, 100, 10_000, 100_000].map(|t| pace.expected_ms(t)).into();
        prop_assert!(expected.is_sorted());
        prop_assert!(expected[0] >= 0.0, "{expected:?}");
    }
}

#[test]
fn a_slow_engine_is_assumed_before_the_first_prefill() {
    let pace = PrefillPace::default();
    assert!((pace.expected_ms(2_000) - 100.0).abs() < 1.0);
    assert!(pace.time_limit(20_000) >= Millis(4_000));
}

#[test]
fn the_token_time_is_averaged_over_whole_requests() {
    let mut time = TokenTime::default();
    assert_eq!(time.expected_ms(1_000.0), 0.0);
    time.note(100, Millis(100));
    time.note(5_000, Millis(5_000));
    assert!((time.expected_ms(2_000.0) - 2_000.0).abs() < 20.0);
}

#[test]
fn a_guess_beyond_the_maximum_is_clamped() {
    let prompt = Prompt {
        tokens: 10,
        output_tokens: 100,
        likely_output_tokens: Some(500),
        ..Prompt::default()
    };
    assert_eq!(prompt.likely_output(), 100);
    assert_eq!(prompt.held_tokens(), 110);
}
