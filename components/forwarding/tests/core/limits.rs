//! Placement and permits for back ends that report a rate limit for all gateways
//! together.

use garnet_control::{BackendRecord, EngineObservation, LimitUpdate, Shared};
use garnet_forwarding::{Forwarder, Placement, ReportedLimit, Work};
use garnet_limits::{LimitEntry, PERMIT_LIFETIME, PermitAnswer, PermitLookup, PermitOutcome};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};
use rstest::rstest;

use crate::fleet::{
    NOW, configuration, engines_named, forwarder, gateway_of, id, instances, prompt, table, work,
};

fn engines() -> Vec<BackendRecord> {
    engines_named(&[
        ("r-1", EngineRole::Prefill),
        ("r-2", EngineRole::Prefill),
        ("g-1", EngineRole::Mixed),
        ("g-2", EngineRole::Mixed),
    ])
}

fn limit(gateway: &mut Forwarder, name: &str) {
    let rate = "1.5".parse().expect("a rate");
    gateway.note_limit(&id(name), ReportedLimit::Limited(rate), NOW, NOW);
}

fn call() -> Work {
    work(WorkKind::AtMostOnce, None)
}

fn stream() -> Work {
    work(WorkKind::Stream, Some(prompt(7, 1, 20_000)))
}

fn place(gateway: &mut Forwarder, service: &str, work: &Work) -> Option<Placement> {
    gateway.place(&ServiceId::new(service), work, &[], true, NOW)
}

/// The back ends that the leader is asked about, with the number of the request.
fn asked(gateway: &mut Forwarder, service: &str, work: &Work) -> (u64, Vec<BackendId>) {
    match gateway.ask_for_permit(&ServiceId::new(service), work, &[], NOW) {
        PermitLookup::AskLeader(ask) => (ask.number, ask.backends),
        other => panic!("{other:?}"),
    }
}

fn grant(gateway: &mut Forwarder, number: u64, name: &str, is_due: bool) {
    let outcome = PermitOutcome::Granted {
        backend: id(name),
        is_due,
    };
    gateway.on_permit_answer(&PermitAnswer { number, outcome }, NOW);
}

fn list(gateway: &mut Forwarder, term: u64, names: &[&str]) -> Vec<BackendId> {
    list_after_reports(gateway, term, 0, names)
}

/// The list of a leader that has applied the reports up to this number.
fn list_after_reports(
    gateway: &mut Forwarder,
    term: u64,
    reports_taken: u64,
    names: &[&str],
) -> Vec<BackendId> {
    let entry = |name: &&str| LimitEntry {
        backend: id(name),
        rate: "2".parse().expect("a rate"),
    };
    let limits: Vec<LimitEntry> = names.iter().map(entry).collect();
    let limit_update = LimitUpdate {
        term,
        number: 0,
        reports_taken,
        limits: Shared::from(limits),
    };
    gateway.take_limits(&limit_update, NOW)
}

#[test]
fn work_goes_to_back_ends_without_a_limit() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    for _ in 0..20 {
        let placed = place(&mut gateway, "till", &call());
        assert_eq!(placed, Some(Placement::One(id("till-b"))));
        gateway.sent(&id("till-b"), None, None, 1, NOW);
    }
}

/// A permit covers one request, and it expires.
#[test]
fn a_permit_is_for_one_request() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    limit(&mut gateway, "till-b");
    assert_eq!(place(&mut gateway, "till", &call()), None);
    let (number, backends) = asked(&mut gateway, "till", &call());
    assert_eq!(backends, [id("till-a"), id("till-b")]);
    grant(&mut gateway, number, "till-b", false);
    let late = NOW + PERMIT_LIFETIME + Millis(1);
    assert!(gateway.may_send(&id("till-b"), NOW) && !gateway.may_send(&id("till-b"), late));
    let placed = place(&mut gateway, "till", &call());
    assert_eq!(placed, Some(Placement::One(id("till-b"))));
    gateway.sent(&id("till-b"), None, None, 1, NOW);
    assert_eq!(place(&mut gateway, "till", &call()), None);
}

/// An answer to a permit request that was not sent grants nothing.
#[test]
fn only_a_requested_permit_is_accepted() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    grant(&mut gateway, 1, "till-a", false);
    assert!(!gateway.may_send(&id("till-a"), NOW));
    let (number, _) = asked(&mut gateway, "till", &call());
    grant(&mut gateway, number, "till-a", false);
    grant(&mut gateway, number, "till-a", false);
    gateway.sent(&id("till-a"), None, None, 1, NOW);
    assert!(!gateway.may_send(&id("till-a"), NOW));
}

/// After a refusal, requests of the same or a lower priority don't ask again until the
/// leader has a permit for them; more urgent ones do.
#[test]
fn a_refused_permit_is_not_requested_again_early() {
    let mut gateway = forwarder(&instances()[..1]);
    limit(&mut gateway, "till-a");
    let (number, _) = asked(&mut gateway, "till", &call());
    let outcome = PermitOutcome::Refused {
        wait: Millis(300),
        retry_after: Millis(900),
    };
    gateway.on_permit_answer(&PermitAnswer { number, outcome }, NOW);
    let till = ServiceId::new("till");
    let mut ask = |priority, now| {
        let work = Work { priority, ..call() };
        gateway.ask_for_permit(&till, &work, &[], now)
    };
    assert_eq!(ask(1, NOW), PermitLookup::Exhausted(Millis(900)));
    assert_eq!(
        ask(2, NOW + Millis(100)),
        PermitLookup::Exhausted(Millis(800))
    );
    assert!(matches!(ask(0, NOW), PermitLookup::AskLeader(_)));
    assert!(matches!(
        ask(1, NOW + Millis(300)),
        PermitLookup::AskLeader(_)
    ));
}

#[test]
fn a_cache_is_transferred_to_an_engine_without_a_limit() {
    let mut gateway = forwarder(&engines());
    limit(&mut gateway, "g-1");
    limit(&mut gateway, "r-1");
    let Some(Placement::Handover { prefill_engine, .. }) = place(&mut gateway, "words", &stream())
    else {
        panic!("it is handed over");
    };
    assert_eq!(prefill_engine, id("r-2"));
    let words = ServiceId::new("words");
    let decode = gateway.place_decode(&words, &id("r-2"), &[], NOW);
    assert_eq!(decode, Some(id("g-2")));
}

/// If all decode engines have a limit, no prompt is prefilled for them on another engine:
/// a permit would expire before the prefill is done. The engine with a permit does the
/// whole request.
#[test]
fn no_prompt_is_prefilled_for_another_engine_with_a_limit() {
    let mut gateway = forwarder(&engines());
    limit(&mut gateway, "g-1");
    limit(&mut gateway, "g-2");
    assert_eq!(place(&mut gateway, "words", &stream()), None);
    let (number, backends) = asked(&mut gateway, "words", &stream());
    assert_eq!(backends, [id("g-1"), id("g-2")]);
    grant(&mut gateway, number, "g-2", false);
    let placed = place(&mut gateway, "words", &stream());
    assert_eq!(placed, Some(Placement::One(id("g-2"))));
}

/// An engine whose limit was not reported for long gets the next request, so that the end
/// of its limit is noticed.
#[rstest]
#[case::of_a_call("till", "till-a", call())]
#[case::of_a_prompt("words", "r-1", stream())]
fn a_back_end_due_for_a_refresh_comes_first(
    #[case] service: &str,
    #[case] due: &str,
    #[case] work: Work,
) {
    let records = [instances(), engines()].concat();
    let mut gateway = forwarder(&records);
    limit(&mut gateway, due);
    // It is the one with the most work, too.
    for _ in 0..5 {
        gateway.sent(&id(due), None, None, 1, NOW);
    }
    let service_id = ServiceId::new(service);
    let ask = gateway.ask_for_spare_permit(&service_id, &work, NOW);
    let ask = ask.expect("one gateway alone asks with each request");
    grant(&mut gateway, ask.number, due, true);
    let placed = match place(&mut gateway, service, &work) {
        Some(Placement::One(backend)) => Some(backend),
        Some(Placement::Handover { prefill_engine, .. }) => Some(prefill_engine),
        None => None,
    };
    assert_eq!(placed, Some(id(due)));
}

/// All gateways together ask for a spare permit about as often as one gateway has
/// requests.
#[test]
fn gateways_take_turns_to_request_spare_permits() {
    let words = ServiceId::new("words");
    let mut asked = 0;
    for number in 0..50 {
        let mut gateway = gateway_of(&engines(), 50, number);
        limit(&mut gateway, "g-1");
        for _ in 0..20 {
            asked += usize::from(
                gateway
                    .ask_for_spare_permit(&words, &stream(), NOW)
                    .is_some(),
            );
        }
    }
    assert!((15..=25).contains(&asked), "{asked}");
}

#[test]
fn a_limit_ends_when_the_leader_drops_it() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let first = gateway.limit_reports(NOW).expect("a report");
    assert_eq!(first.reports.len(), 1);
    // The leader has not applied the reports yet.
    assert_eq!(list(&mut gateway, 4, &[]), []);
    assert_eq!(list(&mut gateway, 4, &["till-a", "till-b"]), []);
    assert_eq!(gateway.limited_backends(), 2);
    assert_eq!(list(&mut gateway, 4, &["till-b"]), [id("till-a")]);
    assert!(gateway.may_send(&id("till-a"), NOW) && !gateway.may_send(&id("till-b"), NOW));
}

/// The empty list of a new leader, which has none on record, ends none; the limits are
/// reported to it.
#[test]
fn limits_are_reported_again_to_a_new_leader() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let _sent = gateway.limit_reports(NOW);
    list(&mut gateway, 4, &["till-a", "till-b"]);
    assert_eq!(gateway.limit_reports(NOW), None);
    assert_eq!(list(&mut gateway, 5, &[]), []);
    let resent = gateway
        .limit_reports(NOW)
        .expect("a report to the new leader");
    assert_eq!(resent.reports.len(), 2);
    assert_eq!(gateway.limited_backends(), 2);
}

/// A report may be lost while later ones arrive: a limit that the leader's list lacks is
/// contained in all later reports, until a leader that has applied the newest report
/// drops it.
#[test]
fn lost_reports_are_sent_again() {
    let mut gateway = forwarder(&instances());
    list(&mut gateway, 4, &[]);
    limit(&mut gateway, "till-a");
    let lost = gateway.limit_reports(NOW).expect("a report");
    limit(&mut gateway, "till-b");
    let second = gateway.limit_reports(NOW).expect("a report");
    assert_eq!(second.reports.len(), 2);
    assert_eq!(list_after_reports(&mut gateway, 4, lost.number, &[]), []);
    let both = ["till-a", "till-b"];
    assert_eq!(
        list_after_reports(&mut gateway, 4, second.number, &both),
        []
    );
    assert_eq!(gateway.limit_reports(NOW), None);
}

/// An engine that has restarted under its name has not reported a limit yet.
#[test]
fn a_restarted_engine_has_no_limit() {
    let records = engines();
    let mut gateway = forwarder(&records);
    limit(&mut gateway, "g-1");
    let mut restarted = records.clone();
    restarted[2].observed = restarted[2].observed.clone().map(|seen| EngineObservation {
        incarnation: 2,
        ..seen
    });
    let updated = configuration(6, table(1, &[("till", 1)]), &restarted);
    gateway.update(garnet_control::WatchUpdate::Snapshot(updated.into()));
    assert!(gateway.may_send(&id("g-1"), NOW));
    assert_eq!(gateway.limit_reports(NOW), None);
}

/// An answer without a limit ends none if its request was sent before the limit was
/// known: the engine may not have reported it by then.
#[test]
fn an_older_answer_does_not_end_a_limit() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let _sent = gateway.limit_reports(NOW);
    let later = NOW + Millis(1);
    gateway.note_limit(&id("till-a"), ReportedLimit::Unlimited, NOW, later);
    assert_eq!(gateway.limit_reports(later), None);
    gateway.note_limit(&id("till-a"), ReportedLimit::Unlimited, later, later);
    let reports = gateway.limit_reports(later).expect("a report").reports;
    assert_eq!(reports[0].rate, None);
}

/// The list of limits may arrive before the engines that it names.
#[test]
fn a_limit_reported_before_its_engine_is_kept() {
    let mut gateway = forwarder(&instances()[..1]);
    list(&mut gateway, 4, &["till-b"]);
    let updated = configuration(6, table(1, &[("till", 1)]), &instances());
    gateway.update(garnet_control::WatchUpdate::Snapshot(updated.into()));
    for _ in 0..20 {
        let placed = place(&mut gateway, "till", &call());
        assert_eq!(placed, Some(Placement::One(id("till-a"))));
        gateway.sent(&id("till-a"), None, None, 1, NOW);
    }
}
