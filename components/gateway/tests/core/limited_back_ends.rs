//! Back ends that limit the request rate of all gateways together.

use garnet_control::{
    BackendRecord, ControlReply, GatewayRequest, LimitUpdate, Shared, WatchUpdate,
};
use garnet_gateway::{AttemptEvent, Effect, Event, Job};
use garnet_limits::{LimitEntry, PermitAnswer, PermitOutcome, PermitRequest};
use garnet_types::{BackendId, EngineRole, Millis, OutcomeCode};

use crate::harness::{Harness, completion, configuration, order};

/// Has the leader report a limit for all back ends whose names start with `prefix`.
fn limit(harness: &mut Harness, prefix: &str) -> Vec<BackendId> {
    let ids = harness.gateway.configuration().backends.keys().cloned();
    let ids: Vec<BackendId> = ids.filter(|id| id.as_str().starts_with(prefix)).collect();
    assert!(!ids.is_empty());
    let entry = |id: &BackendId| LimitEntry {
        backend: id.clone(),
        rate: "1.5".parse().expect("a rate"),
    };
    let limits: Vec<LimitEntry> = ids.iter().map(entry).collect();
    harness.event(Event::Control(ControlReply::Limits(LimitUpdate {
        term: 1,
        number: 1,
        reports_taken: 0,
        limits: Shared::from(limits),
    })));
    ids
}

/// A gateway with two prefill engines and two decode engines.
fn with_prefill_and_decode_engines() -> Harness {
    let mut harness = Harness::new(0);
    let mut with_roles = configuration(10);
    for number in 1..=2 {
        let id = BackendId::new(format!("engine-{number}"));
        let decode = with_roles.backends.get_mut(&id).expect("an engine");
        set_role(decode, EngineRole::Decode);
        let mut prefill = decode.clone();
        set_role(&mut prefill, EngineRole::Prefill);
        prefill.registration.id = BackendId::new(format!("reader-{number}"));
        let id = prefill.registration.id.clone();
        with_roles.backends.insert(id, prefill);
    }
    harness.watch_answered(WatchUpdate::Snapshot(with_roles.into()));
    harness.event(Event::IndexPersisted(10));
    harness
}

fn set_role(record: &mut BackendRecord, role: EngineRole) {
    let observed = record.observed.as_mut().expect("an engine");
    observed.assignment.role = role;
}

fn permit_requests(harness: &mut Harness) -> Vec<PermitRequest> {
    harness.take(|effect| match effect {
        Effect::SendControl(GatewayRequest::Permit(request)) => Some(request.clone()),
        _ => None,
    })
}

fn answer(harness: &mut Harness, request: &PermitRequest, outcome: PermitOutcome) {
    let answer = PermitAnswer {
        number: request.number,
        outcome,
    };
    harness.event(Event::Control(ControlReply::Permit(answer)));
}

fn grant(harness: &mut Harness, request: &PermitRequest) -> BackendId {
    let backend = request.backends[0].clone();
    let outcome = PermitOutcome::Granted {
        backend: backend.clone(),
        is_due: false,
    };
    answer(harness, request, outcome);
    backend
}

/// The permit request of a waiting request; it is sent after the one for a spare permit.
fn permit_request(harness: &mut Harness) -> PermitRequest {
    permit_requests(harness).pop().expect("a permit request")
}

#[test]
fn a_call_goes_to_an_instance_with_a_permit() {
    let mut harness = Harness::ready();
    let limited = limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    assert!(harness.dispatches().is_empty());
    let request = permit_request(&mut harness);
    assert_eq!(request.backends, limited);
    let granted = grant(&mut harness, &request);
    assert_eq!(harness.dispatch().backend, granted);
    harness.event(order(2, "POST", None));
    assert!(harness.dispatches().is_empty());
}

#[test]
fn a_request_without_a_permit_is_refused_with_a_retry_time() {
    let mut harness = Harness::ready();
    limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    let request = permit_request(&mut harness);
    let outcome = PermitOutcome::Refused {
        wait: Millis(400),
        retry_after: Millis(1_900),
    };
    answer(&mut harness, &request, outcome);
    let refusal = refused(&mut harness);
    assert_eq!(refusal, (OutcomeCode::Overloaded, Some(Millis(1_900))));
    // The next request is refused without another permit request.
    harness.event(order(2, "POST", None));
    assert!(permit_requests(&mut harness).is_empty());
    let refusal = refused(&mut harness);
    assert_eq!(refusal, (OutcomeCode::Overloaded, Some(Millis(1_900))));
}

#[test]
fn a_request_is_refused_if_the_leader_does_not_answer() {
    let mut harness = Harness::ready();
    limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    let _unanswered = permit_request(&mut harness);
    harness.wait(Millis(249));
    assert!(harness.answers().is_empty());
    harness.wait(Millis(1));
    assert_eq!(refused(&mut harness).0, OutcomeCode::Overloaded);
}

/// If all prefill engines have a limit, a permit for one of them is requested.
#[test]
fn a_prefill_needs_a_permit() {
    let mut harness = with_prefill_and_decode_engines();
    let limited = limit(&mut harness, "reader");
    harness.event(completion(1, None));
    assert!(harness.dispatches().is_empty());
    let request = permit_request(&mut harness);
    assert_eq!(request.backends, limited);
    grant(&mut harness, &request);
    let dispatched = harness.dispatch();
    assert!(
        matches!(dispatched.job, Job::Prefill { .. }),
        "{dispatched:?}"
    );
}

/// If the decode engines report a limit during a prefill, a permit with the highest priority is
/// requested for the KV cache.
#[test]
fn a_kv_cache_waits_for_a_permit() {
    let mut harness = with_prefill_and_decode_engines();
    harness.event(completion(1, None));
    let prefilling = harness.dispatch();
    let limited = limit(&mut harness, "engine");
    harness.attempt(prefilling.attempt, AttemptEvent::Prefilled { handle: 7 });
    assert!(harness.dispatches().is_empty());
    let request = permit_request(&mut harness);
    assert_eq!((request.priority, &request.backends), (0, &limited));
    grant(&mut harness, &request);
    match harness.dispatch().job {
        Job::Generate { kv: Some(kv), .. } => assert_eq!(kv.handle, 7),
        other => panic!("{other:?}"),
    }
}

/// A limit reported in an answer is sent to the leader with the next watch.
#[test]
fn a_limit_in_an_answer_is_reported() {
    let mut harness = Harness::ready();
    harness.event(order(1, "POST", None));
    let running = harness.dispatch();
    let rate = "0.25".parse().expect("a rate");
    harness.attempt(running.attempt, AttemptEvent::Limit(Some(rate)));
    harness.wait(Millis(1_000));
    let sent = harness.take(|effect| match effect {
        Effect::SendControl(GatewayRequest::LimitReports { reports, .. }) => Some(reports.clone()),
        _ => None,
    });
    let entry = &sent[0].reports[0];
    assert_eq!((&entry.backend, entry.rate), (&running.backend, Some(rate)));
}

fn refused(harness: &mut Harness) -> (OutcomeCode, Option<Millis>) {
    let refusal = harness.refusal();
    (refusal.code, refusal.retry_after)
}
