//! Draining: a planned stop cuts nothing and loses nothing.

use garnet_control::{ClaimAnswer, ControlReply};
use garnet_gateway::{AttemptEvent, Event, Job};
use garnet_types::{BackendId, Execution, Millis, OutcomeCode, RecordedResponse};

use crate::harness::{Dispatched, Harness, completion, order};

#[test]
fn a_draining_gateway_refuses_what_comes_and_finishes_what_is_there() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.event(Event::Drain);
    harness.event(completion(2, None));
    assert_eq!(harness.refusal().code, OutcomeCode::NotRun);
    assert!(!harness.gateway.is_drained());
    harness.tokens(attempt, 0, &["a", "b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(harness.answers().len(), 1);
    assert!(harness.gateway.is_drained());
}

/// The answer is out, but its record for resends is not safe yet.
#[test]
fn a_stop_waits_until_results_are_recorded() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let attempt = harness.dispatch().attempt;
    harness.event(Event::Drain);
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

const HANDLE: u64 = 7;

/// Has the prompt of a request read, and gives the attempt to generate.
fn read_prompt(harness: &mut Harness) -> Dispatched {
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

/// The only decode engine was stopped for 14 ms while another one read the prompt. Its
/// refusal ended the request in the same millisecond, with 5.9 s of its time left.
#[test]
fn a_text_whose_decode_engine_stops_waits_for_it() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = read_prompt(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::NotStarted { draining: true });
    assert!(harness.answers().is_empty());
    harness.wait_with_lease(Millis(1600));
    // The cache was not imported, so no prompt is read again.
    let decode = harness.dispatch();
    assert_eq!(imported_handle(&decode), Some(HANDLE));
    harness.tokens(decode.attempt, 0, &["a", "b", "c"]);
    harness.attempt(decode.attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(harness.answers().len(), 1);
}

/// The engine that read the prompt was stopped before its cache was fetched. The decode
/// engine was taken for a draining one and left alone, and the request ended.
#[test]
fn a_text_whose_cache_is_gone_has_its_prompt_read_again() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = read_prompt(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::CacheGone);
    let decode = read_prompt(&mut harness);
    assert_eq!(imported_handle(&decode), Some(HANDLE));
}

/// A prefill generates nothing. A caller whose prompt was only read got a plain failure,
/// without a time to come back.
#[test]
fn a_text_whose_prompt_is_only_read_has_not_run() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = read_prompt(&mut harness);
    let stopped = AttemptEvent::NotStarted { draining: true };
    harness.attempt(decode.attempt, stopped.clone());
    for _ in 0..10 {
        harness.wait_with_lease(Millis(1000));
        for again in harness.dispatches() {
            harness.attempt(again.attempt, stopped.clone());
        }
    }
    let refusal = harness.refusal();
    assert_eq!(refusal.ran, Execution::No);
    assert!(refusal.retry_after.is_some());
}

/// A decode engine that broke off may have generated: that is a run.
#[test]
fn a_text_whose_decode_broke_off_may_have_run() {
    let mut harness = Harness::split();
    harness.event(completion(1, Some("key")));
    harness.answer_claim(ClaimAnswer::Granted);
    let decode = read_prompt(&mut harness);
    harness.attempt(decode.attempt, AttemptEvent::Broken);
    assert_eq!(harness.refusal().ran, Execution::Unknown);
}

/// A waiting request was sent by a configuration whose lease was over: the engine may have
/// left the fleet since.
#[test]
fn a_waiting_text_is_sent_by_a_fresh_configuration_only() {
    let mut harness = Harness::split();
    harness.event(completion(1, None));
    let decode = read_prompt(&mut harness);
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
