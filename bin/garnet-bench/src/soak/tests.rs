//! What the checks of a soak catch.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::checks::{Call, Journals, Outcome, PlannedStop, Seen};
use super::fault::FaultKind;
use super::operators::ConfigurationRead;
use super::streams::judge;
use crate::text_stream::TextStream;

fn read(index: u64, sessions: &[&str]) -> ConfigurationRead {
    ConfigurationRead {
        index,
        sessions: sessions.iter().map(ToString::to_string).collect(),
    }
}

/// A soak in which everything went well and every kind asked for struck.
fn sound() -> Seen {
    let mut seen = Seen::default();
    seen.note_struck(FaultKind::ReplicaKill);
    seen.acknowledged.push("session-0".to_owned());
    seen.calls.push(call("good", &[Outcome::Answered]));
    seen.streams.push(call("text", &[Outcome::Answered]));
    seen
}

fn call(key: &str, outcomes: &[Outcome]) -> Call {
    let mut call = Call::new(key.to_owned(), true);
    for outcome in outcomes {
        call.note("10.0.0.1:1", 100, 200, *outcome);
    }
    call
}

fn runs(of: &[(&str, u64)]) -> Journals {
    let mut all: BTreeMap<String, u64> = [("good".to_owned(), 1)].into();
    all.extend(of.iter().map(|(key, runs)| ((*key).to_owned(), *runs)));
    Journals::new(all, 0)
}

fn holds(seen: &Seen, journals: &Journals) -> bool {
    let at_the_end = read(9, &["session-0"]);
    let kinds = [FaultKind::ReplicaKill];
    seen.verdict(1, &kinds, journals, &at_the_end).holds()
}

#[rstest]
#[case::answered_once(&[Outcome::Answered], 1, true)]
#[case::twice(&[Outcome::Answered], 2, false)]
#[case::never_and_answered(&[Outcome::Answered], 0, false)]
#[case::not_run(&[Outcome::NotRun, Outcome::NotSent], 0, true)]
#[case::not_run_and_it_ran(&[Outcome::NotRun], 1, false)]
#[case::in_doubt_is_either(&[Outcome::InDoubt, Outcome::NotRun], 1, true)]
#[case::garbled(&[Outcome::Garbled], 1, false)]
fn a_call(#[case] outcomes: &[Outcome], #[case] times: u64, #[case] sound_so: bool) {
    let mut seen = sound();
    seen.calls.push(call("tried", outcomes));
    assert_eq!(holds(&seen, &runs(&[("tried", times)])), sound_so);
}

#[test]
fn a_soak_in_which_a_kind_never_struck_does_not_pass() {
    let mut seen = sound();
    assert!(holds(&seen, &runs(&[])));
    seen.struck.clear();
    assert!(!holds(&seen, &runs(&[])));
}

#[test]
fn what_was_acknowledged_is_read_from_then_on_and_no_read_goes_back() {
    for (later, newest) in [(read(5, &[]), 0), (read(4, &["session-0"]), 5)] {
        let mut seen = sound();
        seen.note_read(&later, newest, 1);
        assert!(!holds(&seen, &runs(&[])), "{later:?}");
    }
    let mut seen = sound();
    seen.note_read(&read(4, &[]), 4, 0);
    assert!(holds(&seen, &runs(&[])));
    seen.acknowledged.push("session-1".to_owned());
    assert!(!holds(&seen, &runs(&[])), "lost at the end");
}

#[rstest]
#[case::under_way(150, false, false)]
#[case::beside_a_back_end_that_fails(150, true, true)]
#[case::sent_after_it(99, false, true)]
fn a_planned_stop(#[case] from_ms: u64, #[case] beside_others: bool, #[case] sound_so: bool) {
    let mut seen = sound();
    seen.calls.push(call("tried", &[Outcome::Broken]));
    seen.stops.push(PlannedStop {
        gateway: "10.0.0.1:1".to_owned(),
        from_ms,
        to_ms: 300,
        beside_others,
    });
    assert_eq!(holds(&seen, &runs(&[])), sound_so);
}

const EVENTS: &str = "data: {\"choices\":[{\"text\":\" one\"}]}\n\n\
                      data: {\"choices\":[{\"text\":\" two\"}]}\n\n";

fn heard(body: &str) -> TextStream {
    let mut stream = TextStream::default();
    stream.push(body.as_bytes());
    stream
}

#[rstest]
#[case::whole("data: [DONE]\n\n", true, Outcome::Answered)]
#[case::no_proper_end("data: [DONE]\n\n", false, Outcome::Broken)]
#[case::broken_off("", false, Outcome::Broken)]
#[case::half_an_event("data: {\"choices\":[{\"text\":\" th", false, Outcome::Broken)]
#[case::a_token_twice(
    "data: {\"choices\":[{\"text\":\" two\"}]}\n\n",
    false,
    Outcome::Garbled
)]
#[case::too_short("", true, Outcome::Broken)]
fn a_stream(#[case] rest: &str, #[case] ended_well: bool, #[case] expected: Outcome) {
    let heard = heard(&format!("{EVENTS}{rest}"));
    let whole = if heard.is_done {
        " one two"
    } else {
        " one two three"
    };
    assert_eq!(judge(&heard, &[whole], ended_well), expected);
}

#[test]
fn an_end_mark_before_the_end_and_a_garbled_stream_are_findings() {
    let early = heard(&format!("{EVENTS}data: [DONE]\n\n"));
    assert_eq!(judge(&early, &[" one two three"], true), Outcome::Garbled);
    let mut seen = sound();
    seen.streams.push(call("text-2", &[Outcome::Garbled]));
    assert!(!holds(&seen, &runs(&[])));
}

/// The first token is of the first text, and the second one of the other.
#[test]
fn a_stream_of_two_texts_is_garbled() {
    let mixed = heard(EVENTS);
    assert_eq!(
        judge(&mixed, &[" one 2", " 1 two"], false),
        Outcome::Garbled
    );
    assert_eq!(judge(&mixed, &[" 1 2", " one two"], false), Outcome::Broken);
}

#[test]
fn a_soak_in_which_no_stream_came_to_its_end_does_not_pass() {
    let mut seen = sound();
    seen.streams.clear();
    assert!(!holds(&seen, &runs(&[])));
}

#[rstest]
#[case::stopped(&[0, 100, 200, 900], true)]
#[case::some_late_ones(&[0, 100, 200, 4_000, 5_000, 6_000], true)]
#[case::not_stopped(&[0, 100, 200, 4_000, 5_000, 6_000, 7_000], false)]
fn a_crashing_request(#[case] ended_ms: &[u64], #[case] sound_so: bool) {
    let start = Instant::now();
    let at = |ms: &u64| start + Duration::from_millis(*ms);
    let ended: Vec<Instant> = ended_ms.iter().map(at).collect();
    assert_eq!(super::crashing::judge(&ended).is_none(), sound_so);
}
