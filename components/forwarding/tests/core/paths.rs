//! Paths to back ends, and the relays that stand in for a lost one.

use std::net::SocketAddr;

use garnet_control::{BackendRecord, Relay};
use garnet_forwarding::{Forwarder, PathChange, PathPhase, RelayDirectory, Work};
use garnet_quarantine::{QuarantineStatus, RequestFingerprint};
use garnet_routes::WorkKind;
use garnet_types::{EngineRole, Millis, ServiceId};
use rstest::rstest;

use crate::fleet::{NOW, engines_named, forwarder, id, prompt, record, work};

fn till() -> ServiceId {
    ServiceId::new("till")
}

fn words() -> ServiceId {
    ServiceId::new("words")
}

fn call() -> Work {
    work(WorkKind::Repeatable, None)
}

fn stream() -> Work {
    work(WorkKind::Stream, Some(prompt(1, 2, 2_000)))
}

fn applications(count: usize) -> Vec<BackendRecord> {
    (0..count)
        .map(|number| record(&format!("a-{number}"), "till", "a", None))
        .collect()
}

/// Sends the probes that are due, which all fail, and returns the changes.
fn fail_probes(gateway: &mut Forwarder, now: Millis) -> Vec<PathChange> {
    let probed = gateway.path_probes(now);
    assert!(!probed.is_empty());
    let fail = |backend| gateway.path_failed(&backend, false, now);
    probed.into_iter().flat_map(fail).collect()
}

/// A gateway whose path to five applications is lost.
fn cut_gateway() -> Forwarder {
    let mut gateway = forwarder(&applications(5));
    gateway.path_failed(&id("a-0"), false, NOW);
    gateway.path_failed(&id("a-1"), false, NOW);
    let changes = fail_probes(&mut gateway, NOW);
    assert!(matches!(&changes[..], [PathChange::Lost(path)] if path.service == till()));
    gateway
}

#[test]
fn a_path_is_lost_when_the_probed_back_ends_fail_as_well() {
    let gateway = cut_gateway();
    assert!(!gateway.has_path(&till(), &call()));
    assert_eq!(gateway.unreached_services(), [till()]);
}

/// One engine that fails again and again, or the only one of a service, is no lost path.
#[test]
fn a_single_back_end_never_loses_the_path() {
    for count in [1, 5] {
        let mut gateway = forwarder(&applications(count));
        for step in 0..20 {
            let now = NOW + Millis(10 * step);
            assert_eq!(gateway.path_failed(&id("a-0"), false, now), []);
            assert_eq!(gateway.path_probes(now), []);
        }
        assert!(gateway.has_path(&till(), &call()));
    }
}

#[test]
fn a_back_end_that_answers_ends_the_suspicion() {
    let mut gateway = forwarder(&applications(5));
    gateway.path_failed(&id("a-0"), false, NOW);
    gateway.path_failed(&id("a-1"), false, NOW);
    let probed = gateway.path_probes(NOW);
    assert_eq!(probed.len(), 3);
    assert!(!probed.contains(&id("a-0")) && !probed.contains(&id("a-1")));
    assert_eq!(gateway.path_answered(&probed[0], NOW, NOW), []);
    for backend in &probed[1..] {
        assert_eq!(gateway.path_failed(backend, false, NOW), []);
    }
    assert!(gateway.has_path(&till(), &call()));
}

/// Failures that are far apart are those of single back ends.
#[test]
fn old_failures_do_not_count() {
    let mut gateway = forwarder(&applications(5));
    gateway.path_failed(&id("a-0"), false, NOW);
    let later = NOW + Millis(5_001);
    gateway.path_failed(&id("a-1"), false, later);
    assert_eq!(gateway.path_probes(later), []);
}

/// One probe at a time goes out, at intervals, and two back ends have to answer.
#[test]
fn a_lost_path_is_regained_when_two_back_ends_answer() {
    let mut gateway = cut_gateway();
    assert_eq!(gateway.path_probes(NOW + Millis(499)), []);
    let healed = NOW + Millis(500);
    let first = gateway.path_probes(healed);
    assert_eq!(first.len(), 1);
    assert_eq!(gateway.path_answered(&first[0], healed, healed), []);
    assert!(!gateway.has_path(&till(), &call()));
    let second = gateway.path_probes(healed);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    let changes = gateway.path_answered(&second[0], healed, healed);
    let expected =
        matches!(&changes[..], [PathChange::Regained { lost_for, .. }] if *lost_for == Millis(500));
    assert!(expected, "{changes:?}");
    assert!(gateway.has_path(&till(), &call()));
}

/// An answer between two failures does not count while the path heals.
#[test]
fn a_failed_probe_starts_the_confirmation_again() {
    let mut gateway = cut_gateway();
    let at = NOW + Millis(500);
    let first = gateway.path_probes(at);
    gateway.path_answered(&first[0], at, at);
    let second = gateway.path_probes(at);
    gateway.path_failed(&second[0], false, at);
    let later = at + Millis(500);
    let third = gateway.path_probes(later);
    assert_eq!(gateway.path_answered(&third[0], later, later), []);
    assert!(!gateway.has_path(&till(), &call()));
}

/// A path is lost for one phase while engines of the other one answer.
#[test]
fn the_phases_of_a_service_have_paths_of_their_own() {
    let mut gateway = forwarder(&engines_named(&[
        ("p-1", EngineRole::Prefill),
        ("p-2", EngineRole::Prefill),
        ("p-3", EngineRole::Prefill),
        ("d-1", EngineRole::Decode),
        ("d-2", EngineRole::Decode),
    ]));
    for failed in ["p-1", "p-2"] {
        gateway.path_failed(&id(failed), false, NOW);
        gateway.path_answered(&id("d-1"), NOW, NOW);
    }
    let changes = fail_probes(&mut gateway, NOW);
    let lost = matches!(&changes[..], [PathChange::Lost(path)] if path.phase == PathPhase::Prefill);
    assert!(lost, "{changes:?}");
    assert!(!gateway.has_path(&words(), &stream()));
    assert!(gateway.has_path(&till(), &call()));
}

fn relay(number: u8, zone: &str) -> Relay {
    Relay {
        address: relay_address(number),
        zone: zone.to_owned(),
        unreached: Vec::new(),
    }
}

fn relay_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7380))
}

fn directory(relays: &[(u8, &str)]) -> RelayDirectory {
    let mut directory = RelayDirectory::new("a".to_owned());
    let list = relays.iter().map(|(number, zone)| relay(*number, zone));
    directory.take_list(list.collect(), NOW);
    directory
}

#[test]
fn requests_are_spread_over_relays_the_near_ones_first() {
    let mut directory = directory(&[(1, "b"), (2, "a"), (3, "a")]);
    let mut chosen = Vec::new();
    for _ in 0..10 {
        let relay = directory
            .choose(&till(), WorkKind::Repeatable, &[], NOW)
            .expect("a relay");
        directory.sent(relay);
        chosen.push(relay);
    }
    let sent_to = |number| {
        chosen
            .iter()
            .filter(|one| **one == relay_address(number))
            .count()
    };
    assert_eq!(chosen[..2], [relay_address(2), relay_address(3)]);
    // The far one takes part when the near ones have more in flight.
    assert_eq!((sent_to(1), sent_to(2) + sent_to(3)), (1, 9));
}

#[test]
fn relays_without_a_path_to_the_service_are_left_out() {
    let mut directory = directory(&[(1, "a"), (2, "a")]);
    directory.lacks_path(relay_address(1), &till());
    assert_eq!(
        directory.choose(&till(), WorkKind::Repeatable, &[], NOW),
        Some(relay_address(2))
    );
    let tried = [relay_address(2)];
    assert_eq!(
        directory.choose(&till(), WorkKind::Repeatable, &tried, NOW),
        None
    );
    assert_eq!(
        directory.choose(&words(), WorkKind::Repeatable, &tried, NOW),
        Some(relay_address(1))
    );
}

/// A new leader's first list is incomplete, so the previous one counts a little longer.
#[test]
fn relays_that_are_no_longer_listed_are_forgotten_after_a_while() {
    let mut directory = directory(&[(1, "a"), (2, "a")]);
    directory.take_list(vec![relay(2, "a")], NOW + Millis(1_000));
    assert_eq!(directory.len(), 2);
    directory.take_list(vec![relay(2, "a")], NOW + Millis(3_001));
    assert_eq!(directory.len(), 1);
}

/// The nearest relay that takes a request now.
fn chosen(directory: &RelayDirectory, now: Millis) -> Option<SocketAddr> {
    directory.choose(&till(), WorkKind::Repeatable, &[], now)
}

/// Gateways that had left the leader's list for a planned stop were asked for 3 s more.
#[test]
fn a_relay_that_is_no_longer_listed_is_the_last_choice() {
    let mut directory = directory(&[(1, "a"), (2, "b")]);
    assert_eq!(chosen(&directory, NOW), Some(relay_address(1)));
    let later = NOW + Millis(1_000);
    directory.take_list(vec![relay(2, "b")], later);
    for _ in 0..10 {
        directory.sent(relay_address(2));
    }
    assert_eq!(chosen(&directory, later), Some(relay_address(2)));
    // A new leader's list is empty at first.
    directory.take_list(Vec::new(), later + Millis(1));
    assert_eq!(chosen(&directory, later), Some(relay_address(1)));
}

/// Relays in a planned stop were asked again every 0.5 to 2 s.
#[test]
fn a_relay_that_stops_is_left_out_until_it_is_listed_anew() {
    let mut directory = directory(&[(1, "a")]);
    directory.stopping(relay_address(1), NOW);
    assert_eq!(chosen(&directory, NOW), None);
    // The leader may not have its report yet.
    let outdated = NOW + Millis(600);
    directory.take_list(vec![relay(1, "a")], outdated);
    assert_eq!(chosen(&directory, outdated), None);
    let without = NOW + Millis(1_600);
    directory.take_list(Vec::new(), without);
    assert_eq!(chosen(&directory, without), None);
    let anew = NOW + Millis(2_600);
    directory.take_list(vec![relay(1, "a")], anew);
    assert_eq!(chosen(&directory, anew), Some(relay_address(1)));
}

/// Without a leader no list tells that a relay has been started again.
#[test]
fn a_relay_that_stops_is_asked_again_after_the_longest_stop() {
    let mut directory = directory(&[(1, "a")]);
    directory.stopping(relay_address(1), NOW);
    assert_eq!(chosen(&directory, NOW + Millis(8_000)), None);
    let after = NOW + Millis(8_001);
    assert_eq!(chosen(&directory, after), Some(relay_address(1)));
}

/// A relay of an earlier build is asked again after the next list, as it may have been upgraded.
#[rstest]
#[case(WorkKind::Repeatable, true)]
#[case(WorkKind::ResumableStream, true)]
#[case(WorkKind::AtMostOnce, false)]
#[case(WorkKind::Stream, false)]
fn a_relay_that_declines_single_runs_takes_what_may_be_repeated(
    #[case] kind: WorkKind,
    #[case] is_chosen: bool,
) {
    let mut directory = directory(&[(1, "a")]);
    directory.declines_single_runs(relay_address(1));
    let chosen = directory.choose(&till(), kind, &[], NOW);
    assert_eq!(chosen.is_some(), is_chosen);
    directory.take_list(vec![relay(1, "a")], NOW + Millis(1_000));
    let chosen = directory.choose(&till(), kind, &[], NOW + Millis(1_000));
    assert_eq!(chosen, Some(relay_address(1)));
}

#[test]
fn a_relay_that_is_not_reached_is_left_out_for_a_while() {
    let mut directory = directory(&[(1, "a")]);
    directory.unavailable(relay_address(1), NOW);
    assert_eq!(
        directory.choose(&till(), WorkKind::Repeatable, &[], NOW),
        None
    );
    let later = NOW + Millis(501);
    assert_eq!(
        directory.choose(&till(), WorkKind::Repeatable, &[], later),
        Some(relay_address(1))
    );
}

fn fingerprint() -> RequestFingerprint {
    "000000000000000000000000000000aa"
        .parse()
        .expect("a fingerprint")
}

/// A cut with resets broke one request at three engines, and the request was refused at all
/// gateways for 60 s.
#[test]
fn runs_that_a_lost_path_breaks_are_no_crashes() {
    let mut gateway = forwarder(&applications(5));
    for broken in ["a-0", "a-1", "a-2"] {
        gateway.path_failed(&id(broken), true, NOW);
        gateway.run_crashed(fingerprint(), &id(broken), NOW);
        assert_eq!(gateway.run_report(NOW), None);
    }
    fail_probes(&mut gateway, NOW);
    gateway.run_crashed(fingerprint(), &id("a-3"), NOW);
    let later = NOW + Millis(2_000);
    assert_eq!(gateway.run_report(later), None);
    assert_eq!(
        gateway.quarantine_status(fingerprint()),
        QuarantineStatus::Clear
    );
}

/// Engines that crash while others answer are reported at once.
#[test]
fn crashes_are_reported_when_another_back_end_answers() {
    let mut gateway = forwarder(&applications(5));
    gateway.path_failed(&id("a-0"), true, NOW);
    gateway.run_crashed(fingerprint(), &id("a-0"), NOW);
    assert_eq!(gateway.run_report(NOW), None);
    gateway.path_answered(&id("a-4"), NOW, NOW);
    let report = gateway.run_report(NOW).expect("a report");
    assert_eq!(report.runs.len(), 1);
}

/// A crash is reported after a moment even if nothing tells whether the path is lost.
#[test]
fn crashes_are_not_held_back_for_long() {
    let mut gateway = forwarder(&applications(5));
    gateway.path_failed(&id("a-0"), true, NOW);
    gateway.run_crashed(fingerprint(), &id("a-0"), NOW);
    assert_eq!(gateway.run_report(NOW + Millis(999)), None);
    assert!(gateway.run_report(NOW + Millis(1_000)).is_some());
}

/// An answer to a request that was sent before a connection failed tells nothing about the
/// path since then. Such answers let runs that a cut had reset count as crashes.
#[test]
fn answers_to_earlier_requests_do_not_end_a_suspicion() {
    let mut gateway = forwarder(&applications(5));
    let failed_at = NOW + Millis(10);
    gateway.path_failed(&id("a-0"), true, failed_at);
    gateway.run_crashed(fingerprint(), &id("a-0"), failed_at);
    gateway.path_answered(&id("a-4"), NOW, failed_at + Millis(1));
    assert_eq!(gateway.run_report(failed_at + Millis(1)), None);
    // Another back end is probed if nothing answers.
    let probed = gateway.path_probes(failed_at + Millis(100));
    assert_eq!(probed.len(), 1);
    assert_ne!(probed[0], id("a-0"));
    let probed_at = failed_at + Millis(100);
    gateway.path_answered(&probed[0], probed_at, probed_at);
    assert!(gateway.run_report(probed_at).is_some());
}
