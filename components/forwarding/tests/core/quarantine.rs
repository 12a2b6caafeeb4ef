//! Requests that crash back ends, at a forwarding gateway.

use std::collections::BTreeSet;

use garnet_control::{ConfigurationChange, QuarantineRecord, WatchUpdate};
use garnet_forwarding::Forwarder;
use garnet_quarantine::{
    QuarantineStatus, RequestFingerprint, RequestIdentity, RunReport, Suspects,
};
use garnet_types::{BackendId, EncodingVersion, EngineRole, Millis, ServiceId};
use rstest::rstest;

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

/// Back ends that a suspected request may use.
fn usable_engines(forwarder: &Forwarder, path: &str, tried: &[BackendId]) -> BTreeSet<BackendId> {
    let service = ServiceId::new("words");
    let excluded = forwarder.excluded_for_suspect(&service, request(path), tried, NOW);
    let all = forwarder.backend_ids().cloned();
    all.filter(|id| !excluded.contains(id) && !tried.contains(id))
        .collect()
}

#[test]
fn no_lookup_is_needed_without_suspects() {
    let mut forwarder = decode_engines(4);
    assert!(forwarder.has_no_suspects());
    crash(&mut forwarder, "/bad", "d0");
    assert!(!forwarder.has_no_suspects());
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Clear
    );
    assert_eq!(
        forwarder.quarantine_status(request("/other")),
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
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Refused
    );
    assert_eq!(
        forwarder.quarantine_status(request("/other")),
        QuarantineStatus::Clear
    );
    let left = forwarder.refused_for(request("/bad"), NOW);
    assert_eq!(left, Millis::from_secs(60));
    with.change(7, &ConfigurationChange::RequestReleased(request("/bad")));
    forwarder.update(WatchUpdate::Snapshot(with.into()));
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Clear
    );
    assert!(forwarder.has_no_suspects());
}

/// Guards against a release without effect: an operator released the request, but a gateway
/// that had recorded three crashes during its runs kept refusing it.
#[test]
fn a_release_clears_the_gateways_own_crash_record() {
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
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Refused
    );
    with.change(7, &ConfigurationChange::RequestReleased(request("/bad")));
    forwarder.update(WatchUpdate::Snapshot(with.into()));
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Clear
    );
    let left = forwarder.run_report(NOW).expect("the other one");
    assert_eq!(left.runs.len(), 1);
}

#[test]
fn a_suspected_request_has_one_engine_at_all_gateways() {
    let (one, other) = (decode_engines(8), decode_engines(8));
    for number in 0..20 {
        let path = format!("/{number}");
        let at_one = usable_engines(&one, &path, &[]);
        assert_eq!(at_one.len(), 1);
        assert_eq!(at_one, usable_engines(&other, &path, &[]));
    }
}

/// Spreading moves requests that only ran on a crashed engine away from the request that
/// caused the crash.
#[test]
fn suspected_requests_are_spread_over_the_engines() {
    let forwarder = decode_engines(8);
    let chosen = (0..64).flat_map(|number| usable_engines(&forwarder, &format!("/{number}"), &[]));
    assert_eq!(chosen.collect::<BTreeSet<_>>().len(), 8);
}

#[test]
fn a_suspected_request_moves_on_from_a_tried_engine() {
    let forwarder = decode_engines(3);
    let first: Vec<BackendId> = usable_engines(&forwarder, "/bad", &[])
        .into_iter()
        .collect();
    let second = usable_engines(&forwarder, "/bad", &first);
    assert_eq!(second.len(), 1);
    assert!(!second.contains(&first[0]));
}

#[test]
fn reported_suspects_stay_until_the_leader_replaces_them() {
    let mut forwarder = decode_engines(3);
    forwarder.take_suspects(Suspects {
        suspected: vec![request("/near")],
        refused: vec![request("/bad")],
    });
    assert_eq!(
        forwarder.quarantine_status(request("/near")),
        QuarantineStatus::Suspected
    );
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Refused
    );
    forwarder.run_completed(request("/near"), NOW);
    let report = forwarder.run_report(NOW).expect("a report");
    assert_eq!(report.runs.len(), 1);
    forwarder.runs_confirmed(report.through);
    assert_eq!(forwarder.run_report(NOW), None);
    forwarder.on_leader_change(NOW);
    assert!(forwarder.run_report(NOW).is_some());
}

#[test]
fn a_leader_takes_the_reports_until_one_of_an_earlier_version_is_connected() {
    let mut forwarder = decode_engines(3);
    crash(&mut forwarder, "/bad", "d0");
    assert!(!forwarder.uses_report_connection());
    assert_eq!(forwarder.next_report(NOW), RunReport::default());
    assert!(forwarder.run_report(NOW).is_some());
}

/// A leader of version 11 cannot receive reports. Runs that count as sent to it would reach no
/// replica.
#[test]
fn runs_are_reported_only_on_the_report_connection_while_the_leader_is_of_version_11() {
    let mut forwarder = decode_engines(3);
    forwarder.connected(EncodingVersion::V11, NOW);
    crash(&mut forwarder, "/bad", "d0");
    assert!(forwarder.uses_report_connection());
    assert_eq!(forwarder.run_report(NOW), None);
    let report = forwarder.next_report(NOW);
    assert_eq!(report.runs.len(), 1);
    assert_eq!(report.runs[0].fingerprint, request("/bad"));
    forwarder.runs_confirmed(report.through);
    assert_eq!(forwarder.next_report(NOW), RunReport::default());
    assert_eq!(forwarder.run_report(NOW), None);
}

/// The replica of a new report connection may have been started since, or be another one.
#[test]
fn each_report_connection_receives_all_runs() {
    let mut forwarder = decode_engines(3);
    forwarder.connected(EncodingVersion::V11, NOW);
    crash(&mut forwarder, "/bad", "d0");
    let first = forwarder.next_report(NOW);
    forwarder.runs_confirmed(first.through);
    forwarder.on_leader_change(NOW);
    assert_eq!(forwarder.next_report(NOW), first);
}

#[rstest]
#[case(EncodingVersion::V16)]
#[case(EncodingVersion::CURRENT)]
fn a_leader_that_takes_reports_receives_all_runs(#[case] version: EncodingVersion) {
    let mut forwarder = decode_engines(3);
    forwarder.connected(EncodingVersion::V11, NOW);
    crash(&mut forwarder, "/bad", "d0");
    let reported = forwarder.next_report(NOW);
    forwarder.runs_confirmed(reported.through);
    forwarder.connected(version, NOW);
    assert!(!forwarder.uses_report_connection());
    assert_eq!(forwarder.next_report(NOW), RunReport::default());
    assert_eq!(forwarder.run_report(NOW), Some(reported));
}

/// Each gateway would otherwise have to see three crashes before it refuses the request.
#[test]
fn two_crashes_suffice_while_no_replica_takes_the_reports() {
    let mut forwarder = decode_engines(3);
    forwarder.connected(EncodingVersion::V11, NOW);
    crash(&mut forwarder, "/bad", "d0");
    crash(&mut forwarder, "/bad", "d1");
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Suspected
    );
    assert_eq!(forwarder.run_report(NOW + Millis::from_secs(1)), None);
    assert_eq!(
        forwarder.quarantine_status(request("/bad")),
        QuarantineStatus::Refused
    );
}
