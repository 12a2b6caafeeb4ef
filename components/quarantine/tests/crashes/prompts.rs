//! Which parts of prompts are refused.

use garnet_quarantine::{
    BrokenPromptRun, EngineStart, PartId, PartSet, PromptReport, PromptTracker, RequestFingerprint,
    SoundPart, matching_fingerprints,
};
use garnet_types::{BackendId, Millis, ServiceId};
use proptest::prelude::*;
use rstest::rstest;

use crate::request;

/// First part of all prompts of the route.
const FIRST: u64 = 0x5c1e;
const BAD: u64 = 0xbad0;
const OTHER_BAD: u64 = 0xbad1;
/// A part that the requests with the crashing part share with few sound ones.
const RARE: u64 = 0x4a4e;
/// First part of all prompts of another route.
const OTHER_ROUTE: u64 = 0x07e4;

fn service(name: &str) -> ServiceId {
    ServiceId::new(name)
}

fn set(parts: &[u64]) -> RequestFingerprint {
    set_at("words", parts)
}

fn set_at(name: &str, parts: &[u64]) -> RequestFingerprint {
    let parts = parts.iter().map(|part| PartId(*part)).collect();
    PartSet::new(service(name), parts).fingerprint()
}

fn engine(number: u64) -> EngineStart {
    EngineStart {
        backend: BackendId::new(format!("e-{number}")),
        incarnation: number,
    }
}

/// A fleet whose engines crash.
#[derive(Default)]
struct Fleet {
    tracker: PromptTracker,
    now: Millis,
    engines: u64,
    requests: u64,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            now: Millis(10_000),
            ..Fleet::default()
        }
    }

    /// An engine crashes during runs of prompts with these shared parts, each of a new request.
    fn crash(&mut self, runs: &[&[u64]]) {
        self.crash_at("words", runs);
    }

    fn crash_at(&mut self, name: &str, runs: &[&[u64]]) {
        self.engines += 1;
        let broken = runs.iter().map(|parts| {
            self.requests += 1;
            BrokenPromptRun {
                service: service(name),
                request: request(&format!("/{}", self.requests)),
                parts: parts.iter().map(|part| PartId(*part)).collect(),
                engine: engine(self.engines),
                ago: Millis(20),
            }
        });
        let report = PromptReport {
            broken: broken.collect(),
            ..PromptReport::default()
        };
        self.tracker.apply_report(&report, self.now);
        self.pass(Millis(100));
    }

    fn sound(&mut self, part: u64) {
        self.sound_at("words", part, Millis::ZERO);
    }

    fn sound_at(&mut self, name: &str, part: u64, ago: Millis) {
        let sound = SoundPart {
            service: service(name),
            part: PartId(part),
            ago,
        };
        let report = PromptReport {
            sound: vec![sound],
            ..PromptReport::default()
        };
        self.tracker.apply_report(&report, self.now);
        self.pass(Millis(50));
    }

    /// The engine answers a request.
    fn answer(&mut self, number: u64) {
        self.tracker.answered(&engine(number).backend, self.now);
    }

    fn pass(&mut self, time: Millis) {
        self.now = self.now + time;
        self.tracker.decide(self.now);
    }

    /// Lets the time pass in which all gateways report.
    fn settle(&mut self) {
        self.pass(Millis(1_000));
    }

    fn refuses(&self, parts: &[u64]) -> bool {
        self.refuses_at("words", parts)
    }

    /// Whether a request at the service whose prompt shares these parts is refused.
    fn refuses_at(&self, name: &str, parts: &[u64]) -> bool {
        let parts: Vec<PartId> = parts.iter().map(|part| PartId(*part)).collect();
        let refused: Vec<_> = self.tracker.refused().collect();
        let matching = matching_fingerprints(&service(name), &parts);
        matching.iter().any(|set| refused.contains(set))
    }
}

#[rstest]
#[case::second(&[FIRST, BAD, 1], &[FIRST, 2, BAD])]
#[case::first(&[BAD, FIRST], &[BAD, 3, FIRST])]
fn a_part_at_five_crashes_is_refused_wherever_it_stands(#[case] even: &[u64], #[case] odd: &[u64]) {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..4 {
        fleet.crash(&[[even, odd][number % 2]]);
    }
    fleet.settle();
    assert!(!fleet.refuses(even));
    fleet.crash(&[odd]);
    fleet.settle();
    assert!(fleet.refuses(even) && fleet.refuses(odd) && fleet.refuses(&[BAD]));
    assert!(!fleet.refuses(&[FIRST, 1]));
}

#[test]
fn a_shared_part_that_engines_answer_is_never_refused() {
    let mut fleet = Fleet::new();
    for number in 0..40 {
        fleet.crash(&[
            &[FIRST, BAD],
            &[FIRST, 100 + number],
            &[OTHER_ROUTE, 200 + number],
        ]);
        if number % 4 == 0 {
            fleet.sound(FIRST);
            fleet.sound(OTHER_ROUTE);
        }
        fleet.settle();
        assert!(!fleet.refuses(&[FIRST, 1]), "{number}");
        assert!(!fleet.refuses(&[OTHER_ROUTE, 1]), "{number}");
    }
    assert!(fleet.refuses(&[FIRST, BAD]));
}

/// Five engines crash within half a second, and none answered anything in between.
#[test]
fn parts_that_can_not_be_told_apart_are_refused_only_together() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        fleet.crash(&[&[FIRST, RARE, BAD, number]]);
    }
    fleet.settle();
    assert!(fleet.refuses(&[FIRST, RARE, BAD, 9]));
    for sound in [&[FIRST, 1][..], &[FIRST, RARE], &[RARE, 2]] {
        assert!(!fleet.refuses(sound), "{sound:?}");
    }
    fleet.sound(FIRST);
    fleet.settle();
    assert!(!fleet.refuses(&[RARE, 2]));
    assert!(fleet.refuses(&[RARE, BAD]), "the first part is cleared");
    fleet.sound(RARE);
    fleet.settle();
    assert!(fleet.refuses(&[BAD]), "both companions are cleared");
}

#[test]
fn a_crash_without_a_companion_rules_it_out() {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..5 {
        fleet.crash(&[&[FIRST, RARE, BAD, number]]);
    }
    fleet.settle();
    assert!(!fleet.refuses(&[FIRST, BAD]));
    fleet.crash(&[&[FIRST, BAD, 7]]);
    fleet.settle();
    assert!(fleet.refuses(&[FIRST, BAD]));
    assert!(!fleet.refuses(&[FIRST, RARE]));
}

/// Both parts are at the same crashes, in different requests.
#[test]
fn two_crashing_parts_at_once_are_both_refused() {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..5 {
        fleet.crash(&[&[FIRST, BAD, number], &[FIRST, OTHER_BAD, 50 + number]]);
    }
    fleet.settle();
    let both = [
        fleet.refuses(&[FIRST, BAD]),
        fleet.refuses(&[FIRST, OTHER_BAD]),
    ];
    assert_eq!(both.iter().filter(|refused| **refused).count(), 1);
    let other = if both[0] { OTHER_BAD } else { BAD };
    for number in 60..62 {
        fleet.crash(&[&[FIRST, other, number]]);
    }
    fleet.settle();
    assert!(fleet.refuses(&[FIRST, BAD]) && fleet.refuses(&[FIRST, OTHER_BAD]));
    assert!(!fleet.refuses(&[FIRST, 1]));
}

/// A sound part was at all five crashes, and has been answered nowhere; the crashing one goes on.
#[test]
fn a_part_that_was_refused_by_mistake_is_released_when_another_one_explains_its_crashes() {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..5 {
        fleet.crash(&[&[FIRST, BAD, number], &[OTHER_ROUTE, 50 + number]]);
    }
    fleet.settle();
    for number in 60..62 {
        fleet.crash(&[&[FIRST, BAD, number]]);
    }
    fleet.settle();
    assert!(fleet.refuses(&[FIRST, BAD]));
    assert!(!fleet.refuses(&[OTHER_ROUTE, 1]));
}

/// All runs on the engines of one request that crashes them share its parts.
#[test]
fn a_request_that_crashes_engines_has_no_part_refused() {
    let mut fleet = Fleet::new();
    for _ in 0..6 {
        fleet.requests = 0;
        fleet.crash(&[&[FIRST, RARE]]);
    }
    fleet.settle();
    assert!(!fleet.refuses(&[FIRST, RARE]));
}

/// A cut of all gateways from all engines breaks runs at more engines than any crash.
#[test]
fn a_part_that_engines_answered_lately_is_not_refused_after_any_number_of_crashes() {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..50 {
        fleet.crash(&[&[FIRST, 100 + number]]);
    }
    fleet.settle();
    assert!(!fleet.refuses(&[FIRST, 1]));
}

/// Crashes at all services count, but a service whose engines answer the part goes on.
#[test]
fn crashes_at_several_services_add_up() {
    let mut fleet = Fleet::new();
    for number in 0..3 {
        fleet.crash_at("words", &[&[BAD, number]]);
        fleet.crash_at("drafts", &[&[BAD, number]]);
    }
    fleet.sound_at("small", BAD, Millis::ZERO);
    fleet.settle();
    assert!(fleet.refuses_at("words", &[BAD]) && fleet.refuses_at("drafts", &[BAD]));
    assert!(!fleet.refuses_at("small", &[BAD]));
}

#[test]
fn an_engine_that_answers_later_has_not_crashed() {
    let mut fleet = Fleet::new();
    for number in 0..4 {
        fleet.crash(&[&[BAD, number]]);
    }
    fleet.pass(Millis(800));
    fleet.answer(1);
    fleet.crash(&[&[BAD, 8]]);
    fleet.settle();
    assert!(!fleet.refuses(&[BAD]));
}

/// Gateways were cut off from engines that live on; the engines answer after the verdict.
#[test]
fn a_verdict_on_engines_that_answer_is_withdrawn() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        fleet.crash(&[&[BAD, number]]);
    }
    fleet.settle();
    assert!(fleet.refuses(&[BAD]));
    fleet.answer(1);
    fleet.settle();
    assert!(!fleet.refuses(&[BAD]));
}

/// The crashes of the verdict are forgotten after a while; that alone does not release it.
#[test]
fn a_verdict_outlives_its_crashes() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        fleet.crash(&[&[BAD, number]]);
    }
    fleet.settle();
    fleet.pass(Millis::from_secs(1_000));
    fleet.crash(&[&[RARE, 9]]);
    fleet.pass(Millis(800));
    fleet.answer(6);
    fleet.settle();
    assert!(fleet.refuses(&[BAD]));
}

/// An operator releases the part; the old crashes alone don't have it refused again.
#[test]
fn a_released_part_starts_over() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        fleet.crash(&[&[BAD, number]]);
    }
    fleet.settle();
    assert!(fleet.refuses(&[BAD]));
    fleet.tracker.forgive(&set(&[BAD]));
    fleet.settle();
    fleet.crash(&[&[BAD, 9]]);
    fleet.settle();
    assert!(!fleet.refuses(&[BAD]));
}

/// A new leader knows of a verdict the fingerprint only, and gets the runs again.
#[test]
fn a_verdict_of_a_previous_leader_is_narrowed_by_later_reports() {
    let mut fleet = Fleet::new();
    fleet.tracker.refuse(set(&[RARE, BAD]));
    for number in 0..5 {
        fleet.crash(&[&[RARE, BAD, number]]);
    }
    fleet.settle();
    assert!(!fleet.refuses(&[RARE, 1]));
    fleet.sound(RARE);
    fleet.settle();
    assert!(fleet.refuses(&[BAD]) && !fleet.refuses(&[RARE, 1]));
}

#[test]
fn a_verdict_waits_for_reports_of_sound_parts_but_not_for_further_crashes() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        fleet.crash(&[&[BAD, number]]);
    }
    assert!(!fleet.refuses(&[BAD]));
    for number in 5..15 {
        fleet.crash(&[&[BAD, number]]);
    }
    assert!(fleet.refuses(&[BAD]));
}

/// A companion of sound requests was at four crashes of one part and at the first of another.
#[test]
fn a_companion_at_crashes_of_two_parts_is_not_refused() {
    let mut fleet = Fleet::new();
    fleet.sound(FIRST);
    for number in 0..5 {
        fleet.crash(&[&[FIRST, BAD, number], &[FIRST, RARE, 50 + number]]);
    }
    fleet.crash(&[&[FIRST, BAD, 70]]);
    fleet.settle();
    assert!(fleet.refuses(&[FIRST, BAD]));
    fleet.crash(&[&[FIRST, OTHER_BAD, 71], &[FIRST, RARE, 72]]);
    fleet.settle();
    assert!(!fleet.refuses(&[FIRST, RARE]));
}

/// The names of services, parts and sets never collide by concatenation.
#[test]
fn sets_of_other_services_and_parts_differ() {
    let all = [
        set_at("words", &[1]),
        set_at("word", &[1]),
        set_at("words", &[2]),
        set_at("words", &[1, 2]),
        set_at("words", &[1, 2, 3]),
    ];
    for (idx, one) in all.iter().enumerate() {
        assert!(!all[idx + 1..].contains(one));
    }
    assert_eq!(set(&[2, 1, 1]), set(&[1, 2]));
}

proptest! {
    /// Whatever runs beside it, the crashing part is refused after five crashes, and no sound part
    /// that engines answer.
    #[test]
    fn only_the_crashing_part_is_refused(
        companions in proptest::collection::vec(0_u64..6, 8),
        bystanders in proptest::collection::vec(proptest::collection::vec(0_u64..6, 1..4), 8),
    ) {
        let mut fleet = Fleet::new();
        for part in 0..6 {
            fleet.sound(part);
        }
        for (companion, bystander) in companions.iter().zip(&bystanders) {
            fleet.crash(&[&[FIRST, *companion, BAD], bystander]);
            fleet.sound(FIRST);
        }
        fleet.settle();
        prop_assert!(fleet.refuses(&[FIRST, BAD]));
        for part in 0..6 {
            prop_assert!(!fleet.refuses(&[FIRST, part]));
        }
    }
}
