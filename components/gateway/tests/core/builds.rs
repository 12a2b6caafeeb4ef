//! Engines of two builds: what one began, no other continues.

use garnet_control::WatchUpdate;
use garnet_gateway::{AttemptEvent, Event, Job};
use garnet_types::{BackendId, BuildId, MachineState, Millis};

use crate::harness::{Dispatched, Harness, completion, configuration};

/// Two engines that run both phases, each of its own build.
fn mixed() -> Harness {
    let mut harness = Harness::ready();
    report_both(&mut harness);
    harness
}

fn report_both(harness: &mut Harness) {
    harness.report_load_of_build("engine-1", "1");
    harness.report_load_of_build("engine-2", "2");
}

fn build_of(dispatched: &Dispatched) -> Option<BuildId> {
    match &dispatched.job {
        Job::Prefill { build, .. } | Job::Generate { build, .. } => build.clone(),
        Job::Application { .. } => None,
    }
}

fn other_engine(engine: &BackendId) -> &'static str {
    match engine.as_str() {
        "engine-1" => "engine-2",
        _ => "engine-1",
    }
}

/// Begins a text and breaks it off after a token; gives its engine.
fn break_off(harness: &mut Harness) -> BackendId {
    harness.event(completion(1, None));
    let first = harness.dispatch();
    harness.tokens(first.attempt, 0, &["a"]);
    harness.attempt(first.attempt, AttemptEvent::Broken);
    first.backend
}

#[test]
fn a_text_that_breaks_off_goes_on_at_its_build() {
    let mut harness = mixed();
    let engine = break_off(&mut harness);
    for _ in 0..20 {
        harness.wait_with_lease(Millis(100));
        report_both(&mut harness);
        for resumed in harness.dispatches() {
            assert_eq!(resumed.backend, engine);
        }
    }
}

/// An engine checks the build itself, as it may have restarted since its last report.
#[test]
fn jobs_name_the_build_that_they_are_meant_for() {
    let mut harness = mixed();
    harness.event(completion(1, None));
    let first = harness.dispatch();
    let expected = match first.backend.as_str() {
        "engine-1" => "1",
        _ => "2",
    };
    assert_eq!(build_of(&first), Some(BuildId::new(expected)));
}

/// The engine comes back as another build, and no other one is of the text's.
#[test]
fn a_text_whose_build_is_gone_ends_at_once() {
    let mut harness = mixed();
    let engine = break_off(&mut harness);
    harness.answers();
    let other = other_engine(&engine);
    let other_build = if other == "engine-1" { "1" } else { "2" };
    harness.report_load_of_build(engine.as_str(), other_build);
    harness.wait_with_lease(Millis(100));
    assert!(harness.dispatches().is_empty());
    let answers = harness.answers();
    assert_eq!(answers.len(), 1, "it ends");
}

#[test]
fn a_kv_cache_is_used_by_its_build_only() {
    let mut harness = Harness::split();
    report_both(&mut harness);
    harness.event(completion(1, None));
    assert!(
        harness.dispatches().is_empty(),
        "no engine of the prefill engine's build decodes"
    );
}

#[test]
fn a_kv_cache_is_used_within_its_build() {
    let mut harness = Harness::split();
    harness.report_load_of_build("engine-1", "1");
    harness.report_load_of_build("engine-2", "1");
    harness.event(completion(1, None));
    let prefill = harness.dispatch();
    assert_eq!(build_of(&prefill), Some(BuildId::new("1")));
    harness.attempt(prefill.attempt, AttemptEvent::Prefilled { handle: 7 });
    let decode = harness.dispatch();
    assert_eq!(build_of(&decode), Some(BuildId::new("1")));
}

/// Both engines are of the text's build and are being stopped. They may come back, so that the text
/// waits as it does in a fleet of one build.
#[test]
fn a_text_waits_for_engines_of_its_build_that_are_stopped() {
    let mut harness = Harness::ready();
    harness.report_load_of_build("engine-1", "1");
    harness.report_load_of_build("engine-2", "1");
    let first = begin(&mut harness, 1);
    let mut stopping = configuration(11);
    for record in stopping.backends.values_mut() {
        record.machine = MachineState::Leaving;
    }
    harness.watch_answered(WatchUpdate::Snapshot(stopping.into()));
    harness.event(Event::IndexPersisted(11));
    harness.attempt(first.attempt, AttemptEvent::Broken);
    assert!(harness.answers().is_empty());
}

/// The engine of the first text is silent. Its text waits, and the one behind it is served.
#[test]
fn a_text_that_waits_for_its_build_holds_up_no_other() {
    let mut harness = mixed();
    let first = begin(&mut harness, 1);
    // The second text begins at the other engine.
    harness.attempt(first.attempt, AttemptEvent::Draining);
    let second = begin(&mut harness, 2);
    assert_ne!(first.backend, second.backend);
    // A gap fails the attempt and is no crash.
    harness.tokens(first.attempt, 2, &["c"]);
    harness.tokens(second.attempt, 2, &["c"]);
    for sent in harness.dispatches() {
        harness.attempt(sent.attempt, AttemptEvent::NotStarted { draining: true });
    }
    let served = second.backend.as_str();
    let build = build_of(&second).expect("a build");
    for _ in 0..25 {
        harness.wait_with_lease(Millis(100));
        harness.report_load_of_build(served, build.as_str());
    }
    let sent = harness.dispatches();
    assert!(
        sent.iter().any(|sent| sent.backend == second.backend),
        "{sent:?}"
    );
}

/// Sends a text and its first token.
fn begin(harness: &mut Harness, number: u64) -> Dispatched {
    harness.event(completion(number, None));
    let begun = harness.dispatch();
    harness.tokens(begun.attempt, 0, &["a"]);
    begun
}

/// The gateway has not received the build of the engine that began the text, and the other engine may
/// be of another one.
#[test]
fn a_text_whose_build_was_not_reported_is_continued_by_no_engine() {
    let mut harness = Harness::without_reports();
    let first = begin(&mut harness, 1);
    harness.report_load_of_build(other_engine(&first.backend), "2");
    harness.attempt(first.attempt, AttemptEvent::Broken);
    let continued = harness.dispatches();
    assert!(continued.is_empty(), "{continued:?}");
    assert_eq!(harness.answers().len(), 1, "it ends at once");
}

/// The report comes after the first token and before the engine breaks the text off.
#[test]
fn a_text_whose_build_was_reported_late_is_continued_by_its_build() {
    let mut harness = Harness::without_reports();
    let first = begin(&mut harness, 1);
    harness.report_load_of_build("engine-1", "1");
    harness.report_load_of_build("engine-2", "1");
    harness.attempt(first.attempt, AttemptEvent::Broken);
    assert_ne!(harness.dispatch().backend, first.backend);
}

/// A KV cache of unknown build was imported by an engine of another one.
#[test]
fn a_kv_cache_whose_build_was_not_reported_is_used_by_no_engine_of_a_known_one() {
    let mut harness = Harness::split_without_reports();
    harness.event(completion(1, None));
    let prefill = harness.dispatch();
    harness.report_load_of_build(other_engine(&prefill.backend), "2");
    harness.attempt(prefill.attempt, AttemptEvent::Prefilled { handle: 7 });
    let imports = |sent: &Dispatched| match &sent.job {
        Job::Generate { kv, .. } => kv.is_some(),
        _ => false,
    };
    assert!(!harness.dispatches().iter().any(imports));
}
