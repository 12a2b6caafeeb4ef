//! Draining: a planned stop cuts nothing and loses nothing.

use garnet_control::{ClaimAnswer, ControlReply};
use garnet_gateway::{AttemptEvent, Event};
use garnet_types::{OutcomeCode, RecordedResponse};

use crate::harness::{Harness, completion, order};

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
