//! Requests under which back ends end, at a forwarding gateway.

use std::collections::BTreeSet;

use garnet_control::{ConfigurationChange, QuarantineRecord, WatchUpdate};
use garnet_forwarding::Forwarder;
use garnet_quarantine::{QuarantineStatus, RequestFingerprint, RequestIdentity, Suspects};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use crate::fleet::{NOW, configuration, forwarder, record, table};

fn request(path: &str) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path,
        query: None,
        body: b"p",
    };
    identity.fingerprint()
}

fn decode_engines(count: usize) -> Forwarder {
    let records: Vec<_> = (0..count)
        .map(|number| {
            record(
                &format!("d{number}"),
                "words",
                "a",
                Some(EngineRole::Decode),
            )
        })
        .collect();
    forwarder(&records)
}

fn crash(forwarder: &mut Forwarder, path: &str, engine: &str) {
    forwarder.run_crashed(request(path), &BackendId::new(engine), NOW);
}

/// Where a suspected request may go.
fn own(forwarder: &Forwarder, path: &str, tried: &[BackendId]) -> BTreeSet<BackendId> {
    let service = ServiceId::new("words");
    let left_out = forwarder.excluded_for_suspect(&service, request(path), tried, NOW);
    let all = forwarder.backend_ids().cloned();
    all.filter(|id| !left_out.contains(id) && !tried.contains(id))
        .collect()
}

#[test]
fn a_gateway_that_knows_nothing_looks_nothing_up() {
    let mut forwarder = decode_engines(4);
    assert!(forwarder.has_no_suspects());
    crash(&mut forwarder, "/bad", "d0");
    assert!(!forwarder.has_no_suspects());
    assert_eq!(forwarder.standing(request("/bad")), QuarantineStatus::Clear);
    assert_eq!(
        forwarder.standing(request("/other")),
        QuarantineStatus::Clear
    );
}

#[test]
fn the_configuration_refuses_a_request_until_it_is_released() {
    let mut forwarder = decode_engines(1);
    let mut with = configuration(6, table(1, &[("till", 1)]), &[]);
    let until = NOW + Millis::from_secs(60);
    let record = QuarantineRecord { crashes: 3, until };
    with.change(
        6,
        &ConfigurationChange::RequestQuarantined(request("/bad"), record),
    );
    forwarder.update(WatchUpdate::Snapshot(with.clone().into()));
    assert_eq!(
        forwarder.standing(request("/bad")),
        QuarantineStatus::Refused
    );
    assert_eq!(
        forwarder.standing(request("/other")),
        QuarantineStatus::Clear
    );
    let left = forwarder.refused_for(request("/bad"), NOW);
    assert_eq!(left, Millis::from_secs(60));
    with.change(7, &ConfigurationChange::RequestReleased(request("/bad")));
    forwarder.update(WatchUpdate::Snapshot(with.into()));
    assert_eq!(forwarder.standing(request("/bad")), QuarantineStatus::Clear);
    assert!(forwarder.has_no_suspects());
}

/// An operator let it run again, and the gateway that had seen three engines
/// end under it went on refusing it by its own sight.
#[test]
fn what_is_released_is_forgotten_here_too() {
    let mut forwarder = decode_engines(4);
    for engine in ["d0", "d1", "d2"] {
        crash(&mut forwarder, "/bad", engine);
    }
    crash(&mut forwarder, "/other", "d0");
    let mut with = configuration(6, table(1, &[("till", 1)]), &[]);
    let until = NOW + Millis::from_secs(60);
    let record = QuarantineRecord { crashes: 3, until };
    with.change(
        6,
        &ConfigurationChange::RequestQuarantined(request("/bad"), record),
    );
    forwarder.update(WatchUpdate::Snapshot(with.clone().into()));
    assert_eq!(
        forwarder.standing(request("/bad")),
        QuarantineStatus::Refused
    );
    with.change(7, &ConfigurationChange::RequestReleased(request("/bad")));
    forwarder.update(WatchUpdate::Snapshot(with.into()));
    assert_eq!(forwarder.standing(request("/bad")), QuarantineStatus::Clear);
    let left = forwarder.run_report(NOW).expect("the other one");
    assert_eq!(left.runs.len(), 1);
}

#[test]
fn a_suspected_request_has_one_engine_at_all_gateways() {
    let (one, other) = (decode_engines(8), decode_engines(8));
    for number in 0..20 {
        let path = format!("/{number}");
        let at_one = own(&one, &path, &[]);
        assert_eq!(at_one.len(), 1);
        assert_eq!(at_one, own(&other, &path, &[]));
    }
}

/// So that those that merely stood beside a crash part from its cause.
#[test]
fn suspected_requests_are_spread_over_the_engines() {
    let forwarder = decode_engines(8);
    let chosen = (0..64).flat_map(|number| own(&forwarder, &format!("/{number}"), &[]));
    assert_eq!(chosen.collect::<BTreeSet<_>>().len(), 8);
}

#[test]
fn an_engine_that_was_tried_is_left_for_the_next_one() {
    let forwarder = decode_engines(3);
    let first: Vec<BackendId> = own(&forwarder, "/bad", &[]).into_iter().collect();
    let second = own(&forwarder, "/bad", &first);
    assert_eq!(second.len(), 1);
    assert!(!second.contains(&first[0]));
}

#[test]
fn what_the_leader_has_in_view_is_kept_until_it_says_otherwise() {
    let mut forwarder = decode_engines(3);
    forwarder.take_suspects(Suspects {
        suspected: vec![request("/near")],
        refused: vec![request("/bad")],
    });
    assert_eq!(
        forwarder.standing(request("/near")),
        QuarantineStatus::Suspected
    );
    assert_eq!(
        forwarder.standing(request("/bad")),
        QuarantineStatus::Refused
    );
    forwarder.run_completed(request("/near"), NOW);
    let report = forwarder.run_report(NOW).expect("news");
    assert_eq!(report.runs.len(), 1);
    forwarder.runs_confirmed(report.through);
    assert_eq!(forwarder.run_report(NOW), None);
    forwarder.resend_runs();
    assert!(forwarder.run_report(NOW).is_some());
}
