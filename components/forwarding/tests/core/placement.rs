//! Where work goes.

use garnet_control::BackendRecord;
use garnet_forwarding::{LoadReport, Placement};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, EngineRole, ServiceId};

use crate::fleet::{NOW, forwarder, prompt, record, work};

fn instances() -> Vec<BackendRecord> {
    ["a", "b", "c"]
        .iter()
        .map(|zone| record(&format!("till-{zone}"), "till", zone, None))
        .collect()
}

fn engines() -> Vec<BackendRecord> {
    let roles = [
        ("r-a", "a", EngineRole::Prefill),
        ("r-b", "b", EngineRole::Prefill),
        ("g-a1", "a", EngineRole::Mixed),
        ("g-a2", "a", EngineRole::Mixed),
        ("g-b", "b", EngineRole::Mixed),
    ];
    roles
        .iter()
        .map(|(id, zone, role)| record(id, "words", zone, Some(*role)))
        .collect()
}

fn one(id: &str) -> Option<Placement> {
    Some(Placement::One(BackendId::new(id)))
}

#[test]
fn the_own_zone_takes_application_work_until_it_is_busier() {
    let till = ServiceId::new("till");
    let work = work(WorkKind::Repeatable, None);
    let mut forwarder = forwarder(&instances());
    let place = |forwarder: &mut garnet_forwarding::Forwarder| {
        forwarder.place(&till, &work, &[], false, NOW)
    };
    assert_eq!(place(&mut forwarder), one("till-a"));
    let busy = LoadReport {
        running: 6,
        waiting: 3,
        slots: 6,
    };
    forwarder.told(&BackendId::new("till-a"), busy, NOW);
    assert_ne!(place(&mut forwarder), one("till-a"));
}

#[test]
fn a_back_end_that_failed_lately_is_better_than_none() {
    let till = ServiceId::new("till");
    let work = work(WorkKind::Repeatable, None);
    let mut forwarder = forwarder(&instances()[..1]);
    let only = BackendId::new("till-a");
    for _ in 0..5 {
        forwarder.failed(&only, NOW);
    }
    assert_eq!(forwarder.open_backends(NOW), (0, 1));
    assert_eq!(
        forwarder.place(&till, &work, &[], false, NOW),
        one("till-a")
    );
    forwarder.gone(&only);
    assert_eq!(forwarder.place(&till, &work, &[], false, NOW), None);
}

#[test]
fn a_shared_beginning_is_read_by_one_engine_for_all_gateways() {
    let words = ServiceId::new("words");
    let mut first = forwarder(&engines());
    let mut second = forwarder(&engines());
    for shared in 0..50 {
        let place = |gateway: &mut garnet_forwarding::Forwarder, own| {
            let work = work(WorkKind::Stream, Some(prompt(shared, own, 20_000)));
            gateway.place(&words, &work, &[], true, NOW)
        };
        let placed = place(&mut first, 1);
        assert_eq!(placed, place(&mut second, 2), "shared part {shared}");
        assert!(matches!(placed, Some(Placement::Handover { .. })));
    }
}

#[test]
fn a_prompt_that_is_held_is_not_handed_over() {
    let words = ServiceId::new("words");
    let mut forwarder = forwarder(&engines());
    let held = prompt(7, 1, 400);
    let work = work(WorkKind::Stream, Some(held.clone()));
    for id in ["g-a1", "g-a2", "g-b"] {
        forwarder.holds(&BackendId::new(id), &held, NOW);
    }
    let placed = forwarder.place(&words, &work, &[], true, NOW);
    assert!(matches!(placed, Some(Placement::One(_))), "{placed:?}");
}

#[test]
fn the_generator_is_chosen_when_the_prompt_is_read() {
    let words = ServiceId::new("words");
    let mut all = engines();
    let mut gateway = forwarder(&all);
    let reader = BackendId::new("r-a");
    let first = gateway.place_generator(&words, &reader, &[], NOW);
    let first = first.expect("one in the zone");
    assert!(first.as_str().starts_with("g-a"), "{first}");
    // It begins to leave while the prompt is read.
    for record in &mut all {
        if record.registration.id == first {
            record.machine = garnet_types::MachineState::Leaving;
        }
    }
    let mut later = forwarder(&all);
    let second = later.place_generator(&words, &reader, &[], NOW);
    let second = second.expect("the other one in the zone");
    assert!(second.as_str().starts_with("g-a") && second != first);
}

#[test]
fn a_queue_elsewhere_sends_a_beginning_to_its_second_owner() {
    let words = ServiceId::new("words");
    let work = work(WorkKind::Stream, Some(prompt(7, 1, 20_000)));
    let mut gateway = forwarder(&engines());
    let Some(Placement::Handover { reader }) = gateway.place(&words, &work, &[], true, NOW) else {
        panic!("a long prompt is handed over");
    };
    let backlog = garnet_control::Backlog {
        backend: reader.clone(),
        requests: 9,
        unread_tokens: 90_000,
        held_tokens: 90_000,
    };
    gateway.heard_of_others(&[backlog], NOW);
    let placed = gateway.place(&words, &work, &[], true, NOW);
    assert_ne!(placed, Some(Placement::Handover { reader }));
}

#[test]
fn short_prompts_come_before_long_ones_of_the_same_route_only() {
    let rank = |priority, tokens| {
        let mut work = work(WorkKind::Stream, Some(prompt(1, 2, tokens)));
        work.priority = priority;
        work.rank()
    };
    assert!(rank(1, 500) < rank(1, 9_000));
    assert!(rank(1, 9_000) < rank(1, 40_000));
    assert!(rank(1, 40_000) < rank(2, 500));
    assert_eq!(rank(255, 40_000), 255);
}
