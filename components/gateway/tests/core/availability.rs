//! Back ends that request a backoff or report draining.

use garnet_control::WatchUpdate;
use garnet_gateway::{AttemptEvent, Event};
use garnet_routing::RetryAfter;
use garnet_types::{BackendId, Millis, OutcomeCode, RecordedResponse};
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
        harness.event(Event::CallerGone(garnet_types::RequestId(first + number)));
        harness.dispatches();
    }
    used
}

#[rstest]
#[case::calls(order(1, "POST", None), used_by_calls)]
#[case::texts(completion(1, None), used_by_texts)]
fn a_back_end_in_backoff_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let rejected = harness.dispatch();
    reject(&mut harness, &rejected);
    let other = harness.dispatch();
    assert_ne!(other.backend, rejected.backend);
    assert!(!used(&mut harness, 10).contains(&rejected.backend));
    harness.wait_with_lease(Millis(2_500));
    assert!(!used(&mut harness, 100).contains(&rejected.backend));
}

#[rstest]
#[case::calls(order(1, "POST", None), used_by_calls)]
#[case::texts(completion(1, None), used_by_texts)]
fn a_back_end_that_reports_draining_gets_nothing(
    #[case] first: Event,
    #[case] used: fn(&mut Harness, u64) -> Vec<BackendId>,
) {
    let mut harness = Harness::ready();
    harness.event(first);
    let draining = harness.dispatch();
    harness.attempt(draining.attempt, AttemptEvent::Draining);
    assert!(!used(&mut harness, 10).contains(&draining.backend));
    harness.wait_with_lease(Millis(5_000));
    assert!(!used(&mut harness, 100).contains(&draining.backend));
}
