//! Streams: whole, in order, each to its own caller.

use garnet_control::ClaimAnswer;
use garnet_gateway::{Answer, AttemptEvent, Call, Event, Job};
use garnet_types::{Execution, Millis, OutcomeCode};
use rstest::rstest;

use crate::harness::{Harness, completion};

fn whole_text(answer: Answer) -> String {
    match answer {
        Answer::Text(text) => text.tokens.concat(),
        other => panic!("no text: {other:?}"),
    }
}

#[test]
fn repeated_tokens_are_handed_out_once() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a", "b"]);
    harness.tokens(attempt, 1, &["b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    let handed_out: Vec<String> = harness
        .handed_out()
        .into_iter()
        .flat_map(|(_, tokens)| tokens)
        .collect();
    assert_eq!(handed_out, ["a", "b", "c"]);
    assert_eq!(whole_text(harness.answer()), "abc");
}

#[test]
fn a_gap_breaks_the_attempt_and_another_engine_goes_on() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let first = harness.dispatch();
    harness.tokens(first.attempt, 0, &["a"]);
    harness.tokens(first.attempt, 2, &["c"]);
    let second = harness.dispatch();
    assert_ne!(first.backend, second.backend);
    let Job::Generate { from_token, .. } = second.job else {
        panic!("{:?}", second.job);
    };
    assert_eq!(from_token, 1, "it goes on after the last delivered token");
    harness.tokens(second.attempt, 1, &["b", "c"]);
    harness.attempt(second.attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(whole_text(harness.answer()), "abc");
}

#[test]
fn an_end_with_another_count_never_looks_whole() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert!(harness.answers().is_empty());
    assert_eq!(harness.dispatches().len(), 1, "another engine goes on");
}

/// A late answer belongs to its attempt and is dropped when that is over.
#[test]
fn late_tokens_of_an_attempt_that_is_over_go_nowhere() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let first = harness.dispatch().attempt;
    harness.tokens(first, 0, &["a"]);
    harness.attempt(first, AttemptEvent::Broken);
    let second = harness.dispatch().attempt;
    harness.tokens(first, 1, &["late"]);
    harness.attempt(first, AttemptEvent::Finished { total: 2 });
    assert!(harness.answers().is_empty());
    harness.tokens(second, 1, &["b", "c"]);
    harness.attempt(second, AttemptEvent::Finished { total: 3 });
    assert_eq!(whole_text(harness.answer()), "abc");
}

#[test]
fn answers_of_two_requests_never_mix() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    harness.event(completion(2, None));
    let dispatches = harness.dispatches();
    let (one, two) = (dispatches[0].attempt, dispatches[1].attempt);
    harness.tokens(two, 0, &["x", "y", "z"]);
    harness.tokens(one, 0, &["a", "b", "c"]);
    harness.attempt(two, AttemptEvent::Finished { total: 3 });
    harness.attempt(one, AttemptEvent::Finished { total: 3 });
    let answers: Vec<(u64, String)> = harness
        .answers()
        .into_iter()
        .map(|(request, answer)| (request.0, whole_text(answer)))
        .collect();
    assert_eq!(answers, [(2, "xyz".to_owned()), (1, "abc".to_owned())]);
}

#[test]
fn a_passed_deadline_is_answered_at_once_and_the_attempt_cancelled() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a"]);
    harness.wait_with_lease(Millis(10_000));
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::Deadline);
    assert_eq!(refusal.ran, Execution::Yes);
    assert!(refusal.retry_after.is_some(), "it says when to come back");
    harness.tokens(attempt, 1, &["b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert!(harness.answers().is_empty());
}

#[test]
fn without_any_engine_the_refusal_is_immediate_and_says_not_run() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    for _ in 0..2 {
        let attempt = harness.dispatch().attempt;
        harness.attempt(attempt, AttemptEvent::NotStarted { draining: true });
    }
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::NotRun);
    assert_eq!(refusal.ran, Execution::No);
    assert!(refusal.retry_after.is_some());
}

/// An engine that gave neither tokens nor load for two seconds was left, also
/// where nobody could go on: a request that may run once, or one for which no
/// retry was left. With 7.5 s of 10 left its caller was told `InDoubt` ("an engine
/// may have run the request"), or that "the text was broken off and no engine
/// could take it over", while the engine went on a moment later.
#[rstest]
#[case::may_run_once(Some("key"), 0)]
#[case::no_retry_is_left(None, 6)]
fn a_silent_engine_without_a_substitute_is_waited_for(
    #[case] key: Option<&str>,
    #[case] retries_before: u64,
) {
    let mut harness = Harness::ready();
    for id in 0..retries_before {
        harness.event(completion(100 + id, None));
        let first = harness.dispatch().attempt;
        harness.attempt(first, AttemptEvent::Broken);
        let second = harness.dispatch().attempt;
        harness.tokens(second, 0, &["a"]);
        harness.attempt(second, AttemptEvent::Finished { total: 1 });
    }
    harness.answers();
    harness.event(completion(1, key));
    if key.is_some() {
        harness.answer_claim(ClaimAnswer::Granted);
    }
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a"]);
    for _ in 0..10 {
        harness.wait_with_lease(Millis(250));
    }
    assert_eq!(harness.answers(), [], "it is waited for");
    harness.tokens(attempt, 1, &["b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(whole_text(harness.answer()), "abc");
}

/// An engine broke off before its first token, so it may have run the request;
/// no time was left for another one, and the caller was told that the request
/// had not run ("the deadline can't be met at the present load", `ran: No`, while
/// the request was noted as one that may have run).
#[test]
fn a_request_that_may_have_run_is_not_refused_as_one_that_has_not() {
    let mut harness = Harness::ready();
    let Event::Call(call) = completion(1, None) else {
        panic!("a call");
    };
    harness.event(Event::Call(Call {
        deadline: Some(Millis(300)),
        ..call
    }));
    let attempt = harness.dispatch().attempt;
    harness.wait_with_lease(Millis(200));
    harness.attempt(attempt, AttemptEvent::Broken);
    let refusal = harness.refusal();
    assert_ne!(refusal.ran, Execution::No, "{refusal:?}");
}
