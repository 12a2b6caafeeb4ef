//! Back ends that request a backoff or report draining: who is sent there, and who isn't.

use garnet_control::{BackendRecord, EngineObservation, WatchUpdate};
use garnet_forwarding::{
    Admission, Arrival, Forwarder, Placement, Probe, ReportedLimit, RetryAfter, Work,
};
use garnet_limits::PermitLookup;
use garnet_routes::WorkKind;
use garnet_types::{EngineRole, Millis, ServiceId};
use rstest::rstest;

use crate::fleet::{
    NOW, configuration, engines_named, forwarder, gateway_of, id, instances, prompt, table, work,
};

const BACKOFF: RetryAfter = RetryAfter::new(Millis(3_000));
const END: Millis = Millis(NOW.0 + 3_000);

fn till() -> ServiceId {
    ServiceId::new("till")
}

fn words() -> ServiceId {
    ServiceId::new("words")
}

fn engines() -> Vec<BackendRecord> {
    engines_named(&[
        ("d-1", EngineRole::Mixed),
        ("d-2", EngineRole::Mixed),
        ("p-1", EngineRole::Prefill),
        ("p-2", EngineRole::Prefill),
    ])
}

fn call() -> Work {
    work(WorkKind::Repeatable, None)
}

fn stream(number: u64) -> Work {
    work(
        WorkKind::Stream,
        Some(prompt(number, 1_000 + number, 20_000)),
    )
}

/// Whether any of many requests is placed at the back end, in whatever phase.
fn is_used(gateway: &mut Forwarder, name: &str, now: Millis) -> bool {
    let name = id(name);
    (0..50).any(|number| {
        let calls = gateway.place(&till(), &call(), &[], true, now);
        let streams = gateway.place(&words(), &stream(number), &[], true, now);
        let decode = gateway.place_decode(&words(), &id("p-2"), &[], now);
        let named = |placement: Placement| match placement {
            Placement::One(one) => one == name,
            Placement::Handover {
                prefill_engine,
                copy_from,
            } => prefill_engine == name || copy_from == Some(name.clone()),
        };
        calls.is_some_and(named) || streams.is_some_and(named) || decode == Some(name.clone())
    })
}

fn all() -> Vec<BackendRecord> {
    instances().into_iter().chain(engines()).collect()
}

#[rstest]
fn a_back_end_in_backoff_gets_nothing_until_its_end(#[values("till-a", "d-1", "p-1")] name: &str) {
    let mut gateway = forwarder(&all());
    assert!(is_used(&mut gateway, name, NOW));
    gateway.note_backoff(&id(name), BACKOFF, NOW);
    let last = END - Millis(1);
    assert!(!is_used(&mut gateway, name, NOW) && !is_used(&mut gateway, name, last));
    assert!(!gateway.may_send(&id(name), last) && !gateway.is_available(&id(name), last));
    // One gateway alone spreads the end by 2 ms at most.
    let end = END + Millis(2);
    assert!(gateway.may_send(&id(name), end) && is_used(&mut gateway, name, end));
}

/// Neither a success of a request that was sent before nor failures elsewhere end it.
#[test]
fn no_other_answer_ends_a_backoff() {
    let mut gateway = forwarder(&instances());
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    gateway.succeeded(&id("till-a"));
    for _ in 0..9 {
        gateway.failed(&id("till-b"), NOW);
    }
    assert!(!gateway.may_send(&id("till-a"), NOW));
    let placed = gateway.place(&till(), &call(), &[], false, NOW);
    assert_eq!(
        placed,
        Some(Placement::One(id("till-b"))),
        "the last resort"
    );
    assert_eq!(
        gateway.place(&till(), &call(), &[id("till-b")], false, NOW),
        None
    );
}

/// An engine that has started again under its name has requested nothing yet.
#[test]
fn another_start_is_in_no_backoff() {
    let records = engines();
    let mut gateway = forwarder(&records);
    gateway.note_backoff(&id("d-1"), BACKOFF, NOW);
    let mut again = records.clone();
    again[0].observed = again[0].observed.clone().map(|seen| EngineObservation {
        incarnation: 2,
        ..seen
    });
    let anew = configuration(6, table(1, &[("till", 1)]), &again);
    gateway.update(WatchUpdate::Snapshot(anew.into()));
    assert!(gateway.may_send(&id("d-1"), NOW));
}

/// Records in which the first back end is at this start.
fn at_start(records: &[BackendRecord], start: u64) -> Vec<BackendRecord> {
    let mut records = records.to_vec();
    let first = &mut records[0];
    match &mut first.observed {
        Some(seen) => seen.incarnation = start,
        None => first.registration.start = start,
    }
    records
}

/// Whatever was learned of an engine or an application is of its start: in a backoff, or
/// not the one that was meant at its address.
#[rstest]
#[case::application(instances(), "till-a")]
#[case::engine(engines(), "d-1")]
fn another_start_is_taken_for_another_back_end(
    #[case] records: Vec<BackendRecord>,
    #[case] name: &str,
) {
    let mut gateway = forwarder(&at_start(&records, 7));
    gateway.note_backoff(&id(name), BACKOFF, NOW);
    gateway.gone(&id(name));
    gateway.note_draining(&id(name), NOW);
    let update = |gateway: &mut Forwarder, index, start| {
        let records = at_start(&records, start);
        let anew = configuration(index, table(1, &[("till", 1)]), &records);
        gateway.update(WatchUpdate::Snapshot(anew.into()));
        gateway.may_send(&id(name), NOW)
    };
    assert!(!update(&mut gateway, 6, 7));
    assert!(
        !update(&mut gateway, 7, garnet_control::UNTOLD_START),
        "nothing is told"
    );
    assert!(!update(&mut gateway, 8, 7));
    assert!(update(&mut gateway, 9, 8));
}

/// A configuration that changes something else ends no backoff.
#[test]
fn a_configuration_ends_no_backoff() {
    let records = instances();
    let mut gateway = forwarder(&records);
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    let anew = configuration(6, table(2, &[("till", 1)]), &records);
    gateway.update(WatchUpdate::Snapshot(anew.into()));
    assert!(!gateway.may_send(&id("till-a"), NOW));
}

#[test]
fn after_a_backoff_requests_come_back_one_after_the_other() {
    let mut gateway = forwarder(&instances());
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    let end = END + Millis(2);
    let send = |gateway: &mut Forwarder| -> Option<Probe> {
        let may_send = gateway.may_send(&id("till-a"), end);
        may_send.then(|| gateway.begin_probe(&id("till-a"), end))?
    };
    let first = send(&mut gateway).expect("the first one");
    assert!(send(&mut gateway).is_none());
    assert!(
        gateway.is_available(&id("till-a"), end),
        "the first one may leave"
    );
    gateway.probe_accepted(&id("till-a"), first);
    let second = send(&mut gateway);
    assert!(second.is_some() && send(&mut gateway).is_some() && send(&mut gateway).is_none());
    gateway.probe_released(&id("till-a"), second.expect("it was sent"));
    assert!(send(&mut gateway).is_some());
}

#[test]
fn where_all_are_in_backoff_the_first_end_is_told() {
    let mut gateway = forwarder(&instances());
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    assert_eq!(gateway.all_in_backoff(&till(), &call(), NOW), None);
    let long = RetryAfter::new(Millis(9_000));
    gateway.note_backoff(&id("till-b"), long, NOW);
    let told: Vec<u64> = (0..100)
        .filter_map(|_| gateway.all_in_backoff(&till(), &call(), NOW))
        .map(|told| told.0)
        .collect();
    assert_eq!(told.len(), 100);
    // Spread over the objective, half a second here.
    assert!(told.iter().all(|told| (3_000..3_510).contains(told)));
    let early = told.iter().filter(|told| **told < 3_250).count();
    assert!(
        (40..=60).contains(&early),
        "{early} of 100 in the first half"
    );
}

/// A stream can't be served where all that generate are in backoff, whoever reads
/// prompts; none is read for it.
#[test]
fn no_prompt_is_read_where_nobody_can_generate() {
    let mut gateway = forwarder(&engines());
    gateway.note_backoff(&id("d-1"), BACKOFF, NOW);
    gateway.note_backoff(&id("d-2"), BACKOFF, NOW);
    assert_eq!(gateway.place(&words(), &stream(1), &[], true, NOW), None);
    let told = gateway
        .all_in_backoff(&words(), &stream(1), NOW)
        .expect("a time");
    assert!(told >= BACKOFF.span(), "{told:?}");
    // Prefill engines in backoff leave the work to engines that do all of it.
    let mut gateway = forwarder(&engines());
    gateway.note_backoff(&id("p-1"), BACKOFF, NOW);
    gateway.note_backoff(&id("p-2"), BACKOFF, NOW);
    let placed = gateway.place(&words(), &stream(1), &[], true, NOW);
    assert!(matches!(placed, Some(Placement::One(_))), "{placed:?}");
    assert_eq!(gateway.all_in_backoff(&words(), &stream(1), NOW), None);
}

/// No permit is asked for, and none is used, while its back end is in backoff.
#[test]
fn a_backoff_comes_before_a_permit() {
    let mut gateway = forwarder(&instances()[..1]);
    let rate = "5".parse().expect("a rate");
    gateway.note_limit(&id("till-a"), ReportedLimit::Limited(rate), NOW, NOW);
    let ask = |gateway: &mut Forwarder| gateway.ask_for_permit(&till(), &call(), &[], NOW);
    assert!(matches!(ask(&mut gateway), PermitLookup::AskLeader(_)));
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    assert_eq!(ask(&mut gateway), PermitLookup::Unlimited);
    assert!(gateway.all_in_backoff(&till(), &call(), NOW).is_some());
}

/// Places at engines in backoff are none: admission counts on the others only.
#[test]
fn admission_counts_no_place_at_an_engine_in_backoff() {
    let records = engines();
    let admission = |rests: &[&str]| {
        let mut gateway = gateway_of(&records, 1, 0);
        for name in rests {
            gateway.note_backoff(&id(name), BACKOFF, NOW);
        }
        let underway = prompt(1, 1_001, 20_000);
        for _ in 0..200 {
            gateway.sent_for_decode(&id("d-1"), &underway, 1, NOW);
            // Each place is kept for a second.
            gateway.note_slot_time(&id("d-1"), &underway, Millis(1_000));
        }
        let arrival = Arrival {
            waited: Millis::ZERO,
            remaining: Millis(2_000),
            deadline: Millis(2_000),
            is_retry: false,
        };
        let placed = gateway.place_new(&words(), &stream(2), &arrival, NOW);
        placed.map(|(_, admission)| admission)
    };
    assert_eq!(admission(&[]), Some(Admission::Admit));
    let refused = admission(&["d-2"]);
    assert!(
        matches!(refused, Some(Admission::Refuse { .. })),
        "{refused:?}"
    );
}

/// Gateways that were asked at the same moment don't all come back at the same moment;
/// the spread is a fourth of the backoff at most.
#[test]
fn the_ends_of_many_gateways_are_spread() {
    let ends: Vec<u64> = (0..400)
        .map(|number| {
            let mut gateway = gateway_of(&engines(), 400, number);
            gateway.note_backoff(&id("d-1"), BACKOFF, NOW);
            let remaining = gateway.backoff_remaining(&id("d-1"), NOW);
            remaining.expect("a backoff").0
        })
        .collect();
    assert!(ends.iter().all(|end| (3_000..=3_750).contains(end)));
    let in_any_50_ms = (3_000_u64..3_750).map(|from| {
        let window = from..from + 50;
        ends.iter().filter(|end| window.contains(*end)).count()
    });
    assert!(in_any_50_ms.max() <= Some(60));
}

/// The list may go on to have it in service, and other answers may say nothing.
#[rstest]
fn a_back_end_that_drains_gets_nothing(#[values("till-a", "d-1", "p-1")] name: &str) {
    let records = all();
    let mut gateway = forwarder(&records);
    assert!(gateway.note_draining(&id(name), NOW));
    assert!(!gateway.note_draining(&id(name), NOW), "no news");
    gateway.succeeded(&id(name));
    let anew = configuration(6, table(2, &[("till", 1)]), &records);
    gateway.update(WatchUpdate::Snapshot(anew.into()));
    for late in [Millis::ZERO, Millis(3_000), Millis(60_000)] {
        assert!(!is_used(&mut gateway, name, NOW + late));
        assert!(!gateway.may_send(&id(name), NOW + late));
        assert!(!gateway.is_available(&id(name), NOW + late));
    }
}

/// Nobody is told to wait for the end of a backoff of an engine that leaves.
#[test]
fn a_draining_back_end_is_not_waited_for() {
    let mut gateway = forwarder(&instances());
    for name in ["till-a", "till-b"] {
        gateway.note_backoff(&id(name), BACKOFF, NOW);
        gateway.note_draining(&id(name), NOW);
    }
    assert_eq!(gateway.all_in_backoff(&till(), &call(), NOW), None);
}

/// Where starts are not told, a back end that drained long ago has started again.
#[test]
fn draining_does_not_last_for_ever() {
    let mut gateway = forwarder(&instances());
    gateway.note_draining(&id("till-a"), NOW);
    assert!(gateway.may_send(&id("till-a"), NOW + Millis::from_secs(301)));
}
