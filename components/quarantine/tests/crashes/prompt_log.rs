//! One gateway's record of runs of prompts.

use garnet_quarantine::{
    BrokenPrompt, PartId, PartSet, PromptEvidence, PromptLog, PromptReport, RequestFingerprint,
    TrackedParts,
};
use garnet_types::{Millis, ServiceId};

use crate::{engine, request};

const BAD: PartId = PartId(0xbad0);
const FIRST: PartId = PartId(0x5c1e);
const START: Millis = Millis(10_000);

fn service() -> ServiceId {
    ServiceId::new("words")
}

fn bad_set() -> RequestFingerprint {
    PartSet::new(service(), vec![BAD]).fingerprint()
}

fn broken(number: usize) -> BrokenPrompt {
    BrokenPrompt {
        service: service(),
        request: request(&format!("/{number}")),
        parts: vec![FIRST, BAD],
        engine: engine(&format!("e-{number}")),
    }
}

fn with_crashes(count: usize) -> PromptLog {
    let mut log = PromptLog::default();
    log.sound(&service(), &[FIRST], START);
    for number in 0..count {
        log.crashed(broken(number), START);
    }
    log
}

fn report(log: &mut PromptLog, now: Millis) -> Option<PromptReport> {
    log.report(now)
}

fn track(log: &mut PromptLog) {
    let parts = vec![FIRST, BAD];
    let tracked = TrackedParts {
        service: service(),
        parts,
    };
    let evidence = PromptEvidence {
        tracked: vec![tracked],
        ..PromptEvidence::default()
    };
    log.take_evidence(evidence, START);
}

#[test]
fn runs_are_reported_until_they_are_confirmed_and_again_to_a_new_leader() {
    let mut log = with_crashes(2);
    let first = report(&mut log, START).expect("two runs");
    assert_eq!((first.broken.len(), first.through), (2, 2));
    assert_eq!(report(&mut log, START), Some(first));
    log.confirmed(2);
    assert_eq!(report(&mut log, START), None);
    log.on_leader_change(START);
    let again = report(&mut log, START + Millis(40)).expect("two runs");
    assert_eq!(again.broken.len(), 2);
    assert_eq!(again.broken[0].ago, Millis(40));
}

#[test]
fn a_part_that_was_sound_is_reported_as_soon_as_it_is_tracked() {
    let mut log = with_crashes(0);
    assert_eq!(report(&mut log, START), None);
    track(&mut log);
    let now = START + Millis(20);
    let sound = report(&mut log, now).expect("a sound part").sound;
    assert_eq!(sound.len(), 1);
    assert_eq!((sound[0].part, sound[0].ago), (FIRST, Millis(20)));
    assert_eq!(report(&mut log, now), None, "not at each report");
    let later = report(&mut log, now + Millis(500)).expect("again");
    assert_eq!(later.sound.len(), 1);
}

#[test]
fn a_gateway_decides_alone_only_while_no_leader_confirms_its_runs() {
    let mut log = with_crashes(5);
    log.update(START + Millis(2_900));
    assert!(log.has_no_verdicts());
    log.update(START + Millis(3_000));
    assert!(log.is_refused(&bad_set()));
    log.confirmed(5);
    log.update(START + Millis(5_900));
    assert!(log.is_refused(&bad_set()), "the leader decides meanwhile");
    log.update(START + Millis(6_000));
    assert!(log.has_no_verdicts());
}

#[test]
fn fewer_crashes_do_not_suffice_alone() {
    let mut log = with_crashes(4);
    log.update(START + Millis(5_000));
    assert!(log.has_no_verdicts());
}

#[test]
fn a_released_set_is_not_reported_again() {
    let mut log = with_crashes(5);
    log.update(START + Millis(3_000));
    assert!(log.is_refused(&bad_set()));
    log.release(bad_set());
    assert!(log.has_no_verdicts());
    log.on_leader_change(START);
    assert_eq!(report(&mut log, START), None);
}

#[test]
fn many_runs_are_reported_in_batches() {
    let mut log = with_crashes(600);
    let mut reported = 0;
    while let Some(batch) = report(&mut log, START) {
        assert!(batch.broken.len() <= 64);
        reported += batch.broken.len();
        log.confirmed(batch.through);
    }
    assert_eq!(reported, 512, "the newest runs");
}

#[test]
fn a_prompt_of_one_part_is_not_recorded() {
    let mut log = PromptLog::default();
    let run = BrokenPrompt {
        parts: Vec::new(),
        ..broken(0)
    };
    log.crashed(run, START);
    assert_eq!(report(&mut log, START), None);
}
