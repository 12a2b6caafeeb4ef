//! Cost and choice of an engine, and the load estimate behind them.

use garnet_routing::{
    Candidate, EngineEstimate, InFlightWork, LoadReport, WorkShape, choose, predict_first_token,
};
use garnet_types::{BackendId, BuildId, EngineCapacity, EngineRole, Millis};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn report(queued_prompt_tokens: u64, active_sequences: u64) -> LoadReport {
    LoadReport {
        build: BuildId::default(),
        incarnation: 1,
        role: EngineRole::Mixed,
        accepting: true,
        queued_prompt_tokens,
        active_sequences,
        age_ms: 300,
        capacity: EngineCapacity::default(),
        cache_events: Vec::new(),
    }
}

fn work(prompt_tokens: u64) -> WorkShape {
    WorkShape {
        prompt_tokens,
        output_tokens: 100,
        ..WorkShape::default()
    }
}

fn candidate(number: u64, predicted: u64) -> Candidate {
    Candidate {
        backend: BackendId::new(format!("engine-{number:03}")),
        predicted: Millis(predicted),
    }
}

// 10,000 prompt tokens a second, 16 slots, steps of 25 ms, 4 ms for 1,000
// transferred tokens.
#[rstest]
#[case::idle(0, 0, WorkShape { prompt_tokens: 1000, ..WorkShape::default() }, 125)]
#[case::queued_prompts(2000, 0, WorkShape { prompt_tokens: 1000, ..WorkShape::default() }, 325)]
#[case::cached(0, 0, WorkShape { prompt_tokens: 1000, cached_tokens: 640, ..WorkShape::default() }, 61)]
#[case::transferred(0, 0, WorkShape { prompt_tokens: 1000, transferred_tokens: 1000, ..WorkShape::default() }, 29)]
#[case::full_slots(0, 16, WorkShape { output_tokens: 64, ..WorkShape::default() }, 125)]
fn the_first_token_is_predicted(
    #[case] queued: u64,
    #[case] active: u64,
    #[case] work: WorkShape,
    #[case] expected: u64,
) {
    let mut estimate = EngineEstimate::<u64>::default();
    estimate.observe(&report(queued, active), Millis(1000));
    let measured_at = Millis(700);
    let predicted = predict_first_token(&estimate.snapshot(measured_at), &work);
    assert_eq!(predicted, Millis(expected));
}

/// An old report must not make an engine look idle that was just sent work.
#[test]
fn own_work_sent_after_a_report_counts() {
    let mut estimate = EngineEstimate::<u64>::default();
    let own = InFlightWork {
        prompt_tokens: 5000,
        decodes: true,
        sent_at: Millis(900),
        prefilled: false,
    };
    estimate.sent(1, own);
    estimate.sent(2, own);
    estimate.observe(&report(0, 0), Millis(1000));
    let predicted = predict_first_token(&estimate.snapshot(Millis(1000)), &work(100));
    assert!(predicted >= Millis(500), "{predicted:?}");
    estimate.ended(&1);
    estimate.ended(&2);
    let predicted = predict_first_token(&estimate.snapshot(Millis(1000)), &work(100));
    assert!(predicted < Millis(100), "{predicted:?}");
}

#[test]
fn a_report_older_than_the_last_one_is_ignored() {
    let mut estimate = EngineEstimate::<u64>::default();
    estimate.observe(&report(8000, 3), Millis(2000));
    estimate.observe(&report(0, 0), Millis(1500));
    assert_eq!(estimate.snapshot(Millis(1700)).active_sequences, 3.0);
}

#[test]
fn the_best_of_few_engines_is_chosen() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let candidates = [candidate(0, 40), candidate(1, 10), candidate(2, 20)];
    let chosen = choose(&candidates, &mut random).map(|one| one.backend);
    assert_eq!(chosen, Some(BackendId::new("engine-001")));
    assert_eq!(choose(&[], &mut random), None);
}

/// The better of two random engines: choices don't concentrate on one engine that looks idle, and
/// never fall on the worst.
#[test]
fn choices_among_many_engines_spread_and_avoid_the_worst() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let candidates: Vec<Candidate> = (0..50).map(|number| candidate(number, number)).collect();
    let mut taken = [0_u32; 50];
    for _ in 0..2000 {
        let chosen = choose(&candidates, &mut random).expect("there are candidates");
        taken[chosen.predicted.0 as usize] += 1;
    }
    assert_eq!(taken[49], 0, "the worst loses every comparison");
    assert!(taken[0] < 200, "the best is not flooded: {}", taken[0]);
}
