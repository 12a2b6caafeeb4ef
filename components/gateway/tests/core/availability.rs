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

/// The back ends that many calls, one after the other, are sent to; each is answered.
fn used_by_calls(harness: &mut Harness, first: u64) -> Vec<BackendId> {
    let call = |number| {
        harness.event(order(first + number, "POST", None));
        let dispatched = harness.dispatch();
        respond(harness, &dispatched);
        dispatched.backend
    };
    (0..20).map(call).collect()
}

/// The same for texts, which are generated at once.
fn used_by_texts(harness: &mut Harness, first: u64) -> Vec<BackendId> {
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
#[case::calls(order(1, "POST", None), used_by_calls, Millis(2_500))]
#[case::texts(completion(1, None), used_by_texts, Millis(1_500))]
fn a_back_end_in_backoff_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
    // An engine that reports no load is taken for silent after 2 s.
    #[case] later: Millis,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let rejected = harness.dispatch();
    reject(&mut harness, &rejected);
    let other = harness.dispatch();
    assert_ne!(other.backend, rejected.backend);
    assert!(!used(&mut harness, 10).contains(&rejected.backend));
    harness.wait_with_lease(later);
    assert!(!used(&mut harness, 100).contains(&rejected.backend));
}

#[rstest]
#[case::calls(order(1, "POST", None), used_by_calls, Millis(5_000))]
#[case::texts(completion(1, None), used_by_texts, Millis(1_500))]
fn a_back_end_that_reports_draining_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
    #[case] later: Millis,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let draining = harness.dispatch();
    harness.attempt(draining.attempt, AttemptEvent::Draining);
    assert!(!used(&mut harness, 10).contains(&draining.backend));
    harness.wait_with_lease(later);
    assert!(!used(&mut harness, 100).contains(&draining.backend));
}

/// Who can't be served hears at once when the first back end takes requests again.
#[rstest]
#[case::calls(order(1, "POST", None), order(2, "POST", None))]
#[case::texts(completion(1, None), completion(2, None))]
fn where_all_are_in_backoff_callers_are_told_its_end(#[case] first: Event, #[case] next: Event) {
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
    let told = refusal.retry_after.expect("a time");
    assert!(told >= Millis(2_000) && told <= Millis(3_100), "{told:?}");
}

/// One request probes a back end after its backoff; the others wait for its answer.
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

/// What a back end reported is of its start.
#[rstest]
#[case::backoff(AttemptEvent::Backoff(BACKOFF))]
#[case::draining(AttemptEvent::Draining)]
fn another_start_has_reported_nothing(#[case] report: AttemptEvent) {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", None));
    let reporting = harness.dispatch();
    harness.attempt(reporting.attempt, report);
    let event = AttemptEvent::NotStarted { draining: false };
    harness.attempt(reporting.attempt, event);
    let other = harness.dispatch();
    respond(&mut harness, &other);
    assert!(!used_by_calls(&mut harness, 10).contains(&reporting.backend));
    let mut again = configuration(11);
    let record = again.backends.get_mut(&reporting.backend).expect("known");
    record.registration.start = 2;
    harness.watch_answered(WatchUpdate::Snapshot(again.into()));
    harness.event(Event::IndexPersisted(11));
    assert!(used_by_calls(&mut harness, 100).contains(&reporting.backend));
}

/// An attempt broke off before, so the call may have run, whoever is in backoff now.
#[test]
fn a_call_that_may_have_run_is_not_refused_as_one_that_has_not() {
    let mut harness = Harness::ready();
    harness.event(order(1, "GET", None));
    let broken = harness.dispatch();
    harness.attempt(broken.attempt, AttemptEvent::Broken);
    let rejected = harness.dispatch();
    reject(&mut harness, &rejected);
    assert_ne!(harness.refusal().ran, Execution::No);
}
