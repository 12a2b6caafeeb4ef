//! Requests are sent, deferred or refused by what is predicted of them.

use garnet_control::{Backlog, PriorityCounts, WatchUpdate};
use garnet_forwarding::{Admission, Arrival, Forwarder, Prompt, Work};
use garnet_routes::{EngineLimits, RouteTable, ServiceSettings, WorkKind};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::{NOW, configuration, empty_forwarder, hear, prompt, record, table, work};

const SLOTS: u64 = 48;
/// The pace that the gateway has learned.
const TOKENS_PER_MS: u64 = 100;

fn words() -> ServiceId {
    ServiceId::new("words")
}

fn prefill_engine() -> BackendId {
    BackendId::new("prefill_engine")
}

fn decode_engine() -> BackendId {
    BackendId::new("decode_engine")
}

/// A gateway before one prefill engine and one decode engine, which knows their pace.
fn gateway() -> Forwarder {
    let limits = EngineLimits {
        slots: SLOTS,
        cache_tokens: 1_000_000,
        token_bytes: 1,
        link_mbps: 1,
        role_change_ms: Millis(3000),
        handover_ms: Millis(5000),
    };
    let services = vec![ServiceSettings {
        name: words(),
        max_connections: 100,
        buying: None,
        engine: Some(limits),
    }];
    let table = RouteTable {
        services,
        ..table(1, &[("words", 1)])
    };
    let records = [
        record("prefill_engine", "words", "a", Some(EngineRole::Prefill)),
        record("decode_engine", "words", "a", Some(EngineRole::Mixed)),
    ];
    let mut gateway = empty_forwarder();
    let configuration = configuration(5, table, &records).into();
    gateway.update(WatchUpdate::Snapshot(configuration));
    for tokens in [1_000, 20_000].repeat(200) {
        gateway.note_prefill(&prefill_engine(), tokens, Millis(tokens / TOKENS_PER_MS));
    }
    gateway
}

fn backlog(backend: BackendId, requests: u64, uncached: PriorityCounts) -> Backlog {
    Backlog {
        backend,
        requests,
        uncached,
        held_tokens: requests * 1_000,
    }
}

fn arrival(is_retry: bool) -> Arrival {
    Arrival {
        waited: Millis::ZERO,
        remaining: Millis(2_000),
        deadline: Millis(2_000),
        is_retry,
    }
}

fn stream(prompt: Prompt) -> Work {
    work(WorkKind::Stream, Some(prompt))
}

fn decide(gateway: &mut Forwarder, work: &Work, is_retry: bool) -> Admission {
    let placed = gateway.place_new(&words(), work, &arrival(is_retry), NOW);
    placed.expect("an engine").1
}

#[test]
fn nothing_is_turned_away_from_free_engines() {
    let mut gateway = gateway();
    // Ten seconds of prefill, with an objective of half a second.
    let large = stream(prompt(1, 2, 1_000_000));
    assert_eq!(decide(&mut gateway, &large, false), Admission::Admit);
}

/// The objective is 500 ms, and callers wait for 2 s.
#[rstest]
#[case::short_queue(30_000, Admission::Admit)]
#[case::late(100_000, Admission::Defer)]
fn what_would_be_late_is_read_after_the_rest(#[case] queued: u64, #[case] expected: Admission) {
    let mut gateway = gateway();
    let others = backlog(prefill_engine(), 9, PriorityCounts::at(0, queued));
    hear(&mut gateway, &[others]);
    let work = stream(prompt(1, 2, 8_000));
    assert_eq!(decide(&mut gateway, &work, false), expected);
    assert_eq!(decide(&mut gateway, &work, true), expected);
}

#[test]
fn what_is_queued_behind_makes_nobody_late() {
    let mut gateway = gateway();
    let others = backlog(prefill_engine(), 9, PriorityCounts::at(9, 100_000));
    hear(&mut gateway, &[others]);
    let work = stream(prompt(1, 2, 8_000));
    assert_eq!(decide(&mut gateway, &work, false), Admission::Admit);
}

#[test]
fn what_would_end_before_it_begins_is_refused_with_a_time_to_come_back() {
    let mut gateway = gateway();
    let others = backlog(prefill_engine(), 9, PriorityCounts::at(0, 300_000));
    hear(&mut gateway, &[others]);
    let work = stream(prompt(1, 2, 8_000));
    let Admission::Refuse { retry_after, .. } = decide(&mut gateway, &work, true) else {
        panic!("three seconds are queued");
    };
    assert_eq!(
        retry_after,
        Millis(600),
        "a third of the time is not passed"
    );
}

#[test]
fn an_engine_is_not_blamed_for_what_it_reads_last() {
    let gateway = gateway();
    let time_limit = |rank| gateway.prefill_timeout(&prefill_engine(), 8_000, rank, NOW);
    assert!(time_limit(8).is_some());
    assert_eq!(time_limit(9), None);
}

/// Places are taken by requests that need 4 s each.
fn full_decode_engine(requests: u64) -> Forwarder {
    let mut gateway = gateway();
    let chat = Prompt {
        output_tokens: 4_000,
        ..prompt(3, 4, 100)
    };
    gateway.note_slot_time(&decode_engine(), &chat, Millis(4_000));
    gateway.sent_for_decode(&decode_engine(), &chat, 1, NOW);
    let others = backlog(decode_engine(), requests - 1, PriorityCounts::default());
    hear(&mut gateway, &[others]);
    gateway
}

#[test]
fn who_finds_no_place_is_told_when_one_is_free() {
    let work = stream(prompt(1, 2, 100));
    let mut free = full_decode_engine(SLOTS - 1);
    assert_eq!(decide(&mut free, &work, false), Admission::Admit);
    let mut full = full_decode_engine(SLOTS + 10);
    let Admission::Refuse { retry_after, .. } = decide(&mut full, &work, false) else {
        panic!("eleven requests wait before it");
    };
    // One place in 4000 / 48 ms: eleven in 917 ms, at most 0.3 of 2 s are told.
    assert_eq!(retry_after, Millis(600));
    // Who was here before waits for the place.
    assert_eq!(decide(&mut full, &work, true), Admission::Defer);
}

#[test]
fn more_urgent_work_does_not_wait_for_places_of_less_urgent() {
    let mut full = full_decode_engine(SLOTS + 10);
    let mut urgent = stream(prompt(1, 2, 100));
    urgent.priority = 0;
    assert_eq!(decide(&mut full, &urgent, false), Admission::Admit);
}

proptest! {
    /// Whatever is believed, a time to come back is one that callers keep.
    #[test]
    fn the_time_to_come_back_is_bounded(
        queued in 0_u64..10_000_000,
        requests in 0_u64..10_000,
        tokens in 1_u64..1_000_000,
        remaining in 1_u64..20_000,
        is_retry: bool,
    ) {
        let mut gateway = gateway();
        let others = [
            backlog(prefill_engine(), requests, PriorityCounts::at(0, queued)),
            backlog(decode_engine(), requests, PriorityCounts::default()),
        ];
        hear(&mut gateway, &others);
        let arrival = Arrival {
            waited: Millis::ZERO,
            remaining: Millis(remaining),
            deadline: Millis(remaining),
            is_retry,
        };
        let work = stream(prompt(1, 2, tokens));
        let placed = gateway.place_new(&words(), &work, &arrival, NOW);
        let (_, admission) = placed.expect("an engine");
        if let Admission::Refuse { retry_after, .. } = admission {
            prop_assert!(retry_after >= Millis(50));
            prop_assert!(retry_after <= Millis(50).max(Millis(remaining / 3)));
            prop_assert!(queued > 0 || requests > 0, "engines are free");
        }
    }
}

#[test]
fn what_callers_guess_tells_what_others_will_get() {
    let mut gateway = gateway();
    let mut likely = |guess: Option<u64>| {
        let mut prompt = Prompt {
            output_tokens: 1_000,
            likely_output_tokens: guess,
            ..prompt(1, 2, 100)
        };
        gateway.fill_in_likely_output(&words(), &mut prompt);
        prompt.likely_output()
    };
    assert_eq!(likely(None), 1_000, "nobody has guessed yet");
    for _ in 0..1_000 {
        assert_eq!(likely(Some(300)), 300);
    }
    assert_eq!(likely(None), 300);
}

/// A stream that can't be taken up elsewhere is cut where its process ends
/// before it: none is begun that probably lasts longer.
#[rstest]
#[case::shorter(WorkKind::Stream, Some(300), 8_000, false)]
#[case::longer(WorkKind::Stream, Some(700), 8_000, true)]
#[case::nobody_has_an_idea(WorkKind::Stream, None, 8_000, true)]
#[case::a_guess_beyond_the_most(WorkKind::Stream, Some(9_000), 16_000, false)]
#[case::taken_up_elsewhere(WorkKind::ResumableStream, Some(700), 8_000, false)]
#[case::no_prompt(WorkKind::AtMostOnce, None, 8_000, false)]
fn a_stream_outlasts_what_is_left(
    #[case] kind: WorkKind,
    #[case] likely: Option<u64>,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let prompt = Prompt {
        output_tokens: 1_000,
        likely_output_tokens: likely,
        ..Prompt::default()
    };
    let work = work(kind, (kind != WorkKind::AtMostOnce).then_some(prompt));
    assert_eq!(work.outlasts(Millis(15_000), Millis(left_ms)), expected);
}
