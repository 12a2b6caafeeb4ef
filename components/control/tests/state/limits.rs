//! Limits that engines report: how the leader collects them and sends them to gateways.

use garnet_control::{ControlReply, Event, GatewayRequest, LimitUpdate, MachineEntry};
use garnet_limits::{LimitReport, LimitReports, PermitOutcome, PermitRequest};
use garnet_types::{BackendId, EncodingVersion, GatewayId, MachineState, Millis};

use crate::leader::Leader;
use crate::level::leader_after_version_11;
use crate::machine_list::{entry, leader, list};

/// A leader of engines 1 to 3, each with its number as its start.
fn with_engines() -> Leader {
    let mut leader = leader();
    leader.handle_event(Event::Machines(list(4)));
    leader.run(Millis(200));
    leader
}

fn engine(number: u64) -> BackendId {
    BackendId::new(format!("engine-{number}"))
}

/// The limits that a gateway receives with the answer to its watch.
fn watch(leader: &mut Leader, gateway: &str, connection: u64) -> Option<LimitUpdate> {
    let request = leader.watch_request(gateway, 0);
    let limits = |reply| match reply {
        ControlReply::Limits(limits) => Some(limits),
        _ => None,
    };
    let mut replies = leader.replies(connection, request).into_iter();
    replies.find_map(limits)
}

fn send_report(
    leader: &mut Leader,
    gateway: &str,
    number: u64,
    engine_number: u64,
    start: u64,
    rate: Option<&str>,
) {
    let report = LimitReport {
        backend: engine(engine_number),
        start,
        rate: rate.map(|rate| rate.parse().expect("a rate")),
        ago: Millis::ZERO,
    };
    let reports = LimitReports {
        number,
        reports: vec![report],
    };
    let gateway = GatewayId::new(gateway);
    let request = GatewayRequest::LimitReports { gateway, reports };
    assert_eq!(leader.replies(1, request), []);
}

fn is_granted(leader: &mut Leader, engine_number: u64) -> bool {
    let ask = PermitRequest {
        number: 9,
        backends: vec![engine(engine_number)],
        priority: 0,
    };
    match leader.replies(1, GatewayRequest::Permit(ask)).as_slice() {
        [ControlReply::Permit(answer)] => {
            assert_eq!(answer.number, 9);
            matches!(answer.outcome, PermitOutcome::Granted { .. })
        }
        other => panic!("{other:?}"),
    }
}

fn listed(limits: Option<LimitUpdate>) -> Vec<(String, String)> {
    let limits = limits.expect("an update");
    let limits = limits.limits.iter();
    limits
        .map(|listed| (listed.backend.to_string(), listed.rate.to_string()))
        .collect()
}

#[test]
fn a_limit_reported_by_one_gateway_is_sent_to_all_once() {
    let mut leader = with_engines();
    assert_eq!(listed(watch(&mut leader, "g1", 1)), []);
    assert_eq!(listed(watch(&mut leader, "g2", 2)), []);
    send_report(&mut leader, "g1", 7, 1, 1, Some("1.5"));
    leader.run(Millis(100));
    let expected = [("engine-1".to_owned(), "1.5".to_owned())];
    assert_eq!(listed(watch(&mut leader, "g2", 2)), expected);
    assert_eq!(watch(&mut leader, "g2", 2), None);
    let own = watch(&mut leader, "g1", 1).expect("an update");
    assert_eq!(own.reports_taken, 7);
    // On another connection the gateway may not have the list.
    assert_eq!(listed(watch(&mut leader, "g2", 3)), expected);
    assert_eq!(leader.replica.limited_backends(), 1);
}

#[test]
fn permits_are_granted_at_the_rate() {
    let mut leader = with_engines();
    send_report(&mut leader, "g1", 1, 1, 1, Some("10"));
    let mut granted = 0;
    for _ in 0..100 {
        leader.run(Millis(50));
        granted += usize::from(is_granted(&mut leader, 1));
    }
    assert!((48..=51).contains(&granted), "{granted}");
}

/// Reports about an earlier start can arrive late, and must not limit a back end that has
/// restarted and reported nothing yet.
#[test]
fn a_limit_does_not_apply_to_another_start() {
    let mut leader = with_engines();
    send_report(&mut leader, "g1", 1, 1, 77, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 0);
    send_report(&mut leader, "g1", 2, 1, 1, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 1);
    let restarted_entry = |number: usize| {
        let mut entry = entry(number, MachineState::Live);
        if number == 1 {
            entry.observed = entry
                .observed
                .map(|seen| garnet_control::EngineObservation {
                    incarnation: 78,
                    ..seen
                });
        }
        entry
    };
    let list: Vec<MachineEntry> = (0..4).map(restarted_entry).collect();
    leader.handle_event(Event::Machines(list));
    assert_eq!(leader.replica.limited_backends(), 0);
}

#[test]
fn a_limit_of_an_unknown_back_end_is_ignored() {
    let mut leader = with_engines();
    send_report(&mut leader, "g1", 1, 9, 9, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 0);
}

/// A new leader has no limits and grants no permits until it receives a report.
#[test]
fn a_new_leader_grants_nothing_before_it_receives_a_limit() {
    let mut leader = with_engines();
    assert!(!is_granted(&mut leader, 1));
    send_report(&mut leader, "g1", 1, 1, 1, Some("2"));
    assert!(!is_granted(&mut leader, 1));
    leader.run(Millis(500));
    assert!(is_granted(&mut leader, 1));
}

/// The data sent to a gateway over time is bounded: if many engines report limits one after
/// the other, the gateway receives the first ones at once and later ones together.
#[test]
fn many_limits_are_sent_together() {
    let mut leader = leader();
    leader.handle_event(Event::Machines(list(600)));
    leader.run(Millis(500));
    let mut bytes = 0;
    for number in 1..600 {
        send_report(&mut leader, "g1", number, number, number, Some("1"));
        leader.run(Millis(50));
        if let Some(limits) = watch(&mut leader, "g2", 2) {
            let encoded = bincode::serde::encode_to_vec(&limits, bincode::config::standard());
            bytes += encoded.expect("plain data").len();
        }
    }
    let allowed = 4 * 600 * 50 + 16 * 1024;
    assert!(bytes <= allowed, "{bytes} of {allowed} in 30 s");
}

/// Limits and permits are not in the log, so a log of version 11 does not hinder them.
#[test]
fn limits_and_permits_apply_below_the_level() {
    let mut leader = leader_after_version_11();
    leader.handle_event(Event::Machines(list(4)));
    leader.run(Millis(500));
    send_report(&mut leader, "g1", 1, 1, 1, Some("10"));
    assert_eq!(leader.replica.level(), Some(EncodingVersion::V11));
    assert_eq!(listed(watch(&mut leader, "g2", 2)).len(), 1);
    leader.run(Millis(500));
    assert!(is_granted(&mut leader, 1));
}

/// A log of version 11 holds the starts of engines, if not those of applications.
#[test]
fn a_limit_of_an_earlier_start_is_not_taken_below_the_level() {
    let mut leader = leader_after_version_11();
    leader.handle_event(Event::Machines(list(4)));
    leader.run(Millis(500));
    send_report(&mut leader, "g1", 1, 1, 77, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 0);
}
