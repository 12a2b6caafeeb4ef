//! Requests that crash engines.

use garnet_control::{
    ConfigurationChange, ControlReply, CopyUpdates, GatewayRequest, QuarantineRecord, WatchUpdate,
};
use garnet_gateway::{AttemptEvent, Effect, Event};
use garnet_quarantine::{RequestFingerprint, RunEnd, RunReport, Suspects};
use garnet_types::{EncodingVersion, Execution, Millis, OutcomeCode};

use crate::harness::{Harness, completion, configuration, order};

/// Crash reports sent to the leader since the last call.
fn reports(harness: &mut Harness) -> Vec<RunReport> {
    harness.take(|effect| match effect {
        Effect::SendControl(GatewayRequest::Runs(report)) => Some(report.clone()),
        _ => None,
    })
}

fn fingerprint_of_one_crash(harness: &mut Harness) -> RequestFingerprint {
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.attempt(attempt, AttemptEvent::Broken);
    let sent = reports(harness).pop().expect("reported at once");
    sent.runs[0].fingerprint
}

fn send_suspects(harness: &mut Harness, suspects: Suspects) {
    let sent_at = harness.now;
    harness.event(Event::Control(ControlReply::Watch {
        sent_at,
        update: WatchUpdate::Current,
        group: None,
        gateways: 2,
        digest: None,
        copies: CopyUpdates::default(),
        suspects: Some(suspects),
    }));
}

#[test]
fn an_interrupted_run_is_reported_at_once_with_its_engine() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let dispatched = harness.dispatch();
    harness.attempt(dispatched.attempt, AttemptEvent::Broken);
    let report = reports(&mut harness).pop().expect("a report");
    match &report.runs[0].end {
        RunEnd::Crashed(engine) => assert_eq!(engine.backend, dispatched.backend),
        other => panic!("{other:?}"),
    }
}

/// A back end that sends what is no answer, or does not end it, is alive.
#[test]
fn an_answer_that_is_given_up_is_no_crash() {
    let mut harness = Harness::ready();
    harness.event(completion(1, None));
    let completed = harness.dispatch();
    harness.attempt(completed.attempt, AttemptEvent::AnswerGivenUp);
    assert_ne!(harness.dispatch().backend, completed.backend, "retried");
    harness.event(order(2, "GET", None));
    let ordered = harness.dispatch();
    harness.attempt(ordered.attempt, AttemptEvent::AnswerGivenUp);
    assert_ne!(harness.dispatch().backend, ordered.backend, "retried");
    assert_eq!(reports(&mut harness), []);
}

#[test]
fn a_request_that_the_leader_quarantines_is_not_dispatched() {
    let mut harness = Harness::ready();
    let refused = vec![fingerprint_of_one_crash(&mut harness)];
    let _second_attempt = harness.dispatches();
    send_suspects(
        &mut harness,
        Suspects {
            refused,
            suspected: Vec::new(),
        },
    );
    harness.event(completion(2, None));
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::Quarantined);
    assert_eq!(refusal.code.status(), 429);
    assert_eq!(refusal.ran, Execution::No);
    assert!(refusal.retry_after.is_some());
    assert!(harness.dispatches().is_empty());
    // Other requests of the same caller are served.
    harness.event(order(3, "GET", None));
    assert_eq!(harness.dispatches().len(), 1);
}

/// A request that is quarantined while an attempt is in flight isn't retried. It may have run,
/// so the refusal must not say that it hasn't.
#[test]
fn an_attempt_in_flight_is_not_retried_after_the_quarantine() {
    let mut harness = Harness::ready();
    let refused = vec![fingerprint_of_one_crash(&mut harness)];
    let second = harness.dispatch().attempt;
    send_suspects(
        &mut harness,
        Suspects {
            refused,
            suspected: Vec::new(),
        },
    );
    harness.attempt(second, AttemptEvent::Broken);
    assert!(harness.dispatches().is_empty());
    assert_ne!(harness.refusal().ran, Execution::No);
}

#[test]
fn the_configuration_sets_the_end_of_the_quarantine() {
    let mut harness = Harness::ready();
    let fingerprint = fingerprint_of_one_crash(&mut harness);
    let _second_attempt = harness.dispatches();
    let mut quarantined = configuration(11);
    let record = QuarantineRecord {
        crashes: 3,
        until: harness.now + Millis::from_secs(3600),
    };
    quarantined.change(
        11,
        &ConfigurationChange::RequestQuarantined(fingerprint, record),
    );
    harness.watch_answered(WatchUpdate::Snapshot(quarantined.into()));
    harness.event(completion(2, Some("key")));
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::Quarantined);
    assert_eq!(refusal.retry_after, Some(Millis::from_secs(3600)));
    assert!(
        harness.claim_requests().is_empty(),
        "nothing is claimed for it"
    );
}

#[test]
fn a_new_leader_gets_all_reports() {
    let mut harness = Harness::ready();
    fingerprint_of_one_crash(&mut harness);
    let through = 1;
    harness.event(Event::Control(ControlReply::RunsNoted { through }));
    harness.wait(Millis(500));
    assert!(reports(&mut harness).is_empty());
    harness.event(Event::Control(ControlReply::NotLeader {
        leader: None,
        last_known: None,
    }));
    harness.wait(Millis(500));
    assert_eq!(reports(&mut harness).len(), 1);
}

/// While the log can't hold a verdict, a new leader has none until gateways have reported
/// their crashes again; a request sent in between ends one more engine.
#[test]
fn a_refused_request_stays_refused_until_a_new_leader_has_all_reports() {
    let mut harness = Harness::ready();
    let refused = vec![fingerprint_of_one_crash(&mut harness)];
    let _second_attempt = harness.dispatches();
    send_suspects(
        &mut harness,
        Suspects {
            refused,
            suspected: Vec::new(),
        },
    );
    harness.event(Event::Control(ControlReply::NotLeader {
        leader: None,
        last_known: None,
    }));
    send_suspects(&mut harness, Suspects::default());
    harness.event(completion(2, None));
    let dispatched = harness.dispatches();
    assert!(dispatched.is_empty(), "{dispatched:?}");
    assert_eq!(harness.refusal().code, OutcomeCode::Quarantined);
}

/// The answer of a replica that does not lead. Only its suspects count.
fn report_answer(refused: Vec<RequestFingerprint>) -> ControlReply {
    ControlReply::Watch {
        sent_at: Millis::ZERO,
        update: WatchUpdate::Current,
        group: None,
        gateways: 0,
        digest: None,
        copies: CopyUpdates::default(),
        suspects: Some(Suspects {
            refused,
            suspected: Vec::new(),
        }),
    }
}

/// A leader of version 11 takes no reports, so that the crashes of each gateway would be known
/// to itself alone.
#[test]
fn another_replica_gets_the_reports_while_the_leader_takes_none() {
    let mut harness = Harness::ready();
    harness.event(Event::LeaderConnected(EncodingVersion::V11));
    harness.event(completion(1, None));
    let attempt = harness.dispatch().attempt;
    harness.attempt(attempt, AttemptEvent::Broken);
    let _second_attempt = harness.dispatches();
    assert!(reports(&mut harness).is_empty());
    harness.event(Event::ReportConnected);
    let now = harness.now;
    let report = harness.gateway.next_run_report(now).expect("a report");
    assert_eq!(report.runs.len(), 1);
    let through = report.through;
    harness.event(Event::ReportReply(ControlReply::RunsNoted { through }));
    let empty = harness.gateway.next_run_report(now).expect("a report");
    assert!(empty.runs.is_empty());
    let refused = vec![report.runs[0].fingerprint];
    harness.event(Event::ReportReply(report_answer(refused)));
    harness.event(completion(2, None));
    assert_eq!(harness.refusal().code, OutcomeCode::Quarantined);
    harness.event(Event::LeaderConnected(EncodingVersion::CURRENT));
    assert_eq!(harness.gateway.next_run_report(now), None);
    harness.wait(Millis(500));
    assert_eq!(reports(&mut harness).len(), 1, "all runs again");
}
