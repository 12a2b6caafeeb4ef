//! The leader's duties towards the platform, in virtual time.

use garnet_consensus::Config;
use garnet_control::{
    Command, Duty, DutyAnswer, DutyCall, DutySettings, Effect, Event, GatewayRequest, Replica,
    ReplicaSettings, UpgradeSettings, UsageReport, WindowCounts,
};
use garnet_types::{EncodingVersion, Millis, ReplicaId, TenantId, UsageWindow};
use rstest::rstest;

use crate::leader::{Leader, encoded};
use crate::level::put;
use crate::usage::report;

const WINDOW: Millis = Millis::from_secs(5);

fn settings(fences_checked: bool) -> ReplicaSettings {
    ReplicaSettings {
        duties: Some(DutySettings {
            fences_checked,
            alternation_window: Millis(3000),
            call_timeout: Millis(1500),
            usage_window: Some(WINDOW),
            buys_engines: false,
        }),
        ..ReplicaSettings::new(Config::new(ReplicaId(1), 1))
    }
}

fn calls(effects: Vec<Effect>) -> Vec<DutyCall> {
    let call = |effect| match effect {
        Effect::CallPlatform(call) => Some(call),
        _ => None,
    };
    effects.into_iter().filter_map(call).collect()
}

fn window_of(call: &DutyCall) -> (u64, &WindowCounts) {
    match &call.duty {
        Duty::Usage { window, counts } => (window.0, counts),
        other => panic!("{other:?} reports no usage"),
    }
}

fn send_usage(leader: &mut Leader, report: UsageReport) {
    let request = GatewayRequest::Usage(report);
    leader.handle_event(Event::Gateway {
        connection: 1,
        request,
    });
}

fn answer(leader: &mut Leader, call: &DutyCall, answer: DutyAnswer) {
    let call = call.clone();
    leader.handle_event(Event::DutyAnswered { call, answer });
}

/// Runs the leader until it makes a call, and returns the call.
fn next_call(leader: &mut Leader) -> DutyCall {
    for _ in 0..2_000 {
        let made = calls(leader.run(Millis(50)));
        if let Some(call) = made.into_iter().next() {
            return call;
        }
    }
    panic!("it never calls");
}

/// The call that reports `window`; all earlier calls are answered.
fn call_for(leader: &mut Leader, window: u64) -> DutyCall {
    loop {
        let call = next_call(leader);
        if window_of(&call).0 >= window {
            return call;
        }
        answer(leader, &call, DutyAnswer::Done);
    }
}

/// A log of tenures that these replicas held before, in this order.
fn held_by(holders: &[u64]) -> Vec<Command> {
    let begin = |id: &u64| Command::BeginTenure(ReplicaId(*id));
    holders.iter().map(begin).collect()
}

#[test]
fn a_window_is_reported_after_its_end_with_its_counts() {
    let mut leader = Leader::elected(settings(true), Vec::new());
    leader.run(Millis(1000));
    let window = leader.now.0 / WINDOW.0;
    send_usage(&mut leader, report("g1", 1, &[(window, "one", 3)]));
    let call = call_for(&mut leader, window);
    let (reported, counts) = window_of(&call);
    assert_eq!(reported, window);
    assert_eq!(counts.get(&TenantId::new("one")), Some(&3));
    let late = leader.now.since(UsageWindow(window).end(WINDOW));
    assert!(
        late < Millis::from_secs(5),
        "reported {} ms after its end",
        late.0
    );
}

/// A failed call is repeated with the same content, even if gateways report more requests
/// in the meantime.
#[rstest]
#[case::unanswered(DutyAnswer::Unknown, true)]
#[case::throttled(DutyAnswer::Throttled, true)]
#[case::refused(DutyAnswer::Refused, false)]
fn a_call_is_repeated_with_the_same_content(#[case] end: DutyAnswer, #[case] same_token: bool) {
    let mut leader = Leader::elected(settings(true), Vec::new());
    leader.run(Millis(1000));
    let window = leader.now.0 / WINDOW.0;
    send_usage(&mut leader, report("g1", 1, &[(window, "one", 3)]));
    let first = call_for(&mut leader, window);
    send_usage(&mut leader, report("g1", 2, &[(window, "one", 9)]));
    answer(&mut leader, &first, end);
    let second = next_call(&mut leader);
    assert_eq!(first.duty, second.duty);
    assert_eq!(first.token == second.token, same_token);
    assert!(second.token >= first.token);
    answer(&mut leader, &second, DutyAnswer::Done);
    let third = next_call(&mut leader);
    assert!(window_of(&third).0 > window, "it is reported once more");
}

/// A call whose end is never reported must not block later calls.
#[test]
fn a_call_that_never_ends_is_repeated() {
    let mut leader = Leader::elected(settings(true), Vec::new());
    let first = next_call(&mut leader);
    let second = next_call(&mut leader);
    assert_eq!(first.duty, second.duty);
}

/// How long a new holder of the duties waits before it begins its tenure.
#[rstest]
#[case::no_predecessor(true, &[], 0)]
#[case::same_holder(false, &[1], 0)]
#[case::other_holder_checked(true, &[2], 0)]
#[case::other_holder_unchecked(false, &[2], 2_000)]
#[case::alternating_checked(true, &[1, 2], 3_500)]
#[case::alternating_unchecked(false, &[1, 2], 3_500)]
#[case::alternating_three(true, &[1, 2, 3], 3_500)]
fn a_new_holder_waits_for_its_predecessor(
    #[case] fences_checked: bool,
    #[case] holders: &[u64],
    #[case] wait_ms: u64,
) {
    let mut leader = Leader::elected(settings(fences_checked), held_by(holders));
    let led_since = leader.now;
    let has_tenure = |leader: &Leader| {
        let current_tenure = leader.replica.state().tenures.current();
        current_tenure.is_some_and(|tenure| tenure.token > holders.len() as u64)
    };
    while !has_tenure(&leader) {
        leader.run(Millis(50));
        assert!(
            leader.now.since(led_since) < Millis::from_secs(10),
            "it never begins"
        );
    }
    let waited = leader.now.since(led_since);
    assert!(waited >= Millis(wait_ms), "{} ms", waited.0);
    assert!(waited < Millis(wait_ms + 500), "{} ms", waited.0);
}

#[test]
fn a_call_is_sent_only_under_the_current_token() {
    let mut leader = Leader::elected(settings(true), Vec::new());
    let call = next_call(&mut leader);
    let may_call =
        |leader: &Leader, call: &DutyCall| Replica::may_call(&leader.replica, call, leader.now);
    assert!(may_call(&leader, &call));
    answer(&mut leader, &call, DutyAnswer::Refused);
    let again = next_call(&mut leader);
    assert!(!may_call(&leader, &call), "the refused token is void");
    assert!(may_call(&leader, &again));
}

#[test]
fn without_duties_nothing_is_logged() {
    let mut leader = Leader::elected(Leader::settings(), Vec::new());
    // The entry that begins the term is committed first.
    leader.run(Millis::from_secs(1));
    let before = leader.replica.node().status().commit_index;
    assert_eq!(calls(leader.run(Millis::from_secs(20))), []);
    assert_eq!(leader.replica.node().status().commit_index, before);
}

/// While builds are replaced the log can't hold counts; the leader has them from the gateways'
/// reports, and gateways repeat them.
#[rstest]
#[case::short(Millis::from_secs(60))]
#[case::default(UpgradeSettings::default().rollback_window)]
fn counts_from_below_the_level_are_reported_when_it_rises(#[case] rollback_window: Millis) {
    let entries = vec![encoded(put(1), EncodingVersion::V11)];
    let mut settings = settings(true);
    settings.upgrade.rollback_window = rollback_window;
    let mut leader = Leader::elected_with_entries(settings, entries);
    let connection = 9;
    leader.handle_event(Event::GatewayOpened {
        connection,
        version: EncodingVersion::V11,
    });
    leader.run(Millis(1000));
    let window = leader.now.0 / WINDOW.0;
    send_usage(&mut leader, report("g1", 1, &[(window, "one", 3)]));
    leader.handle_event(Event::GatewayClosed { connection });
    leader.run(rollback_window);
    let last = leader.now.0 / WINDOW.0;
    let mut reported = 0;
    loop {
        let call = next_call(&mut leader);
        let (window, counts) = window_of(&call);
        reported += counts.get(&TenantId::new("one")).copied().unwrap_or(0);
        if window >= last {
            break;
        }
        answer(&mut leader, &call, DutyAnswer::Done);
    }
    assert_eq!(leader.replica.level(), Some(EncodingVersion::CURRENT));
    assert_eq!(reported, 3);
}
