//! Requests are sent, deferred or refused by their predicted times.

use garnet_control::{Backlog, PriorityCounts, WatchUpdate};
use garnet_forwarding::{Admission, Arrival, Forwarder, Prompt, Work};
use garnet_routes::{EngineLimits, RouteTable, ServiceSettings, WorkKind};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::{
    NOW, configuration, empty_forwarder, prompt, receive_digest, record, table, work,
};

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

/// A gateway before one prefill engine and one decode engine, with a learned prefill
/// pace.
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
fn free_engines_refuse_nothing() {
    let mut gateway = gateway();
    // Ten seconds of prefill, with an objective of half a second.
    let large = stream(prompt(1, 2, 1_000_000));
    assert_eq!(decide(&mut gateway, &large, false), Admission::Admit);
}

/// The objective is 500 ms, and callers wait for 2 s.
#[rstest]
#[case::short_queue(30_000, Admission::Admit)]
#[case::late(100_000, Admission::Defer)]
fn late_prompts_are_prefilled_after_the_rest(#[case] queued: u64, #[case] expected: Admission) {
    let mut gateway = gateway();
    let peers = backlog(prefill_engine(), 9, PriorityCounts::at(0, queued));
    receive_digest(&mut gateway, &[peers]);
    let work = stream(prompt(1, 2, 8_000));
    assert_eq!(decide(&mut gateway, &work, false), expected);
    assert_eq!(decide(&mut gateway, &work, true), expected);
}

#[test]
fn prompts_queued_behind_delay_no_other() {
    let mut gateway = gateway();
    let peers = backlog(prefill_engine(), 9, PriorityCounts::at(9, 100_000));
    receive_digest(&mut gateway, &[peers]);
    let work = stream(prompt(1, 2, 8_000));
    assert_eq!(decide(&mut gateway, &work, false), Admission::Admit);
}

#[test]
fn a_request_that_would_time_out_is_refused_with_a_retry_time() {
    let mut gateway = gateway();
    let peers = backlog(prefill_engine(), 9, PriorityCounts::at(0, 300_000));
    receive_digest(&mut gateway, &[peers]);
    let work = stream(prompt(1, 2, 8_000));
    let Admission::Refuse { retry_after, .. } = decide(&mut gateway, &work, true) else {
        panic!("three seconds are queued");
    };
    assert_eq!(
        retry_after,
        Millis(600),
        "at most 0.3 of the remaining time"
    );
}

#[test]
fn deferred_prefills_have_no_timeout() {
    let gateway = gateway();
    let time_limit =
        |engine_priority| gateway.prefill_timeout(&prefill_engine(), 8_000, engine_priority, NOW);
    assert!(time_limit(8).is_some());
    assert_eq!(time_limit(9), None);
}

/// All slots are held by requests that need 4 s each.
fn full_decode_engine(requests: u64) -> Forwarder {
    let mut gateway = gateway();
    let chat = Prompt {
        output_tokens: 4_000,
        ..prompt(3, 4, 100)
    };
    gateway.note_slot_time(&decode_engine(), &chat, Millis(4_000));
    gateway.sent_for_decode(&decode_engine(), &chat, 1, NOW);
    let peers = backlog(decode_engine(), requests - 1, PriorityCounts::default());
    receive_digest(&mut gateway, &[peers]);
    gateway
}

#[test]
fn callers_without_a_slot_are_told_when_to_retry() {
    let work = stream(prompt(1, 2, 100));
    let mut free = full_decode_engine(SLOTS - 1);
    assert_eq!(decide(&mut free, &work, false), Admission::Admit);
    let mut full = full_decode_engine(SLOTS + 10);
    let Admission::Refuse { retry_after, .. } = decide(&mut full, &work, false) else {
        panic!("eleven requests wait before it");
    };
    // A slot is released every 4000 / 48 ms: eleven take 917 ms; the retry time is at
    // most 0.3 of the 2 s.
    assert_eq!(retry_after, Millis(600));
    // A caller that retried waits for the slot.
    assert_eq!(decide(&mut full, &work, true), Admission::Defer);
}

#[test]
fn urgent_work_does_not_wait_behind_less_urgent_work() {
    let mut full = full_decode_engine(SLOTS + 10);
    let mut urgent = stream(prompt(1, 2, 100));
    urgent.priority = 0;
    assert_eq!(decide(&mut full, &urgent, false), Admission::Admit);
}

proptest! {
    /// For any estimate, the retry time is one that callers can keep.
    #[test]
    fn the_retry_time_is_bounded(
        queued in 0_u64..10_000_000,
        requests in 0_u64..10_000,
        tokens in 1_u64..1_000_000,
        remaining in 1_u64..20_000,
        is_retry: bool,
    ) {
        let mut gateway = gateway();
        let peers = [
            backlog(prefill_engine(), requests, PriorityCounts::at(0, queued)),
            backlog(decode_engine(), requests, PriorityCounts::default()),
        ];
        receive_digest(&mut gateway, &peers);
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
fn output_guesses_predict_the_output_of_others() {
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
    assert_eq!(likely(None), 1_000, "no caller has guessed yet");
    for _ in 0..1_000 {
        assert_eq!(likely(Some(300)), 300);
    }
    assert_eq!(likely(None), 300);
}

/// A stream that can't be resumed elsewhere is cut when its gateway process ends, so none
/// is begun that probably lasts longer. A request of an unknown length may take all of its time.
#[rstest]
#[case::shorter(WorkKind::Stream, Some(300), 8_000, false)]
#[case::longer(WorkKind::Stream, Some(700), 8_000, true)]
#[case::no_guess(WorkKind::Stream, None, 8_000, true)]
#[case::a_guess_beyond_the_maximum(WorkKind::Stream, Some(9_000), 16_000, false)]
#[case::resumable(WorkKind::ResumableStream, Some(700), 8_000, false)]
#[case::no_prompt(WorkKind::AtMostOnce, None, 8_000, true)]
#[case::no_prompt_in_time(WorkKind::AtMostOnce, None, 15_000, false)]
fn a_stream_outlasts_the_remaining_time(
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
    let outlasts = work.outlasts(Millis(15_000), Millis(left_ms), None);
    assert_eq!(outlasts, expected);
}

/// Requests were begun during a stop that usually took longer than the process had left.
#[rstest]
#[case::longer(WorkKind::AtMostOnce, None, 15_000, 6_500, 6_000, true)]
#[case::shorter(WorkKind::AtMostOnce, None, 15_000, 900, 6_000, false)]
#[case::repeatable(WorkKind::Repeatable, None, 15_000, 6_500, 6_000, true)]
#[case::the_caller_gives_up_before(WorkKind::AtMostOnce, None, 5_000, 6_500, 6_000, false)]
#[case::no_time_left(WorkKind::Repeatable, None, 15_000, 0, 0, true)]
#[case::stream_without_prompt(WorkKind::Stream, None, 15_000, 6_500, 6_000, true)]
#[case::stream_of_a_long_output(WorkKind::Stream, Some(700), 15_000, 6_500, 6_000, true)]
#[case::stream_of_quick_tokens(WorkKind::Stream, Some(700), 15_000, 900, 8_000, false)]
#[case::resumable_without_prompt(WorkKind::ResumableStream, None, 15_000, 6_500, 6_000, true)]
#[case::resumable_and_long(WorkKind::ResumableStream, Some(700), 15_000, 6_500, 6_000, true)]
#[case::resumable_usually_short(WorkKind::ResumableStream, Some(700), 15_000, 900, 6_000, false)]
#[case::resumable_of_slow_tokens(WorkKind::ResumableStream, Some(300), 15_000, 6_500, 6_000, true)]
fn a_request_outlasts_the_remaining_time_by_the_usual_time_of_its_route(
    #[case] kind: WorkKind,
    #[case] likely: Option<u64>,
    #[case] remaining_ms: u64,
    #[case] usual_ms: u64,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let prompt = likely.map(|likely| Prompt {
        output_tokens: 1_000,
        likely_output_tokens: Some(likely),
        ..Prompt::default()
    });
    let work = work(kind, prompt);
    let usual = Some(Millis(usual_ms));
    let outlasts = work.outlasts(Millis(remaining_ms), Millis(left_ms), usual);
    assert_eq!(outlasts, expected);
}

/// One request in eight of a route may take longer than the usual time. Requests that ended without
/// an answer count only if they lasted longer than that: where none was answered, the time after
/// which one was given up is no time within which others are answered.
#[test]
fn the_usual_time_of_a_route_is_learned_from_its_requests() {
    let mut gateway = empty_forwarder();
    let usual = |gateway: &Forwarder| gateway.usual_answer_time("r", None);
    assert_eq!(usual(&gateway), None);
    gateway.note_unfinished("r", None, Millis(700));
    assert_eq!(usual(&gateway), None);
    gateway.note_answer_time("r", None, Millis(1));
    gateway.note_unfinished("r", None, Millis(700));
    assert_eq!(usual(&gateway), Some(Millis(700)));
    for took_ms in 1..=32 {
        gateway.note_answer_time("r", None, Millis(took_ms));
    }
    assert_eq!(usual(&gateway), Some(Millis(28)));
    gateway.note_unfinished("r", None, Millis(5));
    assert_eq!(usual(&gateway), Some(Millis(28)));
    for _ in 0..5 {
        gateway.note_unfinished("r", None, Millis(7_000));
    }
    assert_eq!(usual(&gateway), Some(Millis(7_000)));
    assert_eq!(gateway.usual_answer_time("other", None), None);
}

/// Streams were taken to need a fixed part of their callers' time, however quickly the engines of
/// the service generate.
#[test]
fn the_usual_time_of_a_stream_follows_from_its_likely_output() {
    let mut gateway = empty_forwarder();
    let prompt = |likely: u64, most: u64| Prompt {
        output_tokens: most,
        likely_output_tokens: Some(likely),
        ..prompt(1, 2, 100)
    };
    let usual = |gateway: &Forwarder, likely, most| {
        gateway.usual_answer_time("r", Some(&prompt(likely, most)))
    };
    assert_eq!(usual(&gateway, 100, 1_000), None);
    for _ in 0..40 {
        gateway.note_answer_time("r", Some(&prompt(100, 1_000)), Millis(2_000));
    }
    // Twice the likely output, each token with a fourth more than its mean time.
    assert_eq!(usual(&gateway, 100, 1_000), Some(Millis(5_000)));
    assert_eq!(usual(&gateway, 10, 1_000), Some(Millis(500)));
    // No more than the maximum output.
    assert_eq!(usual(&gateway, 900, 1_000), Some(Millis(25_000)));
}
