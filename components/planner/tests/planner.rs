//! When the planner changes a role, and when it changes nothing.

use garnet_planner::{Engine, Mix, Planner, PlannerSettings, PoolCapacity, RoleChange, Split};
use garnet_types::{BackendId, EngineRole, Millis};
use rstest::rstest;

use EngineRole::{Decode, Prefill};

const CAPACITY: PoolCapacity = PoolCapacity {
    prefill_tokens_per_second: 10_000.0,
    decode_tokens_per_second: 600.0,
    mixed_efficiency: 0.6,
};

/// Long prompts, short answers: three prefill engines are needed.
const PROMPT_HEAVY: Mix = Mix {
    requests: 10.0,
    prompt_bound: 8.0,
    prompt_tokens: 28_000.0,
    output_tokens: 300.0,
};

/// Short prompts, long answers.
const OUTPUT_HEAVY: Mix = Mix {
    requests: 10.0,
    prompt_bound: 2.0,
    prompt_tokens: 3000.0,
    output_tokens: 1900.0,
};

fn engines(roles: &[EngineRole]) -> Vec<Engine> {
    let engine = |(number, role): (usize, &EngineRole)| Engine {
        id: BackendId::new(format!("engine-{number}")),
        role: *role,
        serving: true,
        load: number as u64,
    };
    roles.iter().enumerate().map(engine).collect()
}

fn decide_after(
    planner: &mut Planner,
    mix: Mix,
    engines: &[Engine],
    from: u64,
    until: u64,
) -> Option<RoleChange> {
    for second in from..until {
        planner.observe(mix, Millis::from_secs(second));
    }
    planner.decide(engines, &CAPACITY, Millis::from_secs(until - 1))
}

fn settings(role_change_price: f64) -> PlannerSettings {
    PlannerSettings {
        role_change_price,
        ..PlannerSettings::default()
    }
}

#[rstest]
#[case::more_to_prefill(PROMPT_HEAVY, &[Prefill, Decode, Decode, Decode, Decode], Some(Prefill))]
#[case::more_to_decode(OUTPUT_HEAVY, &[Prefill, Prefill, Prefill, Decode, Decode], Some(Decode))]
#[case::fits_already(OUTPUT_HEAVY, &[Prefill, Decode, Decode, Decode, Decode], None)]
fn the_split_follows_a_lasting_mix(
    #[case] mix: Mix,
    #[case] roles: &[EngineRole],
    #[case] to: Option<EngineRole>,
) {
    let mut planner = Planner::new(settings(5.0));
    let change = decide_after(&mut planner, mix, &engines(roles), 0, 120);
    assert_eq!(change.map(|change| change.to), to);
}

#[test]
fn the_least_loaded_engine_changes() {
    let mut planner = Planner::new(settings(5.0));
    let fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    let change = decide_after(&mut planner, PROMPT_HEAVY, &fleet, 0, 120);
    assert_eq!(change.map(|one| one.engine.0), Some("engine-1".to_owned()));
}

#[rstest]
#[case(&[Prefill, Decode])]
#[case(&[Prefill])]
#[case(&[])]
fn the_last_engine_of_a_role_stays(#[case] roles: &[EngineRole]) {
    let mut planner = Planner::new(settings(0.0));
    let change = decide_after(&mut planner, PROMPT_HEAVY, &engines(roles), 0, 120);
    assert_eq!(change, None);
}

#[test]
fn nothing_changes_while_an_engine_is_out_of_service() {
    let mut planner = Planner::new(settings(5.0));
    let mut fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    fleet[4].serving = false;
    assert_eq!(
        decide_after(&mut planner, PROMPT_HEAVY, &fleet, 0, 120),
        None
    );
}

#[test]
fn without_recent_load_figures_nothing_changes() {
    let mut planner = Planner::new(settings(5.0));
    let fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    assert_eq!(planner.decide(&fleet, &CAPACITY, Millis(0)), None);
    for second in 0..120 {
        planner.observe(PROMPT_HEAVY, Millis::from_secs(second));
    }
    let later = Millis::from_secs(130);
    assert_eq!(planner.decide(&fleet, &CAPACITY, later), None);
}

/// A short swing of the load changes a role if the price of a change is low, but not if it is
/// high.
#[test]
fn a_short_swing_changes_nothing_if_the_price_is_high() {
    let fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    let mut cheap = Planner::new(settings(2.0));
    let mut expensive = Planner::new(settings(400.0));
    for planner in [&mut cheap, &mut expensive] {
        decide_after(planner, OUTPUT_HEAVY, &fleet, 0, 120);
    }
    let swing = |planner: &mut Planner| decide_after(planner, PROMPT_HEAVY, &fleet, 120, 128);
    assert!(swing(&mut cheap).is_some());
    assert_eq!(swing(&mut expensive), None);
}

/// If the only engine of a phase is lost, another engine takes its role at once, regardless of
/// averages and price and without waiting for the lost engine.
#[test]
fn a_phase_without_an_engine_is_restored_at_once() {
    let mut planner = Planner::new(settings(400.0));
    let mut fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    fleet[0].serving = false;
    planner.observe(OUTPUT_HEAVY, Millis(0));
    let change = planner.decide(&fleet, &CAPACITY, Millis(0));
    let expected = RoleChange {
        engine: BackendId::new("engine-1"),
        to: Prefill,
    };
    assert_eq!(change, Some(expected));
    planner.observe(OUTPUT_HEAVY, Millis(1000));
    let again = planner.decide(&fleet, &CAPACITY, Millis(1000));
    assert_eq!(again, None, "the first change is under way");
}

/// The lost engine has returned with its initial role, so that all engines have the same one.
#[test]
fn a_pool_without_a_phase_gets_it() {
    let mut planner = Planner::new(settings(400.0));
    let fleet = engines(&[Decode, Decode, Decode]);
    planner.observe(OUTPUT_HEAVY, Millis(0));
    let change = planner.decide(&fleet, &CAPACITY, Millis(0));
    assert_eq!(change.map(|change| change.to), Some(Prefill));
}

#[test]
fn the_last_engine_of_the_other_phase_is_not_taken_to_restore_one() {
    let mut planner = Planner::new(settings(0.0));
    let mut fleet = engines(&[Prefill, Decode]);
    fleet[0].serving = false;
    planner.observe(OUTPUT_HEAVY, Millis(0));
    assert_eq!(planner.decide(&fleet, &CAPACITY, Millis(0)), None);
}

#[test]
fn two_changes_keep_the_minimum_interval() {
    let mut planner = Planner::new(settings(2.0));
    let fleet = engines(&[Prefill, Decode, Decode, Decode, Decode]);
    assert!(decide_after(&mut planner, PROMPT_HEAVY, &fleet, 0, 60).is_some());
    assert_eq!(
        decide_after(&mut planner, PROMPT_HEAVY, &fleet, 60, 62),
        None
    );
    assert!(decide_after(&mut planner, PROMPT_HEAVY, &fleet, 62, 80).is_some());
}

#[test]
fn a_split_never_leaves_a_phase_without_an_engine() {
    let split = Split {
        prefill: 1,
        decode: 1,
        mixed: 0,
    };
    assert_eq!(split.after(Prefill, Decode), None);
    let with_mixed = Split { mixed: 1, ..split };
    assert!(with_mixed.after(Prefill, Decode).is_some());
}
