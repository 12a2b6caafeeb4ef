//! Back ends that request a backoff or report draining.

use garnet_control::WatchUpdate;
use garnet_gateway::{AttemptEvent, Event};
use garnet_routing::RetryAfter;
use garnet_types::{BackendId, Execution, Millis, OutcomeCode, RecordedResponse};
use rstest::rstest;

use crate::harness::{Dispatched, Harness, completion, configuration, order};

const BACKOFF: RetryAfter = RetryAfter::new(Millis(3_000));

fn reject(harness: &mut Harness, dispatched: &Dispatched) {
    harness.attempt(dispatched.attempt, AttemptEvent::Backoff(BACKOFF));
    let event = AttemptEvent::NotStarted { draining: false };
    harness.attempt(dispatched.attempt, event);
}

fn respond(harness: &mut Harness, dispatched: &Dispatched) {
    let response = RecordedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Vec::new(),
        served_by: dispatched.backend.to_string(),
    };
    harness.attempt(dispatched.attempt, AttemptEvent::Response(response));
}

/// Sends 20 application calls, answers each before the next, and returns the back ends used.
fn backends_used_by_calls(harness: &mut Harness, first: u64) -> Vec<BackendId> {
    let call = |number| {
        harness.event(order(first + number, "POST", None));
        let dispatched = harness.dispatch();
        respond(harness, &dispatched);
        dispatched.backend
    };
    (0..20).map(call).collect()
}

/// Sends 20 completions, each ended after its first token, and returns the engines used.
fn engines_used_by_completions(harness: &mut Harness, first: u64) -> Vec<BackendId> {
    let mut used = Vec::new();
    for number in 0..20 {
        harness.event(completion(first + number, None));
        let dispatched = harness.dispatch();
        used.push(dispatched.backend);
        harness.tokens(dispatched.attempt, 0, &["a "]);
        harness.event(Event::CallerDisconnected(garnet_types::RequestId(
            first + number,
        )));
        harness.dispatches();
    }
    used
}

#[rstest]
#[case::calls(order(1, "POST", None), backends_used_by_calls, Millis(2_500))]
#[case::texts(completion(1, None), engines_used_by_completions, Millis(1_500))]
fn a_back_end_in_backoff_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
    // An engine that reports no load counts as silent after 2 s.
    #[case] wait_time: Millis,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let rejected = harness.dispatch();
    reject(&mut harness, &rejected);
    let other = harness.dispatch();
    assert_ne!(other.backend, rejected.backend);
    assert!(!used(&mut harness, 10).contains(&rejected.backend));
    harness.wait_with_lease(wait_time);
    assert!(!used(&mut harness, 100).contains(&rejected.backend));
}

#[rstest]
#[case::calls(order(1, "POST", None), backends_used_by_calls, Millis(5_000))]
#[case::texts(completion(1, None), engines_used_by_completions, Millis(1_500))]
fn a_back_end_that_reports_draining_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
    #[case] wait_time: Millis,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let draining = harness.dispatch();
    harness.attempt(draining.attempt, AttemptEvent::Draining);
    assert!(!used(&mut harness, 10).contains(&draining.backend));
    harness.wait_with_lease(wait_time);
    assert!(!used(&mut harness, 100).contains(&draining.backend));
}

/// If all back ends are in backoff, callers are refused at once, with the time until the first
/// back end accepts requests again.
#[rstest]
#[case::calls(order(1, "POST", None), order(2, "POST", None))]
#[case::texts(completion(1, None), completion(2, None))]
fn if_all_are_in_backoff_callers_get_its_end_as_retry_time(
    #[case] first: Event,
    #[case] next: Event,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    for _ in 0..2 {
        let dispatched = harness.dispatch();
        reject(&mut harness, &dispatched);
    }
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::Overloaded);
    assert!(refusal.retry_after >= Some(BACKOFF.span()), "{refusal:?}");
    harness.wait_with_lease(Millis(1_000));
    harness.event(next);
    assert!(harness.dispatches().is_empty());
    let refusal = harness.refusal();
    let remaining_backoff = refusal.retry_after.expect("a retry time");
    assert!(
        remaining_backoff >= Millis(2_000) && remaining_backoff <= Millis(3_100),
        "{remaining_backoff:?}"
    );
}

/// After its backoff a back end gets a single probe request, until the probe is answered.
#[test]
fn a_back_end_is_probed_after_its_backoff() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", None));
    for _ in 0..2 {
        let dispatched = harness.dispatch();
        reject(&mut harness, &dispatched);
    }
    harness.refusal();
    harness.wait_with_lease(Millis(3_100));
    for number in 2..5 {
        harness.event(order(number, "POST", None));
    }
    let probes = harness.dispatches();
    assert_eq!(probes.len(), 2, "one for each instance");
    harness.refusal();
    respond(&mut harness, &probes[0]);
    for number in 5..8 {
        harness.event(order(number, "POST", None));
    }
    let next = harness.dispatches();
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|one| one.backend == probes[0].backend));
}

/// Backoff and draining reports hold only for the start of the back end that sent them.
#[rstest]
#[case::backoff(AttemptEvent::Backoff(BACKOFF))]
#[case::draining(AttemptEvent::Draining)]
fn a_restarted_back_end_has_reported_nothing(#[case] report: AttemptEvent) {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", None));
    let reporting = harness.dispatch();
    harness.attempt(reporting.attempt, report);
    let event = AttemptEvent::NotStarted { draining: false };
    harness.attempt(reporting.attempt, event);
    let other = harness.dispatch();
    respond(&mut harness, &other);
    assert!(!backends_used_by_calls(&mut harness, 10).contains(&reporting.backend));
    let mut restarted = configuration(11);
    let record = restarted
        .backends
        .get_mut(&reporting.backend)
        .expect("known");
    record.registration.start = 2;
    harness.watch_answered(WatchUpdate::Snapshot(restarted.into()));
    harness.event(Event::IndexPersisted(11));
    assert!(backends_used_by_calls(&mut harness, 100).contains(&reporting.backend));
}

/// An earlier attempt was interrupted, so the call may have run, and the refusal because of a
/// backoff must not say that it hasn't.
#[test]
fn a_call_that_may_have_run_is_not_refused_as_not_run() {
    let mut harness = Harness::ready();
    harness.event(order(1, "GET", None));
    let broken = harness.dispatch();
    harness.attempt(broken.attempt, AttemptEvent::Broken);
    let rejected = harness.dispatch();
    reject(&mut harness, &rejected);
    assert_ne!(harness.refusal().ran, Execution::No);
}
