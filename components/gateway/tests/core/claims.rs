//! Requests with an idempotency key: claimed before they are dispatched, never run twice.

use garnet_control::{ClaimAnswer, ClaimRequest, ControlReply};
use garnet_gateway::{Answer, AttemptEvent, Event};
use garnet_types::{Execution, Millis, OutcomeCode, RecordedResponse};
use rstest::rstest;

use crate::harness::{Harness, order};

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"ordered".to_vec(),
        served_by: "order-1".to_owned(),
    }
}

#[test]
fn nothing_is_dispatched_before_the_claim_is_granted() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    assert!(harness.dispatches().is_empty());
    harness.answer_claim(ClaimAnswer::Granted);
    assert_eq!(harness.dispatches().len(), 1);
}

#[rstest]
#[case::held(ClaimAnswer::Held, OutcomeCode::InDoubt, Execution::Unknown)]
#[case::other_body(ClaimAnswer::BodyDiffers, OutcomeCode::Conflict, Execution::No)]
#[case::released(ClaimAnswer::Released, OutcomeCode::NotRun, Execution::No)]
#[case::full(ClaimAnswer::Full, OutcomeCode::Overloaded, Execution::No)]
fn a_claim_that_is_not_granted_ends_the_request(
    #[case] answer: ClaimAnswer,
    #[case] code: OutcomeCode,
    #[case] ran: Execution,
) {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(answer);
    let refusal = harness.refusal();
    assert_eq!((refusal.code, refusal.ran), (code, ran));
    assert!(harness.dispatches().is_empty());
}

#[test]
fn a_recorded_answer_is_sent_without_another_run() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Recorded(response()));
    assert_eq!(harness.answer(), Answer::Response(response()));
    assert!(harness.dispatches().is_empty());
}

#[test]
fn an_interrupted_keyed_call_is_in_doubt_and_not_repeated() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let attempt = harness.dispatch().attempt;
    harness.attempt(attempt, AttemptEvent::Broken);
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::InDoubt);
    assert_eq!(refusal.ran, Execution::Unknown);
    assert!(harness.dispatches().is_empty(), "never a second run");
    assert!(harness.claim_requests().is_empty(), "the claim is kept");
}

#[rstest]
#[case::unkeyed_post("POST", 0)]
#[case::get("GET", 1)]
fn only_safe_methods_are_repeated_after_an_interrupted_answer(
    #[case] method: &str,
    #[case] repeats: usize,
) {
    let mut harness = Harness::ready();
    harness.event(order(1, method, None));
    let attempt = harness.dispatch().attempt;
    harness.attempt(attempt, AttemptEvent::Broken);
    assert_eq!(harness.dispatches().len(), repeats);
}

#[test]
fn what_provably_did_not_start_is_retried_at_another_instance() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let first = harness.dispatch();
    harness.attempt(first.attempt, AttemptEvent::NotStarted { draining: true });
    let second = harness.dispatch();
    assert_ne!(first.backend, second.backend);
    harness.attempt(second.attempt, AttemptEvent::Response(response()));
    assert_eq!(harness.answer(), Answer::Response(response()));
}

#[test]
fn a_release_of_a_claim_is_sent_until_it_is_acknowledged() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    for _ in 0..2 {
        let attempt = harness.dispatch().attempt;
        harness.attempt(attempt, AttemptEvent::NotStarted { draining: false });
    }
    assert_eq!(harness.refusal().ran, Execution::No);
    let released = harness.claim_requests();
    assert!(matches!(released[..], [ClaimRequest::Release(_)]));
    harness.wait_with_lease(Millis(600));
    let again = harness.claim_requests();
    assert_eq!(again, released, "sent again until acknowledged");
    let claim = again[0].claim().clone();
    let answer = ClaimAnswer::Noted;
    harness.event(Event::Control(ControlReply::Claim { claim, answer }));
    harness.wait_with_lease(Millis(600));
    assert!(harness.claim_requests().is_empty());
}

/// If the deadline passes while the claimed attempt is running, the caller is refused at once,
/// and a resend gets the recorded answer.
#[test]
fn an_attempt_that_outlives_its_deadline_is_recorded_for_the_resend() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let attempt = harness.dispatch().attempt;
    harness.wait_with_lease(Millis(3100));
    assert_eq!(harness.refusal().code, OutcomeCode::InDoubt);
    harness.attempt(attempt, AttemptEvent::Response(response()));
    assert!(harness.answers().is_empty(), "one final answer only");
    let requests = harness.claim_requests();
    let recorded = matches!(&requests[..], [ClaimRequest::Record { response: kept, .. }] if *kept == response());
    assert!(recorded, "{requests:?}");
}

/// A claim is sent again if its grant is lost, and a grant that arrives twice dispatches once.
#[test]
fn a_repeated_grant_dispatches_once() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    let first = harness.claim_requests();
    harness.wait_with_lease(Millis(600));
    assert_eq!(harness.claim_requests(), first);
    let claim = first[0].claim().clone();
    for _ in 0..2 {
        harness.event(Event::Control(ControlReply::Claim {
            claim: claim.clone(),
            answer: ClaimAnswer::Granted,
        }));
    }
    assert_eq!(harness.dispatches().len(), 1);
}
