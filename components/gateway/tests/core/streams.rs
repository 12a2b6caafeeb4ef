//! Streams: complete, in order, and each sent to its own caller.

use garnet_control::ClaimAnswer;
use garnet_gateway::{Answer, AttemptEvent, Call, Event, Job};
use garnet_types::{Execution, Millis, OutcomeCode};
use rstest::rstest;

use crate::harness::{Harness, completion};

fn complete_text(answer: Answer) -> String {
    match answer {
        Answer::Text(text) => text.tokens.concat(),
        other => panic!("no text: {other:?}"),
    }
}

#[test]
fn repeated_tokens_are_sent_once() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a", "b"]);
    harness.tokens(attempt, 1, &["b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    let sent_tokens: Vec<String> = harness
        .sent_tokens()
        .into_iter()
        .flat_map(|(_, tokens)| tokens)
        .collect();
    assert_eq!(sent_tokens, ["a", "b", "c"]);
    assert_eq!(complete_text(harness.answer()), "abc");
}

#[test]
fn a_gap_fails_the_attempt_and_another_engine_resumes() {
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
    assert_eq!(from_token, 1, "it resumes after the last delivered token");
    harness.tokens(second.attempt, 1, &["b", "c"]);
    harness.attempt(second.attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(complete_text(harness.answer()), "abc");
}

#[test]
fn an_end_with_another_count_never_looks_complete() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.tokens(attempt, 0, &["a"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert!(harness.answers().is_empty());
    assert_eq!(harness.dispatches().len(), 1, "another engine resumes");
}

/// Tokens of an attempt that has ended are dropped.
#[test]
fn late_tokens_of_an_ended_attempt_are_dropped() {
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
    assert_eq!(complete_text(harness.answer()), "abc");
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
        .map(|(request, answer)| (request.0, complete_text(answer)))
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
    assert!(refusal.retry_after.is_some(), "it has a retry time");
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

/// Guards against aborting a silent engine if no other engine may resume the request, because
/// it may run only once or the retry budget is exhausted. The attempt at an engine that sent
/// neither tokens nor load for two seconds was aborted. With 7.5 s of 10 s left, the caller got
/// `InDoubt` ("an engine may have run the request") or, without a retry left, a failure, although
/// the engine would have continued a moment later.
#[rstest]
#[case::at_most_one_run(Some("key"), 0)]
#[case::no_retry_budget(None, 6)]
fn a_silent_engine_without_a_substitute_is_not_aborted(
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
    assert_eq!(harness.answers(), [], "it is not aborted");
    harness.tokens(attempt, 1, &["b", "c"]);
    harness.attempt(attempt, AttemptEvent::Finished { total: 3 });
    assert_eq!(complete_text(harness.answer()), "abc");
}

/// Guards against reporting `ran: No` for a request that may have run. An engine failed before
/// its first token, no time was left for another engine, and the request was refused as not run
/// ("the deadline can't be met at the present load") although it was recorded as possibly run.
#[test]
fn a_request_that_may_have_run_is_not_refused_as_not_run() {
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
