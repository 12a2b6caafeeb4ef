//! Placement while back ends are in backoff or draining.

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

/// Whether any of many requests is placed at the back end, in any phase.
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
    // A single gateway spreads the end by 2 ms at most.
    let end = END + Millis(2);
    assert!(gateway.may_send(&id(name), end) && is_used(&mut gateway, name, end));
}

/// Neither the success of a request that was sent before nor failures elsewhere end a
/// backoff.
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

/// An engine that has restarted under its name has requested no backoff yet.
#[test]
fn a_restarted_engine_is_in_no_backoff() {
    let records = engines();
    let mut gateway = forwarder(&records);
    gateway.note_backoff(&id("d-1"), BACKOFF, NOW);
    let mut restarted = records.clone();
    restarted[0].observed = restarted[0].observed.clone().map(|seen| EngineObservation {
        incarnation: 2,
        ..seen
    });
    let updated = configuration(6, table(1, &[("till", 1)]), &restarted);
    gateway.update(WatchUpdate::Snapshot(updated.into()));
    assert!(gateway.may_send(&id("d-1"), NOW));
}

/// The records, with the first back end at this start.
fn at_start(records: &[BackendRecord], start: u64) -> Vec<BackendRecord> {
    let mut records = records.to_vec();
    let first = &mut records[0];
    match &mut first.observed {
        Some(seen) => seen.incarnation = start,
        None => first.registration.start = start,
    }
    records
}

/// A backoff, draining, and another back end at the address are all state of one start of
/// an engine or application.
#[rstest]
#[case::application(instances(), "till-a")]
#[case::engine(engines(), "d-1")]
fn a_restarted_back_end_has_no_earlier_state(
    #[case] records: Vec<BackendRecord>,
    #[case] name: &str,
) {
    let mut gateway = forwarder(&at_start(&records, 7));
    gateway.note_backoff(&id(name), BACKOFF, NOW);
    gateway.gone(&id(name));
    gateway.note_draining(&id(name), NOW);
    let update = |gateway: &mut Forwarder, index, start| {
        let records = at_start(&records, start);
        let updated = configuration(index, table(1, &[("till", 1)]), &records);
        gateway.update(WatchUpdate::Snapshot(updated.into()));
        gateway.may_send(&id(name), NOW)
    };
    assert!(!update(&mut gateway, 6, 7));
    assert!(
        !update(&mut gateway, 7, garnet_control::UNKNOWN_START),
        "an unknown start is no restart"
    );
    assert!(!update(&mut gateway, 8, 7));
    assert!(update(&mut gateway, 9, 8));
}

/// A configuration that changes something else does not end a backoff.
#[test]
fn an_unrelated_configuration_change_ends_no_backoff() {
    let records = instances();
    let mut gateway = forwarder(&records);
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    let updated = configuration(6, table(2, &[("till", 1)]), &records);
    gateway.update(WatchUpdate::Snapshot(updated.into()));
    assert!(!gateway.may_send(&id("till-a"), NOW));
}

#[test]
fn requests_resume_gradually_after_a_backoff() {
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
fn callers_retry_after_the_first_backoff_ends() {
    let mut gateway = forwarder(&instances());
    gateway.note_backoff(&id("till-a"), BACKOFF, NOW);
    assert_eq!(gateway.all_in_backoff(&till(), &call(), NOW), None);
    let long = RetryAfter::new(Millis(9_000));
    gateway.note_backoff(&id("till-b"), long, NOW);
    let retry_times: Vec<u64> = (0..100)
        .filter_map(|_| gateway.all_in_backoff(&till(), &call(), NOW))
        .map(|time| time.0)
        .collect();
    assert_eq!(retry_times.len(), 100);
    // Spread over the objective, which is half a second here.
    assert!(retry_times.iter().all(|time| (3_000..3_510).contains(time)));
    let early = retry_times.iter().filter(|time| **time < 3_250).count();
    assert!(
        (40..=60).contains(&early),
        "{early} of 100 in the first half"
    );
}

/// A stream can't be served while all decode engines are in backoff, even if prefill
/// engines are free; its prompt is not prefilled.
#[test]
fn no_prompt_is_prefilled_without_a_decode_engine() {
    let mut gateway = forwarder(&engines());
    gateway.note_backoff(&id("d-1"), BACKOFF, NOW);
    gateway.note_backoff(&id("d-2"), BACKOFF, NOW);
    assert_eq!(gateway.place(&words(), &stream(1), &[], true, NOW), None);
    let retry_time = gateway
        .all_in_backoff(&words(), &stream(1), NOW)
        .expect("a time");
    assert!(retry_time >= BACKOFF.span(), "{retry_time:?}");
    // If the prefill engines are in backoff, mixed engines do the whole work.
    let mut gateway = forwarder(&engines());
    gateway.note_backoff(&id("p-1"), BACKOFF, NOW);
    gateway.note_backoff(&id("p-2"), BACKOFF, NOW);
    let placed = gateway.place(&words(), &stream(1), &[], true, NOW);
    assert!(matches!(placed, Some(Placement::One(_))), "{placed:?}");
    assert_eq!(gateway.all_in_backoff(&words(), &stream(1), NOW), None);
}

/// While a back end is in backoff, no permit for it is requested or used.
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

/// Admission counts decode slots only at engines that are not in backoff.
#[test]
fn admission_counts_no_slot_at_an_engine_in_backoff() {
    let records = engines();
    let admission = |in_backoff: &[&str]| {
        let mut gateway = gateway_of(&records, 1, 0);
        for name in in_backoff {
            gateway.note_backoff(&id(name), BACKOFF, NOW);
        }
        let in_flight = prompt(1, 1_001, 20_000);
        for _ in 0..200 {
            gateway.sent_for_decode(&id("d-1"), &in_flight, 1, NOW);
            // Each slot is held for a second.
            gateway.note_slot_time(&id("d-1"), &in_flight, Millis(1_000));
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

/// Gateways that receive a backoff at the same moment don't all resume at the same
/// moment; the spread is at most a quarter of the backoff.
#[test]
fn the_backoff_ends_of_many_gateways_are_spread() {
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

/// The configuration may still list the back end as in service, and other answers may not
/// report draining.
#[rstest]
fn a_draining_back_end_gets_nothing(#[values("till-a", "d-1", "p-1")] name: &str) {
    let records = all();
    let mut gateway = forwarder(&records);
    assert!(gateway.note_draining(&id(name), NOW));
    assert!(
        !gateway.note_draining(&id(name), NOW),
        "it was already draining"
    );
    gateway.succeeded(&id(name));
    let updated = configuration(6, table(2, &[("till", 1)]), &records);
    gateway.update(WatchUpdate::Snapshot(updated.into()));
    for late in [Millis::ZERO, Millis(3_000), Millis(60_000)] {
        assert!(!is_used(&mut gateway, name, NOW + late));
        assert!(!gateway.may_send(&id(name), NOW + late));
        assert!(!gateway.is_available(&id(name), NOW + late));
    }
}

/// No caller is told to wait for the backoff of an engine that leaves.
#[test]
fn a_draining_back_end_is_not_waited_for() {
    let mut gateway = forwarder(&instances());
    for name in ["till-a", "till-b"] {
        gateway.note_backoff(&id(name), BACKOFF, NOW);
        gateway.note_draining(&id(name), NOW);
    }
    assert_eq!(gateway.all_in_backoff(&till(), &call(), NOW), None);
}

/// If starts are not reported, a back end that drained long ago is assumed to have
/// restarted.
#[test]
fn draining_expires() {
    let mut gateway = forwarder(&instances());
    gateway.note_draining(&id("till-a"), NOW);
    assert!(gateway.may_send(&id("till-a"), NOW + Millis::from_secs(301)));
}
