//! Requested backoffs and the recovery after them.

use garnet_routing::{Backoff, Probe, RetryAfter};
use garnet_types::Millis;
use proptest::prelude::*;

fn requested(span_ms: u64, now_ms: u64) -> Backoff {
    let mut backoff = Backoff::default();
    backoff.request(
        RetryAfter::new(Millis(span_ms)),
        Millis::ZERO,
        Millis(now_ms),
    );
    backoff
}

fn probe(backoff: &mut Backoff, now_ms: u64) -> Probe {
    assert!(backoff.allows(Millis(now_ms)));
    backoff.sent(Millis(now_ms)).expect("a recovery")
}

#[test]
fn nothing_is_sent_during_a_backoff() {
    let backoff = requested(3_000, 1_000);
    assert!(!backoff.allows(Millis(1_000)) && !backoff.allows(Millis(3_999)));
    assert_eq!(backoff.remaining(Millis(1_500)), Some(Millis(2_500)));
    assert!(backoff.allows(Millis(4_000)));
    assert_eq!(backoff.remaining(Millis(4_000)), None);
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut backoff = requested(3_000, 1_000);
    backoff.request(RetryAfter::new(Millis(500)), Millis::ZERO, Millis(1_100));
    assert_eq!(backoff.remaining(Millis(1_100)), Some(Millis(2_900)));
    backoff.request(RetryAfter::new(Millis(5_000)), Millis::ZERO, Millis(1_200));
    assert_eq!(backoff.remaining(Millis(1_200)), Some(Millis(5_000)));
}

#[test]
fn a_zero_backoff_changes_nothing() {
    assert_eq!(requested(0, 1_000), Backoff::default());
}

#[test]
fn the_longest_backoff_lasts_until_a_reset() {
    let mut backoff = requested(u64::MAX, 1_000);
    assert!(!backoff.allows(Millis(u64::MAX - 1)));
    backoff.reset();
    assert!(backoff.allows(Millis(1_000)));
}

#[test]
fn each_answer_of_a_recovery_widens_the_window() {
    let mut backoff = requested(1_000, 0);
    let first = probe(&mut backoff, 1_000);
    assert!(!backoff.allows(Millis(1_000)), "one is in flight");
    backoff.accepted(first);
    let second = probe(&mut backoff, 1_010);
    let third = probe(&mut backoff, 1_010);
    assert!(!backoff.allows(Millis(1_010)), "two are in flight");
    backoff.accepted(second);
    backoff.released(third);
    let probes: Vec<Probe> = (0..3).map(|_| probe(&mut backoff, 1_020)).collect();
    assert!(!backoff.allows(Millis(1_020)), "three are in flight");
    for one in probes {
        backoff.accepted(one);
    }
}

/// A caller that disconnects gives no evidence about the back end; another probe may be sent.
#[test]
fn a_released_probe_allows_another_one() {
    let mut backoff = requested(1_000, 0);
    let first = probe(&mut backoff, 1_000);
    backoff.released(first);
    probe(&mut backoff, 1_001);
    assert!(!backoff.allows(Millis(1_002)));
}

#[test]
fn a_new_backoff_ends_the_recovery_and_its_probes() {
    let mut backoff = requested(1_000, 0);
    let first = probe(&mut backoff, 1_000);
    backoff.request(RetryAfter::new(Millis(2_000)), Millis::ZERO, Millis(1_010));
    assert!(!backoff.allows(Millis(3_009)));
    let next = probe(&mut backoff, 3_010);
    backoff.accepted(first);
    assert!(
        !backoff.allows(Millis(3_010)),
        "an answer to an earlier probe counts"
    );
    backoff.accepted(next);
    assert!(backoff.allows(Millis(3_010)));
}

#[test]
fn a_back_end_that_keeps_answering_recovers() {
    let mut backoff = requested(1_000, 0);
    for answered in 0..15 {
        let next = probe(&mut backoff, 1_000 + answered);
        backoff.accepted(next);
    }
    assert!(backoff.sent(Millis(1_100)).is_none());
    assert!((0..100).all(|_| backoff.allows(Millis(1_100))));
}

/// An operation on a backoff.
#[derive(Debug, Clone)]
enum Step {
    Request(u64),
    Send,
    Accept(usize),
    Release(usize),
    Reset,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..5_000).prop_map(Step::Request),
        Just(Step::Send),
        Just(Step::Send),
        any::<usize>().prop_map(Step::Accept),
        any::<usize>().prop_map(Step::Release),
        Just(Step::Reset),
        (0_u64..2_000).prop_map(Step::Wait),
    ]
}

proptest! {
    /// No sequence of operations allows a request before the latest end that was requested since
    /// the last reset, or blocks requests for ever after it.
    #[test]
    fn no_step_shortens_a_backoff(steps in proptest::collection::vec(step(), 1..200)) {
        let mut backoff = Backoff::default();
        let mut probes = Vec::new();
        let mut now = Millis(1_000);
        let mut latest = Millis::ZERO;
        for step in steps {
            match step {
                Step::Request(span_ms) => {
                    backoff.request(RetryAfter::new(Millis(span_ms)), Millis::ZERO, now);
                    latest = latest.max(now + Millis(span_ms));
                }
                Step::Send if backoff.allows(now) => probes.extend(backoff.sent(now)),
                Step::Send => {}
                Step::Accept(at) if !probes.is_empty() => {
                    backoff.accepted(probes.swap_remove(at % probes.len()));
                }
                Step::Release(at) if !probes.is_empty() => {
                    backoff.released(probes.swap_remove(at % probes.len()));
                }
                Step::Accept(_) | Step::Release(_) => {}
                Step::Reset => {
                    backoff.reset();
                    latest = Millis::ZERO;
                }
                Step::Wait(ms) => now = now + Millis(ms),
            }
            prop_assert!(now >= latest || !backoff.allows(now));
        }
        for probe in probes.drain(..) {
            backoff.released(probe);
        }
        prop_assert!(backoff.allows(now.max(latest)));
    }
}
