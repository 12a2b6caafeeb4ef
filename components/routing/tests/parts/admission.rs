//! Admission decisions: admit, wait, or refuse with a retry time.

use garnet_routing::{Admission, AdmissionSettings, admit};
use garnet_types::{Millis, Verdict};
use rstest::rstest;

fn refuse(retry_after_ms: u64) -> Admission {
    Admission::Refuse {
        retry_after: Millis(retry_after_ms),
    }
}

#[rstest]
#[case::capacity(500, 1000, 8000, Admission::Admit)]
#[case::at_the_target(900, 1000, 8000, Admission::Admit)]
#[case::first_token_late(5900, 1000, 60_000, refuse(5000))]
#[case::generation_margin(500, 7000, 8000, refuse(1000))]
#[case::generation_alone_is_too_long(100, 9000, 8000, refuse(1000))]
#[case::too_little_time_left(500, 1000, 1200, refuse(1000))]
#[case::bounded_retry_time(900_000, 0, 60_000, refuse(30_000))]
fn a_request_that_may_not_wait_is_admitted_or_refused(
    #[case] predicted: u64,
    #[case] generation: u64,
    #[case] remaining: u64,
    #[case] expected: Admission,
) {
    let decision = admit(
        Millis(predicted),
        Millis(generation),
        Millis(remaining),
        &Verdict::default(),
        &AdmissionSettings::default(),
    );
    assert_eq!(decision, expected);
}

#[rstest]
#[case::capacity(500, 1000, 60_000, Admission::Admit)]
#[case::busy(5000, 1000, 60_000, Admission::Wait)]
#[case::generation_exceeds_the_deadline(500, 61_000, 60_000, refuse(10_150))]
fn a_request_that_may_wait_stays_at_the_gateway(
    #[case] predicted: u64,
    #[case] generation: u64,
    #[case] remaining: u64,
    #[case] expected: Admission,
) {
    let verdict = Verdict {
        may_wait: true,
        ..Verdict::default()
    };
    let settings = AdmissionSettings::default();
    let decision = admit(
        Millis(predicted),
        Millis(generation),
        Millis(remaining),
        &verdict,
        &settings,
    );
    assert_eq!(decision, expected);
}
