//! Placement of requests.

use garnet_control::{BackendRecord, Backlog, PriorityCounts, PromptCopy};
use garnet_forwarding::{Forwarder, LoadReport, Placement, Prompt};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, EngineRole, Millis, PrefixId, ServiceId};
use rstest::rstest;

use crate::fleet::{NOW, forwarder, id, prompt, receive_digest, record, work};

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

fn prefill_engine_of(placement: Option<Placement>) -> BackendId {
    match placement {
        Some(Placement::Handover { prefill_engine, .. }) => prefill_engine,
        other => panic!("a long prompt is handed over: {other:?}"),
    }
}

fn copy(prefix: PrefixId, backend: &BackendId) -> PromptCopy {
    PromptCopy {
        prefix,
        backend: backend.clone(),
    }
}

/// The prefill engine, and the engine that it copies from.
fn prefill(
    gateway: &mut Forwarder,
    prompt: Prompt,
    tried: &[BackendId],
) -> (BackendId, Option<BackendId>) {
    let work = work(WorkKind::Stream, Some(prompt));
    match gateway.place(&ServiceId::new("words"), &work, tried, true, NOW) {
        Some(Placement::Handover {
            prefill_engine,
            copy_from,
        }) => (prefill_engine, copy_from),
        other => panic!("a long prompt is handed over: {other:?}"),
    }
}

#[test]
fn an_owner_copies_a_missing_prefix_from_a_reported_holder() {
    let mut gateway = forwarder(&engines());
    let asked = prompt(7, 1, 20_000);
    let (owner, nowhere) = prefill(&mut gateway, asked.clone(), &[]);
    assert_eq!(nowhere, None);
    let holder = BackendId::new("g-b");
    gateway.note_copies(&[copy(asked.shared_prefix(), &holder)], NOW);
    let (prefill_engine, from) = prefill(&mut gateway, asked.clone(), &[]);
    assert_eq!(
        (prefill_engine, from.as_ref()),
        (owner.clone(), Some(&holder))
    );
    // The second owner copies it as well if the first one failed.
    let (second, from) = prefill(&mut gateway, asked.clone(), std::slice::from_ref(&owner));
    assert_ne!(second, owner);
    assert_eq!(from, Some(holder.clone()));
    // An owner that holds the prefix itself copies nothing.
    gateway.note_cached(&owner, &asked, NOW);
    assert_eq!(prefill(&mut gateway, asked, &[]), (owner, None));
}

#[test]
fn a_prefix_is_copied_neither_before_its_prefill_nor_long_after() {
    let mut gateway = forwarder(&engines());
    let asked = prompt(7, 1, 20_000);
    let holder = BackendId::new("g-b");
    gateway.sent(&holder, Some(&asked), None, 0, NOW);
    assert_eq!(prefill(&mut gateway, asked.clone(), &[]).1, None);
    let reported = [copy(asked.shared_prefix(), &BackendId::new("g-a1"))];
    let long_ago = Millis::ZERO;
    assert!(NOW.since(long_ago) >= Millis(10_000));
    gateway.note_copies(&reported, long_ago);
    assert_eq!(prefill(&mut gateway, asked, &[]).1, None);
}

#[test]
fn a_copy_is_reported_to_peers_once() {
    let mut gateway = forwarder(&engines());
    let asked = prompt(7, 1, 20_000);
    let prefill_engine = BackendId::new("r-a");
    gateway.note_cached(&prefill_engine, &asked, NOW);
    gateway.note_cached(&prefill_engine, &prompt(7, 2, 20_000), NOW);
    assert_eq!(
        gateway.report(NOW).copies,
        [copy(asked.shared_prefix(), &prefill_engine)]
    );
    assert_eq!(gateway.report(NOW).copies, []);
    // A copy that a peer reported is known to all gateways and is not reported again.
    gateway.note_copies(&[copy(asked.shared_prefix(), &BackendId::new("r-b"))], NOW);
    gateway.note_cached(&BackendId::new("r-b"), &asked, NOW);
    assert_eq!(gateway.report(NOW).copies, []);
}

#[test]
fn a_short_prefix_is_prefilled_at_the_shortest_queue() {
    let mut all = engines();
    all.push(record("r-c", "words", "c", Some(EngineRole::Prefill)));
    let mut gateway = forwarder(&all);
    let short = prompt(7, 1, 500);
    let busy = |id: &str| Backlog {
        backend: BackendId::new(id),
        requests: 9,
        uncached: PriorityCounts::at(0, 90_000),
        held_tokens: 90_000,
    };
    for (idle, busy_ids) in [
        ("r-a", ["r-b", "r-c"]),
        ("r-b", ["r-a", "r-c"]),
        ("r-c", ["r-a", "r-b"]),
    ] {
        receive_digest(&mut gateway, &busy_ids.map(busy));
        assert_eq!(prefill(&mut gateway, short.clone(), &[]).0.as_str(), idle);
    }
}

#[test]
fn application_work_stays_in_the_zone_until_it_is_busier() {
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
    forwarder.note_load_report(&BackendId::new("till-a"), busy, NOW);
    assert_ne!(place(&mut forwarder), one("till-a"));
}

#[test]
fn a_recently_failed_back_end_is_better_than_none() {
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
fn all_gateways_prefill_a_shared_prefix_at_the_same_engine() {
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
fn a_cached_prompt_is_not_handed_over() {
    let words = ServiceId::new("words");
    let mut forwarder = forwarder(&engines());
    let held = prompt(7, 1, 400);
    let work = work(WorkKind::Stream, Some(held.clone()));
    for id in ["g-a1", "g-a2", "g-b"] {
        forwarder.note_cached(&BackendId::new(id), &held, NOW);
    }
    let placed = forwarder.place(&words, &work, &[], true, NOW);
    assert!(matches!(placed, Some(Placement::One(_))), "{placed:?}");
}

#[test]
fn the_decode_engine_is_chosen_when_the_prompt_is_prefilled() {
    let words = ServiceId::new("words");
    let mut all = engines();
    let mut gateway = forwarder(&all);
    let prefill_engine = BackendId::new("r-a");
    let first = gateway.place_decode(&words, &prefill_engine, &[], NOW);
    let first = first.expect("one in the zone");
    assert!(first.as_str().starts_with("g-a"), "{first}");
    // It is listed as leaving while the prompt is prefilled.
    for record in &mut all {
        if record.registration.id == first {
            record.machine = garnet_types::MachineState::Leaving;
        }
    }
    let mut later = forwarder(&all);
    let second = later.place_decode(&words, &prefill_engine, &[], NOW);
    let second = second.expect("the other one in the zone");
    assert!(second.as_str().starts_with("g-a") && second != first);
}

#[test]
fn a_queue_at_the_first_owner_sends_a_prefix_to_the_second() {
    let words = ServiceId::new("words");
    let work = work(WorkKind::Stream, Some(prompt(7, 1, 20_000)));
    let mut gateway = forwarder(&engines());
    let prefill_engine = prefill_engine_of(gateway.place(&words, &work, &[], true, NOW));
    let backlog = Backlog {
        backend: prefill_engine.clone(),
        requests: 9,
        uncached: PriorityCounts::at(0, 90_000),
        held_tokens: 90_000,
    };
    receive_digest(&mut gateway, &[backlog]);
    let placed = gateway.place(&words, &work, &[], true, NOW);
    assert_ne!(prefill_engine_of(placed), prefill_engine);
}

#[test]
fn short_prefills_and_urgent_routes_have_priority() {
    let priority_at_engine = |priority, uncached| {
        let mut work = work(WorkKind::Stream, Some(prompt(1, 2, 40_000)));
        work.priority = priority;
        work.engine_priority(uncached)
    };
    assert!(priority_at_engine(1, 500) < priority_at_engine(1, 9_000));
    assert!(priority_at_engine(1, 9_000) < priority_at_engine(1, 40_000));
    assert!(priority_at_engine(0, 9_000) < priority_at_engine(2, 9_000));
    assert!(
        priority_at_engine(2, 500) < priority_at_engine(0, 40_000),
        "a short prefill delays no other request"
    );
    assert_eq!(priority_at_engine(0, 0), 0);
    assert_eq!(priority_at_engine(255, 40_000), 9);
}

#[test]
fn cached_and_copied_tokens_are_not_prefilled() {
    let mut gateway = forwarder(&engines());
    let holder = BackendId::new("r-a");
    let other = BackendId::new("r-b");
    let prompt = prompt(1, 2, 8_000);
    let uncached =
        |gateway: &Forwarder, id, source| gateway.uncached_tokens(id, &prompt, source, NOW);
    assert_eq!(uncached(&gateway, &holder, None), 8_100);
    gateway.note_cached(&holder, &prompt, NOW);
    assert_eq!(uncached(&gateway, &holder, None), 0);
    assert_eq!(uncached(&gateway, &other, None), 8_100);
    assert_eq!(uncached(&gateway, &other, Some(&holder)), 0);
}

#[test]
fn a_prefix_id_round_trips_as_text() {
    let prefix = prompt(7, 1, 20_000).shared_prefix();
    assert_eq!(prefix.to_string().parse(), Ok(prefix));
    assert!("no prefix".parse::<PrefixId>().is_err());
}

/// Engines that crashed once were tried one after another while others were in service, and a
/// sound request was refused after four refused connections.
#[rstest]
#[case::applications("till", None)]
#[case::engines("words", Some(prompt(1, 2, 2_000)))]
fn a_request_that_was_sent_before_avoids_back_ends_that_failed(
    #[case] service: &str,
    #[case] prompt: Option<Prompt>,
) {
    let role = prompt.is_some().then_some(EngineRole::Mixed);
    let records: Vec<BackendRecord> = (0..8)
        .map(|number| record(&format!("b-{number}"), service, "a", role))
        .collect();
    let mut gateway = forwarder(&records);
    let crashed: Vec<BackendId> = (0..4).map(|number| id(&format!("b-{number}"))).collect();
    for backend in &crashed {
        gateway.failed(backend, NOW);
    }
    let service = ServiceId::new(service);
    let work = work(WorkKind::Repeatable, prompt);
    for _ in 0..40 {
        let placement = gateway.place(&service, &work, &crashed[..1], false, NOW);
        let Some(Placement::One(chosen)) = placement else {
            panic!("no back end: {placement:?}");
        };
        assert!(!crashed.contains(&chosen), "{chosen:?}");
    }
}

/// A back end that failed is better than none.
#[test]
fn a_request_that_was_sent_before_goes_to_a_back_end_that_failed_if_there_is_no_other() {
    let mut gateway = forwarder(&instances());
    for zone in ["a", "b", "c"] {
        gateway.failed(&id(&format!("till-{zone}")), NOW);
    }
    let work = work(WorkKind::Repeatable, None);
    let tried = [id("till-a"), id("till-b")];
    let placement = gateway.place(&ServiceId::new("till"), &work, &tried, false, NOW);
    assert_eq!(placement, one("till-c"));
}
