//! Back ends that name how much they take from all gateways together.

use garnet_control::{
    BackendRecord, ControlReply, GatewayRequest, LimitUpdate, Shared, WatchUpdate,
};
use garnet_gateway::{AttemptEvent, Effect, Event, Job};
use garnet_limits::{LimitEntry, PermitAnswer, PermitOutcome, PermitRequest};
use garnet_types::{BackendId, EngineRole, Millis, OutcomeCode};

use crate::harness::{Harness, completion, configuration, order};

/// All back ends whose names begin so have a limit, as the leader says.
fn limit(harness: &mut Harness, prefix: &str) -> Vec<BackendId> {
    let ids = harness.gateway.configuration().backends.keys().cloned();
    let ids: Vec<BackendId> = ids.filter(|id| id.as_str().starts_with(prefix)).collect();
    assert!(!ids.is_empty());
    let told = |id: &BackendId| LimitEntry {
        backend: id.clone(),
        rate: "1.5".parse().expect("a rate"),
    };
    let limits: Vec<LimitEntry> = ids.iter().map(told).collect();
    harness.event(Event::Control(ControlReply::Limits(LimitUpdate {
        term: 1,
        number: 1,
        reports_taken: 0,
        limits: Shared::from(limits),
    })));
    ids
}

/// A gateway before two engines that only read prompts and two that only generate.
fn with_readers() -> Harness {
    let mut harness = Harness::new(0);
    let mut with_roles = configuration(10);
    for number in 1..=2 {
        let id = BackendId::new(format!("engine-{number}"));
        let decode = with_roles.backends.get_mut(&id).expect("an engine");
        set_role(decode, EngineRole::Decode);
        let mut reader = decode.clone();
        set_role(&mut reader, EngineRole::Prefill);
        reader.registration.id = BackendId::new(format!("reader-{number}"));
        let id = reader.registration.id.clone();
        with_roles.backends.insert(id, reader);
    }
    harness.watch_answered(WatchUpdate::Snapshot(with_roles.into()));
    harness.event(Event::IndexPersisted(10));
    harness
}

fn set_role(record: &mut BackendRecord, role: EngineRole) {
    let observed = record.observed.as_mut().expect("an engine");
    observed.assignment.role = role;
}

fn asks(harness: &mut Harness) -> Vec<PermitRequest> {
    harness.take(|effect| match effect {
        Effect::SendControl(GatewayRequest::Permit(ask)) => Some(ask.clone()),
        _ => None,
    })
}

fn answer(harness: &mut Harness, ask: &PermitRequest, outcome: PermitOutcome) {
    let answer = PermitAnswer {
        number: ask.number,
        outcome,
    };
    harness.event(Event::Control(ControlReply::Permit(answer)));
}

fn grant(harness: &mut Harness, ask: &PermitRequest) -> BackendId {
    let backend = ask.backends[0].clone();
    let outcome = PermitOutcome::Granted {
        backend: backend.clone(),
        is_due: false,
    };
    answer(harness, ask, outcome);
    backend
}

/// The question of a request that waits; it comes after the one for a spare permit.
fn asked(harness: &mut Harness) -> PermitRequest {
    asks(harness).pop().expect("a question")
}

#[test]
fn a_call_goes_to_an_instance_with_a_permit() {
    let mut harness = Harness::ready();
    let limited = limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    assert!(harness.dispatches().is_empty());
    let ask = asked(&mut harness);
    assert_eq!(ask.backends, limited);
    let granted = grant(&mut harness, &ask);
    assert_eq!(harness.dispatch().backend, granted);
    harness.event(order(2, "POST", None));
    assert!(harness.dispatches().is_empty());
}

#[test]
fn who_gets_no_permit_is_refused_with_a_time() {
    let mut harness = Harness::ready();
    limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    let ask = asked(&mut harness);
    let outcome = PermitOutcome::Refused {
        wait: Millis(400),
        retry_after: Millis(1_900),
    };
    answer(&mut harness, &ask, outcome);
    let refusal = refused(&mut harness);
    assert_eq!(refusal, (OutcomeCode::Overloaded, Some(Millis(1_900))));
    // The next one hears it without a question.
    harness.event(order(2, "POST", None));
    assert!(asks(&mut harness).is_empty());
    let refusal = refused(&mut harness);
    assert_eq!(refusal, (OutcomeCode::Overloaded, Some(Millis(1_900))));
}

#[test]
fn without_an_answer_of_the_leader_it_is_refused_soon() {
    let mut harness = Harness::ready();
    limit(&mut harness, "order");
    harness.event(order(1, "POST", None));
    let _unanswered = asked(&mut harness);
    harness.wait(Millis(249));
    assert!(harness.answers().is_empty());
    harness.wait(Millis(1));
    assert_eq!(refused(&mut harness).0, OutcomeCode::Overloaded);
}

/// The only engines that read prompts have a limit: a permit is asked for one of them.
#[test]
fn a_prompt_is_read_with_a_permit() {
    let mut harness = with_readers();
    let limited = limit(&mut harness, "reader");
    harness.event(completion(1, None));
    assert!(harness.dispatches().is_empty());
    let ask = asked(&mut harness);
    assert_eq!(ask.backends, limited);
    grant(&mut harness, &ask);
    let dispatched = harness.dispatch();
    assert!(
        matches!(dispatched.job, Job::Prefill { .. }),
        "{dispatched:?}"
    );
}

/// The engines that generate name a limit while a prompt is read: its cache waits for
/// a permit, as the most urgent.
#[test]
fn a_cache_waits_for_a_permit() {
    let mut harness = with_readers();
    harness.event(completion(1, None));
    let reading = harness.dispatch();
    let limited = limit(&mut harness, "engine");
    harness.attempt(reading.attempt, AttemptEvent::Prefilled { handle: 7 });
    assert!(harness.dispatches().is_empty());
    let ask = asked(&mut harness);
    assert_eq!((ask.priority, &ask.backends), (0, &limited));
    grant(&mut harness, &ask);
    match harness.dispatch().job {
        Job::Generate { kv: Some(kv), .. } => assert_eq!(kv.handle, 7),
        other => panic!("{other:?}"),
    }
}

/// What an answer names is told to the leader with the next watch.
#[test]
fn what_an_answer_names_is_told() {
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
    let told = &sent[0].reports[0];
    assert_eq!((&told.backend, told.rate), (&running.backend, Some(rate)));
}

fn refused(harness: &mut Harness) -> (OutcomeCode, Option<Millis>) {
    let refusal = harness.refusal();
    (refusal.code, refusal.retry_after)
}
