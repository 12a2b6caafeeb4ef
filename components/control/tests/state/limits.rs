//! Engines that name a limit, as the leader hears and tells of it.

use garnet_control::{ControlReply, Event, GatewayRequest, LimitUpdate, MachineEntry};
use garnet_limits::{LimitReport, LimitReports, PermitOutcome, PermitRequest};
use garnet_types::{BackendId, GatewayId, MachineState, Millis};

use crate::leader::Leader;
use crate::machine_list::{entry, leader, list};

/// A leader of engines 1 to 3; the number of each is its start as well.
fn with_engines() -> Leader {
    let mut leader = leader();
    leader.take(Event::Machines(list(4)));
    leader.run(Millis(200));
    leader
}

fn engine(number: u64) -> BackendId {
    BackendId::new(format!("engine-{number}"))
}

/// What a gateway hears of limits with the answer to its watch.
fn watch(leader: &mut Leader, gateway: &str, connection: u64) -> Option<LimitUpdate> {
    let request = leader.watch_of(gateway, 0);
    let limits = |reply| match reply {
        ControlReply::Limits(limits) => Some(limits),
        _ => None,
    };
    let mut replies = leader.replies(connection, request).into_iter();
    replies.find_map(limits)
}

fn tell(leader: &mut Leader, gateway: &str, number: u64, of: u64, start: u64, rate: Option<&str>) {
    let report = LimitReport {
        backend: engine(of),
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

fn is_granted(leader: &mut Leader, of: u64) -> bool {
    let ask = PermitRequest {
        number: 9,
        backends: vec![engine(of)],
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

fn told(limits: Option<LimitUpdate>) -> Vec<(String, String)> {
    let limits = limits.expect("news");
    let limits = limits.limits.iter();
    limits
        .map(|told| (told.backend.to_string(), told.rate.to_string()))
        .collect()
}

#[test]
fn what_one_gateway_heard_all_are_told_once() {
    let mut leader = with_engines();
    assert_eq!(told(watch(&mut leader, "g1", 1)), []);
    assert_eq!(told(watch(&mut leader, "g2", 2)), []);
    tell(&mut leader, "g1", 7, 1, 1, Some("1.5"));
    leader.run(Millis(100));
    let expected = [("engine-1".to_owned(), "1.5".to_owned())];
    assert_eq!(told(watch(&mut leader, "g2", 2)), expected);
    assert_eq!(watch(&mut leader, "g2", 2), None);
    let own = watch(&mut leader, "g1", 1).expect("news");
    assert_eq!(own.reports_taken, 7);
    // On another connection it may not know.
    assert_eq!(told(watch(&mut leader, "g2", 3)), expected);
    assert_eq!(leader.replica.limited_backends(), 1);
}

#[test]
fn permits_come_at_the_rate() {
    let mut leader = with_engines();
    tell(&mut leader, "g1", 1, 1, 1, Some("10"));
    let mut granted = 0;
    for _ in 0..100 {
        leader.run(Millis(50));
        granted += usize::from(is_granted(&mut leader, 1));
    }
    assert!((48..=51).contains(&granted), "{granted}");
}

/// Words of an earlier start come late, and one that has started again has said
/// nothing yet.
#[test]
fn another_start_has_no_limit() {
    let mut leader = with_engines();
    tell(&mut leader, "g1", 1, 1, 77, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 0);
    tell(&mut leader, "g1", 2, 1, 1, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 1);
    let again = |number: usize| {
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
    let list: Vec<MachineEntry> = (0..4).map(again).collect();
    leader.take(Event::Machines(list));
    assert_eq!(leader.replica.limited_backends(), 0);
}

#[test]
fn what_is_no_back_end_has_no_limit() {
    let mut leader = with_engines();
    tell(&mut leader, "g1", 1, 9, 9, Some("1"));
    assert_eq!(leader.replica.limited_backends(), 0);
}

/// A leader that begins anew knows nothing and gives nothing, until it is told.
#[test]
fn a_new_leader_gives_nothing_before_it_is_told() {
    let mut leader = with_engines();
    assert!(!is_granted(&mut leader, 1));
    tell(&mut leader, "g1", 1, 1, 1, Some("2"));
    assert!(!is_granted(&mut leader, 1));
    leader.run(Millis(500));
    assert!(is_granted(&mut leader, 1));
}

/// What is told to a gateway in a while is bounded: of many engines that name limits
/// one after the other it hears at once, then together.
#[test]
fn many_limits_are_told_together() {
    let mut leader = leader();
    leader.take(Event::Machines(list(600)));
    leader.run(Millis(500));
    let mut bytes = 0;
    for number in 1..600 {
        tell(&mut leader, "g1", number, number, number, Some("1"));
        leader.run(Millis(50));
        if let Some(limits) = watch(&mut leader, "g2", 2) {
            let encoded = bincode::serde::encode_to_vec(&limits, bincode::config::standard());
            bytes += encoded.expect("plain data").len();
        }
    }
    let allowed = 4 * 600 * 50 + 16 * 1024;
    assert!(bytes <= allowed, "{bytes} of {allowed} in 30 s");
}
