//! The crash log of one gateway.

use garnet_quarantine::{CrashLog, CrashTracker, QuarantineStatus, RunEnd, Suspects};
use garnet_types::Millis;

use crate::{engine, request};

const NOW: Millis = Millis(5000);

fn with_crashes(count: usize) -> CrashLog {
    let mut log = CrashLog::default();
    for number in 0..count {
        log.crashed(request("bad"), engine(&format!("e{number}")), NOW);
    }
    log
}

#[test]
fn local_crashes_suffice_to_refuse() {
    let status = |count| with_crashes(count).status(request("bad"));
    assert_eq!(status(1), QuarantineStatus::Clear);
    assert_eq!(status(2), QuarantineStatus::Suspected);
    assert_eq!(status(3), QuarantineStatus::Refused);
    assert_eq!(
        with_crashes(3).status(request("other")),
        QuarantineStatus::Clear
    );
}

/// If another request was running during all three crashes, the gateway can't tell which one is the
/// cause and leaves the decision to the leader, which has the reports of all gateways. A fourth
/// crash suffices without the leader.
#[test]
fn the_leader_decides_between_requests_at_the_same_crashes() {
    let mut log = with_crashes(3);
    for number in 0..3 {
        log.crashed(request("beside"), engine(&format!("e{number}")), NOW);
    }
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
    assert_eq!(log.status(request("beside")), QuarantineStatus::Suspected);
    log.crashed(request("bad"), engine("e3"), NOW);
    assert_eq!(log.status(request("bad")), QuarantineStatus::Refused);
    assert_eq!(log.status(request("beside")), QuarantineStatus::Suspected);
}

#[test]
fn an_engine_counts_once() {
    let mut log = with_crashes(2);
    log.crashed(request("bad"), engine("e0"), NOW);
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
}

#[test]
fn suspects_of_the_leader_count_as_well() {
    let mut log = CrashLog::default();
    assert!(log.is_empty());
    log.update_suspects(Suspects {
        suspected: vec![request("a")],
        refused: vec![request("b")],
    });
    assert!(!log.is_empty());
    assert_eq!(log.status(request("a")), QuarantineStatus::Suspected);
    assert_eq!(log.status(request("b")), QuarantineStatus::Refused);
    log.update_suspects(Suspects::default());
    assert!(log.is_empty());
}

#[test]
fn runs_are_reported_until_the_leader_confirms() {
    let mut log = with_crashes(2);
    let first = log.report(NOW + Millis(40)).expect("a report");
    assert_eq!(first.runs.len(), 2);
    assert_eq!(first.runs[0].ago, Millis(40));
    assert_eq!(
        log.report(NOW).map(|again| again.runs),
        Some(log.report(NOW).expect("a report").runs)
    );
    log.confirmed(first.through);
    assert_eq!(log.report(NOW), None);
    log.crashed(request("other"), engine("e7"), NOW);
    assert_eq!(log.report(NOW).expect("a report").runs.len(), 1);
}

#[test]
fn all_runs_are_reported_to_a_new_leader() {
    let mut log = with_crashes(2);
    let through = log.report(NOW).expect("a report").through;
    log.confirmed(through);
    log.on_leader_change(NOW);
    assert_eq!(log.report(NOW).expect("a report").runs.len(), 2);
}

/// A new leader starts without the verdicts that the log does not hold. Each time it is
/// elected, the request would crash more engines.
#[test]
fn the_list_of_the_previous_leader_counts_until_the_new_one_has_caught_up() {
    let mut log = CrashLog::default();
    log.update_suspects(Suspects {
        suspected: vec![request("near")],
        refused: vec![request("bad")],
    });
    log.on_leader_change(NOW);
    log.update_suspects(Suspects::default());
    let _ = log.report(NOW + Millis(2900));
    assert!(!log.is_empty());
    assert_eq!(log.status(request("bad")), QuarantineStatus::Refused);
    assert_eq!(log.status(request("near")), QuarantineStatus::Suspected);
    let _ = log.report(NOW + Millis(3000));
    assert!(log.is_empty());
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
}

/// The gateways that saw the crashes were replaced, and then the leader: only the list at the
/// other gateways still holds the verdict.
#[test]
fn a_verdict_is_reported_to_a_new_leader() {
    let mut log = CrashLog::default();
    log.update_suspects(Suspects {
        suspected: Vec::new(),
        refused: vec![request("bad"), request("other")],
    });
    log.on_leader_change(NOW);
    log.on_leader_change(NOW);
    // A leader that is replaced before it has decided.
    log.update_suspects(Suspects::default());
    log.on_leader_change(NOW);
    let mut tracker = CrashTracker::default();
    for _gateway in 0..2 {
        tracker.apply_report(&log.report(NOW).expect("a report"), NOW);
    }
    let refused = tracker.decide(NOW + Millis(350));
    let mut refused: Vec<_> = refused.iter().map(|verdict| verdict.fingerprint).collect();
    refused.sort();
    let mut expected = [request("bad"), request("other")];
    expected.sort();
    assert_eq!(refused, expected);
    log.update_suspects(Suspects::default());
    log.update(NOW + Millis::from_secs(3));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
}

/// A leader that refuses a request keeps its list across a reconnection of the gateway.
#[test]
fn a_list_that_a_leader_repeats_stays() {
    let mut log = CrashLog::default();
    let list = Suspects {
        suspected: Vec::new(),
        refused: vec![request("bad")],
    };
    log.update_suspects(list.clone());
    log.on_leader_change(NOW);
    log.update_suspects(list);
    let _ = log.report(NOW + Millis::from_secs(60));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Refused);
}

/// A leader of version 11 takes no reports: while no other replica does either, each gateway
/// has only its own crashes.
#[test]
fn fewer_crashes_suffice_while_no_replica_takes_reports() {
    let mut log = with_crashes(2);
    log.on_leader_change(NOW);
    log.set_uses_report_connection(true);
    log.update(NOW + Millis(999));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
    log.update(NOW + Millis(1000));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Refused);
    let through = log.report(NOW + Millis(1000)).expect("a report").through;
    log.confirmed(through);
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
}

#[test]
fn a_replica_has_time_to_confirm_runs_that_are_reported_again() {
    let mut log = with_crashes(2);
    log.set_uses_report_connection(true);
    let later = NOW + Millis::from_secs(60);
    log.on_leader_change(later);
    log.update(later + Millis(999));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
    log.set_uses_report_connection(false);
    log.update(later + Millis(1000));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
}

/// Connections to another replica than the first one are replaced every few seconds.
#[test]
fn a_previous_list_ends_although_receivers_keep_changing() {
    let mut log = CrashLog::default();
    log.update_suspects(Suspects {
        suspected: Vec::new(),
        refused: vec![request("bad")],
    });
    for second in 0..5 {
        let now = NOW + Millis::from_secs(second);
        log.on_leader_change(now);
        log.update_suspects(Suspects::default());
        log.update(now);
    }
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
}

#[test]
fn a_request_beside_another_is_not_refused_while_no_replica_takes_reports() {
    let mut log = with_crashes(2);
    for number in 0..2 {
        log.crashed(request("beside"), engine(&format!("e{number}")), NOW);
    }
    log.on_leader_change(NOW);
    log.set_uses_report_connection(true);
    log.update(NOW + Millis(1000));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Suspected);
    assert_eq!(log.status(request("beside")), QuarantineStatus::Suspected);
}

#[test]
fn many_runs_are_reported_in_batches() {
    let mut log = CrashLog::default();
    for number in 0..300 {
        log.crashed(request(&format!("r{number}")), engine("e1"), NOW);
    }
    let mut reported = 0;
    while let Some(report) = log.report(NOW) {
        reported += report.runs.len();
        log.confirmed(report.through);
    }
    assert_eq!(reported, 300);
}

#[test]
fn a_completed_run_is_reported_and_clears_its_request() {
    let mut log = with_crashes(2);
    log.completed(request("bad"), NOW);
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
    let runs = log.report(NOW).expect("a report").runs;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, RunEnd::Completed);
}

#[test]
fn a_completed_run_of_an_unsuspected_request_is_not_reported() {
    let mut log = with_crashes(1);
    log.completed(request("other"), NOW);
    assert_eq!(log.report(NOW).expect("a report").runs.len(), 1);
}

#[test]
fn old_crashes_are_forgotten() {
    let mut log = with_crashes(3);
    assert_eq!(log.report(NOW + Millis::from_secs(901)), None);
    assert!(log.is_empty());
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
}

/// The replica that took the reports is gone, and none took its place: a fleet that went back to
/// version 11.
#[test]
fn a_verdict_of_a_receiver_that_is_gone_has_an_end() {
    let mut log = CrashLog::default();
    log.set_uses_report_connection(true);
    log.update_suspects(Suspects {
        suspected: vec![request("near")],
        refused: vec![request("bad")],
    });
    // The leader of version 11 is connected anew every 60 s, to offer a later version.
    for minute in 0..=5 * 60 {
        log.on_leader_change(NOW + Millis::from_secs(60 * minute));
        log.update(NOW + Millis::from_secs(60 * minute + 59));
    }
    assert_eq!(log.status(request("bad")), QuarantineStatus::Clear);
    assert_eq!(log.status(request("near")), QuarantineStatus::Clear);
}

/// A second change within the time of the first one: the list between them lacks what neither
/// receiver has decided on again.
#[test]
fn a_previous_list_outlives_a_second_change_of_the_leader() {
    let refused = |path| Suspects {
        suspected: Vec::new(),
        refused: vec![request(path)],
    };
    let mut log = CrashLog::default();
    log.update_suspects(refused("bad"));
    log.on_leader_change(NOW);
    log.update_suspects(refused("other"));
    log.on_leader_change(NOW + Millis(500));
    log.update_suspects(Suspects::default());
    log.update(NOW + Millis(1000));
    assert_eq!(log.status(request("bad")), QuarantineStatus::Refused);
}
