//! Back ends that named how much they take from all gateways together: who is sent
//! there, and who isn't.

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

/// The names that the leader is asked for.
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
    list_after(gateway, term, 0, names)
}

/// The list of a leader that has applied the reports of this number.
fn list_after(
    gateway: &mut Forwarder,
    term: u64,
    reports_taken: u64,
    names: &[&str],
) -> Vec<BackendId> {
    let told = |name: &&str| LimitEntry {
        backend: id(name),
        rate: "2".parse().expect("a rate"),
    };
    let limits: Vec<LimitEntry> = names.iter().map(told).collect();
    let told = LimitUpdate {
        term,
        number: 0,
        reports_taken,
        limits: Shared::from(limits),
    };
    gateway.take_limits(&told, NOW)
}

#[test]
fn work_goes_to_who_has_no_limit() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    for _ in 0..20 {
        let placed = place(&mut gateway, "till", &call());
        assert_eq!(placed, Some(Placement::One(id("till-b"))));
        gateway.sent(&id("till-b"), None, None, 1, NOW);
    }
}

/// One permit is one request, and it is over after its time.
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

/// An answer that nobody asked for gives nothing.
#[test]
fn only_an_answer_to_a_question_is_a_permit() {
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

/// Once refused, requests of that rank and less urgent ones don't ask again until the
/// leader has a permit for them; more urgent ones do.
#[test]
fn the_leader_is_not_asked_in_vain() {
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
fn a_cache_is_handed_to_an_engine_without_a_limit() {
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

/// Where all engines that generate have a limit, no prompt is read for them: a permit
/// would be over by the time that it is read. The one with a permit does all of it.
#[test]
fn no_prompt_is_read_for_an_engine_with_a_limit() {
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

/// An engine of which nobody has heard for long gets the next request, so that the
/// end of its limit is heard.
#[rstest]
#[case::of_a_call("till", "till-a", call())]
#[case::of_a_prompt("words", "r-1", stream())]
fn one_that_is_due_comes_first(#[case] service: &str, #[case] due: &str, #[case] work: Work) {
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
fn spare_permits_are_asked_for_in_turn() {
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
fn a_limit_ends_by_the_word_of_the_leader() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let heard = gateway.limit_reports(NOW).expect("it was heard");
    assert_eq!(heard.reports.len(), 1);
    // It has not applied the reports yet.
    assert_eq!(list(&mut gateway, 4, &[]), []);
    assert_eq!(list(&mut gateway, 4, &["till-a", "till-b"]), []);
    assert_eq!(gateway.limited_backends(), 2);
    assert_eq!(list(&mut gateway, 4, &["till-b"]), [id("till-a")]);
    assert!(gateway.may_send(&id("till-a"), NOW) && !gateway.may_send(&id("till-b"), NOW));
}

/// Another leader knows nothing: that its list is empty ends no limit, and it is told.
#[test]
fn another_leader_is_told_anew() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let _told = gateway.limit_reports(NOW);
    list(&mut gateway, 4, &["till-a", "till-b"]);
    assert_eq!(gateway.limit_reports(NOW), None);
    assert_eq!(list(&mut gateway, 5, &[]), []);
    let told = gateway.limit_reports(NOW).expect("it is told anew");
    assert_eq!(told.reports.len(), 2);
    assert_eq!(gateway.limited_backends(), 2);
}

/// Words may be lost on their way, and later ones not: what the list lacks is told with
/// all that follow, until the leader that has taken the newest ones says otherwise.
#[test]
fn words_that_are_lost_are_told_again() {
    let mut gateway = forwarder(&instances());
    list(&mut gateway, 4, &[]);
    limit(&mut gateway, "till-a");
    let lost = gateway.limit_reports(NOW).expect("it was heard");
    limit(&mut gateway, "till-b");
    let second = gateway.limit_reports(NOW).expect("news");
    assert_eq!(second.reports.len(), 2);
    assert_eq!(list_after(&mut gateway, 4, lost.number, &[]), []);
    let both = ["till-a", "till-b"];
    assert_eq!(list_after(&mut gateway, 4, second.number, &both), []);
    assert_eq!(gateway.limit_reports(NOW), None);
}

/// An engine that has started again under its name has said nothing yet.
#[test]
fn another_start_has_no_limit() {
    let records = engines();
    let mut gateway = forwarder(&records);
    limit(&mut gateway, "g-1");
    let mut again = records.clone();
    again[2].observed = again[2].observed.clone().map(|seen| EngineObservation {
        incarnation: 2,
        ..seen
    });
    let anew = configuration(6, table(1, &[("till", 1)]), &again);
    gateway.update(garnet_control::WatchUpdate::Snapshot(anew.into()));
    assert!(gateway.may_send(&id("g-1"), NOW));
    assert_eq!(gateway.limit_reports(NOW), None);
}

/// An answer without a name ends nothing where its request was sent before the limit
/// was known: the engine may not have named it by then.
#[test]
fn an_older_answer_tells_nothing() {
    let mut gateway = forwarder(&instances());
    limit(&mut gateway, "till-a");
    let _told = gateway.limit_reports(NOW);
    let later = NOW + Millis(1);
    gateway.note_limit(&id("till-a"), ReportedLimit::Unlimited, NOW, later);
    assert_eq!(gateway.limit_reports(later), None);
    gateway.note_limit(&id("till-a"), ReportedLimit::Unlimited, later, later);
    let reports = gateway.limit_reports(later).expect("news").reports;
    assert_eq!(reports[0].rate, None);
}

/// The list of limits may come before the engines that it names.
#[test]
fn a_limit_that_is_told_before_its_engine_is_kept() {
    let mut gateway = forwarder(&instances()[..1]);
    list(&mut gateway, 4, &["till-b"]);
    let anew = configuration(6, table(1, &[("till", 1)]), &instances());
    gateway.update(garnet_control::WatchUpdate::Snapshot(anew.into()));
    for _ in 0..20 {
        let placed = place(&mut gateway, "till", &call());
        assert_eq!(placed, Some(Placement::One(id("till-a"))));
        gateway.sent(&id("till-a"), None, None, 1, NOW);
    }
}
