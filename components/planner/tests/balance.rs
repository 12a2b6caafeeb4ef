//! The number of prefill engines that follows from the occupancy of both phases.

use garnet_planner::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, target_prefill_engines,
};
use proptest::prelude::*;
use rstest::rstest;

fn occupancy(
    prefill_engines: usize,
    decode_engines: usize,
    prefill: f64,
    decode: f64,
) -> PhaseOccupancy {
    PhaseOccupancy {
        prefill_engines,
        decode_engines,
        prefill,
        decode,
        decode_slots: 1.0,
    }
}

#[rstest]
#[case::quiet(occupancy(4, 5, 0.2, 0.1), 4)]
#[case::prefill_is_short_of_engines(occupancy(4, 5, 0.9, 0.1), 5)]
#[case::decode_is_short_of_engines(occupancy(6, 3, 0.2, 0.95), 5)]
#[case::both_are_short_of_engines(occupancy(4, 5, 0.9, 0.9), 4)]
#[case::the_last_decode_engine_stays(occupancy(8, 1, 0.9, 0.1), 8)]
#[case::the_last_prefill_engine_stays(occupancy(1, 8, 0.1, 0.9), 1)]
fn target_number_of_prefill_engines(#[case] load: PhaseOccupancy, #[case] target: usize) {
    assert_eq!(
        target_prefill_engines(&load, &BalanceSettings::default()),
        target
    );
}

/// Decode engines run many requests at once: no request waits for a slot while one in ten is
/// free.
#[rstest]
#[case::most_slots_are_used(0.8, 0.85, 8)]
#[case::prefill_is_short(0.9, 0.5, 9)]
#[case::all_slots_are_used(0.3, 1.2, 7)]
fn a_full_batch_does_not_queue_requests(
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] target: usize,
) {
    let load = PhaseOccupancy {
        decode_slots: 4.0 * 48.0,
        ..occupancy(8, 4, prefill, decode)
    };
    assert_eq!(
        target_prefill_engines(&load, &BalanceSettings::default()),
        target
    );
}

/// In a large pool a single engine makes no difference that is worth a change, so the number
/// changes by steps.
#[rstest]
#[case::prefill_is_short(0.7, 0.4, 120)]
#[case::decode_is_short(0.3, 1.1, 94)]
#[case::quiet(0.3, 0.3, 107)]
fn a_large_pool_changes_by_steps(#[case] prefill: f64, #[case] decode: f64, #[case] target: usize) {
    let load = PhaseOccupancy {
        decode_slots: 53.0 * 24.0,
        ..occupancy(107, 53, prefill, decode)
    };
    assert_eq!(
        target_prefill_engines(&load, &BalanceSettings::default()),
        target
    );
}

/// A small phase loses only a few engines in a step, because the load of its remaining engines
/// grows faster than in proportion.
#[rstest]
#[case::few_decode_engines(133, 27, 0.7, 0.42, 139)]
#[case::few_prefill_engines(24, 136, 0.3, 1.1, 18)]
fn a_small_phase_loses_a_quarter_at_most(
    #[case] prefill_engines: usize,
    #[case] decode_engines: usize,
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] target: usize,
) {
    let load = PhaseOccupancy {
        decode_slots: decode_engines as f64 * 24.0,
        ..occupancy(prefill_engines, decode_engines, prefill, decode)
    };
    let settings = BalanceSettings {
        max_congestion_ratio: 1.0,
        ..BalanceSettings::default()
    };
    assert_eq!(target_prefill_engines(&load, &settings), target);
}

#[rstest]
#[case(9, 6)]
#[case(2, 1)]
#[case(1, 0)]
#[case(0, 0)]
#[case(90, 60)]
fn prefill_engines_before_any_load(#[case] engines: usize, #[case] prefill_engines: usize) {
    assert_eq!(
        initial_prefill_engines(engines, 0, &BalanceSettings::default()),
        prefill_engines
    );
}

proptest! {
    /// Both phases keep an engine, and a change is not reversed under the same load.
    #[test]
    fn no_oscillation(prefill_engines in 1_usize..40, decode_engines in 1_usize..40, prefill in 0.0_f64..2.0, decode in 0.0_f64..2.0) {
        let settings = BalanceSettings::default();
        let before = occupancy(prefill_engines, decode_engines, prefill, decode);
        let target = target_prefill_engines(&before, &settings);
        prop_assert!(target >= 1 && target < prefill_engines + decode_engines);
        let rest = prefill_engines + decode_engines - target;
        let after = occupancy(
            target,
            rest,
            prefill * prefill_engines as f64 / target as f64,
            decode * decode_engines as f64 / rest as f64,
        );
        let next = target_prefill_engines(&after, &settings);
        if target > prefill_engines {
            prop_assert!(next >= target);
        }
        if target < prefill_engines {
            prop_assert!(next <= target);
        }
    }
}

/// Found by `no_oscillation`: a change of roles is reversed under the same load.
#[test]
fn a_single_decode_engine_under_load_is_no_reason_to_oscillate() {
    let settings = BalanceSettings::default();
    let (prefill, decode) = (0.8634292510163317, 1.9563979627756867);
    let target = target_prefill_engines(&occupancy(35, 1, prefill, decode), &settings);
    let rest = 36 - target;
    let after = occupancy(
        target,
        rest,
        prefill * 35.0 / target as f64,
        decode / rest as f64,
    );
    let next = target_prefill_engines(&after, &settings);
    assert!(target < 35 && next <= target, "{target}, then {next}");
}
