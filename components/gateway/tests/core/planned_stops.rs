//! Planned stops of gateways and engines: no request is interrupted, no result is lost.

use garnet_control::{ClaimAnswer, ControlReply};
use garnet_gateway::{AttemptEvent, Event, Job};
use garnet_types::{BackendId, Execution, Millis, OutcomeCode, RecordedResponse};

use rstest::rstest;

use crate::harness::{Dispatched, Harness, completion, order};

#[test]
fn a_draining_gateway_refuses_new_requests_and_finishes_open_ones() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.event(Event::Drain { ends_at: None });
    harness.event(completion(2, None));
    assert_eq!(harness.refusal().code, OutcomeCode::NotRun);
    assert!(!harness.gateway.is_drained());
    harness.tokens(attempt, 0, &["a", "b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(harness.answers().len(), 1);
    assert!(harness.gateway.is_drained());
}

/// The answer has been sent, but the control group hasn't recorded it for resends yet.
#[test]
fn a_stop_waits_until_results_are_recorded() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let attempt = harness.dispatch().attempt;
    harness.event(Event::Drain { ends_at: None });
    harness.attempt(
        attempt,
        AttemptEvent::Response(RecordedResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: b"ordered".to_vec(),
            served_by: "order-1".to_owned(),
        }),
    );
    assert_eq!(harness.answers().len(), 1);
    assert!(!harness.gateway.is_drained());
    let claim = harness.claim_requests()[0].claim().clone();
    let answer = ClaimAnswer::Noted;
    harness.event(Event::Control(ControlReply::Claim { claim, answer }));
    assert!(harness.gateway.is_drained());
}

/// Begins a planned stop whose last answers are given after `left`.
fn begin_stop(harness: &mut Harness, left: Millis) {
    let ends_at = Some(harness.now + left);
    harness.event(Event::Drain { ends_at });
}

/// Requests that no back end had answered at the end of a planned stop got no answer at all.
#[rstest]
#[case::not_repeatable("POST", OutcomeCode::InDoubt)]
#[case::repeatable("GET", OutcomeCode::Deadline)]
fn requests_that_may_have_run_are_answered_before_the_end_of_a_stop(
    #[case] method: &str,
    #[case] code: OutcomeCode,
) {
    let mut harness = Harness::ready();
    harness.event(order(1, method, None));
    let _attempt = harness.dispatch();
    begin_stop(&mut harness, Millis(1_000));
    harness.wait(Millis(990));
    assert!(harness.answers().is_empty());
    harness.wait(Millis(10));
    assert_eq!(harness.refusal().code, code);
    assert!(harness.gateway.is_drained());
}

/// A request that waited for its claim until the end of a planned stop has not run.
#[test]
fn a_request_that_was_not_begun_is_refused_as_not_run_before_the_end_of_a_stop() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    begin_stop(&mut harness, Millis(1_000));
    harness.wait(Millis(1_000));
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::NotRun);
    assert_eq!(refusal.ran, Execution::No);
    assert!(refusal.retry_after.is_some());
    assert!(harness.dispatches().is_empty());
}

/// A request whose caller waited for longer than the process had left was begun, and its result was
/// lost with the process.
#[rstest]
#[case::outlasts(Millis(1_000), true)]
#[case::in_time(Millis(600_000), false)]
fn a_request_that_would_outlast_a_stop_is_not_begun(#[case] left: Millis, #[case] refused: bool) {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    begin_stop(&mut harness, left);
    harness.answer_claim(ClaimAnswer::Granted);
    assert_eq!(harness.dispatches().is_empty(), refused);
    let refusals = harness.answers().len();
    assert_eq!(refusals, usize::from(refused));
}

/// A text that is rejected during a stop is sent to another engine only if it ends in time.
#[rstest]
#[case::outlasts(Millis(1), true)]
#[case::in_time(Millis(600_000), false)]
fn a_text_that_would_outlast_a_stop_is_not_begun(#[case] left: Millis, #[case] refused: bool) {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let first = harness.dispatch();
    begin_stop(&mut harness, left);
    let rejected = AttemptEvent::NotStarted { draining: true };
    harness.attempt(first.attempt, rejected);
    assert_eq!(harness.dispatches().is_empty(), refused);
    if refused {
        assert_eq!(harness.refusal().code, OutcomeCode::NotRun);
    }
}

/// A text under a key was refused as not run while its prompt was prefilled, and generated after that.
#[test]
fn a_prompt_that_is_prefilled_at_the_end_of_a_stop_is_not_generated_after_its_refusal() {
    let mut harness = Harness::split();
    harness.event(completion(1, Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let prefill = harness.dispatch();
    begin_stop(&mut harness, Millis(1_000));
    harness.wait_with_lease(Millis(1_000));
    let refusal = harness.refusal();
    assert_eq!(refusal.ran, Execution::No);
    let event = AttemptEvent::Prefilled { handle: HANDLE };
    harness.attempt(prefill.attempt, event);
    assert!(harness.dispatches().is_empty());
}

/// A prompt that was prefilled during a stop was generated although its text could not end in time.
#[rstest]
#[case::outlasts(Millis(1), true)]
#[case::in_time(Millis(600_000), false)]
fn a_prefilled_text_that_would_outlast_a_stop_is_not_generated(
    #[case] left: Millis,
    #[case] refused: bool,
    #[values(None, Some("key"))] key: Option<&str>,
) {
    let mut harness = Harness::split();
    harness.event(completion(1, key));
    if key.is_some() {
        harness.answer_claim(ClaimAnswer::Granted);
    }
    let prefill = harness.dispatch();
    begin_stop(&mut harness, left);
    let event = AttemptEvent::Prefilled { handle: HANDLE };
    harness.attempt(prefill.attempt, event);
    assert_eq!(harness.dispatches().is_empty(), refused);
    if refused {
        let refusal = harness.refusal();
        assert_eq!(
            (refusal.code, refusal.ran),
            (OutcomeCode::NotRun, Execution::No)
        );
    }
}

const HANDLE: u64 = 7;

/// Completes the prefill of a request and returns the decode dispatch.
fn complete_prefill(harness: &mut Harness) -> Dispatched {
    let prefill = harness.dispatch();
    assert!(matches!(prefill.job, Job::Prefill { .. }), "{prefill:?}");
    let event = AttemptEvent::Prefilled { handle: HANDLE };
    harness.attempt(prefill.attempt, event);
    let decode = harness.dispatch();
    assert_eq!(decode.backend, BackendId::new("engine-2"));
    decode
}

fn imported_handle(dispatched: &Dispatched) -> Option<u64> {
    match &dispatched.job {
        Job::Generate { kv, .. } => kv.as_ref().map(|kv| kv.handle),
        _ => None,
    }
}

/// Guards against ending a prefilled request when its only decode engine is draining. The
/// engine was stopped for 14 ms during the prefill, and its rejection ended the request at once,
/// with 5.9 s left until the deadline.
#[test]
fn a_text_whose_decode_engine_stops_waits_for_it() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = complete_prefill(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::NotStarted { draining: true });
    assert!(harness.answers().is_empty());
    harness.wait_with_lease(Millis(1600));
    // The KV cache was not imported, so no second prefill is needed.
    let decode = harness.dispatch();
    assert_eq!(imported_handle(&decode), Some(HANDLE));
    harness.tokens(decode.attempt, 0, &["a", "b", "c"]);
    harness.attempt(decode.attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(harness.answers().len(), 1);
}

/// Guards against blaming the decode engine for a missing KV cache. The prefill engine was
/// stopped before its cache was fetched; the decode engine was treated as draining and avoided,
/// and the request ended.
#[test]
fn a_text_whose_cache_is_gone_is_prefilled_again() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = complete_prefill(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::CacheGone);
    let decode = complete_prefill(&mut harness);
    assert_eq!(imported_handle(&decode), Some(HANDLE));
}

/// Guards against counting a prefill as a run. A caller whose request was only prefilled got a
/// plain failure without a retry time.
#[test]
fn a_text_that_is_only_prefilled_has_not_run() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = complete_prefill(&mut harness);
    let stopped = AttemptEvent::NotStarted { draining: true };
    harness.attempt(decode.attempt, stopped.clone());
    for _ in 0..10 {
        harness.wait_with_lease(Millis(1000));
        for redispatched in harness.dispatches() {
            harness.attempt(redispatched.attempt, stopped.clone());
        }
    }
    let refusal = harness.refusal();
    assert_eq!(refusal.ran, Execution::No);
    assert!(refusal.retry_after.is_some());
}

/// An interrupted decode engine may have generated tokens, so the request may have run.
#[test]
fn a_text_whose_decode_was_interrupted_may_have_run() {
    let mut harness = Harness::split();
    harness.event(completion(1, Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let decode = complete_prefill(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::Broken);
    assert_eq!(harness.refusal().ran, Execution::Unknown);
}

/// Guards against dispatching a waiting request after the configuration lease expired: the
/// engine may have left the fleet.
#[test]
fn a_waiting_text_is_dispatched_only_with_a_lease() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = complete_prefill(&mut harness);
    // No watch is answered from now on.
    let wait = |harness: &mut Harness, steps| {
        for _ in 0..steps {
            harness.wait(Millis(100));
            harness.report_load("engine-1");
            harness.report_load("engine-2");
        }
    };
    wait(&mut harness, 20);
    harness.attempt(decode.attempt, AttemptEvent::NotStarted { draining: true });
    wait(&mut harness, 20);
    assert_eq!(harness.dispatches().len(), 0);
    harness.wait_with_lease(Millis(200));
    assert_eq!(imported_handle(&harness.dispatch()), Some(HANDLE));
}
