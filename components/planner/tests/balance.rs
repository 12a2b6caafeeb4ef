//! How many engines read, from how occupied both phases are.

use garnet_planner::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, wanted_prefill_engines,
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
        places: 1.0,
    }
}

#[rstest]
#[case::quiet(occupancy(4, 5, 0.2, 0.1), 4)]
#[case::readers_are_short(occupancy(4, 5, 0.9, 0.1), 5)]
#[case::generators_are_short(occupancy(6, 3, 0.2, 0.95), 5)]
#[case::both_are_short(occupancy(4, 5, 0.9, 0.9), 4)]
#[case::the_last_generator_stays(occupancy(8, 1, 0.9, 0.1), 8)]
#[case::the_last_reader_stays(occupancy(1, 8, 0.1, 0.9), 1)]
fn readers_that_are_wanted(#[case] seen: PhaseOccupancy, #[case] wanted: usize) {
    assert_eq!(
        wanted_prefill_engines(&seen, &BalanceSettings::default()),
        wanted
    );
}

/// Decode engines run many requests at once: nobody waits for a place while one
/// in ten is free.
#[rstest]
#[case::most_places_are_taken(0.8, 0.85, 8)]
#[case::prefill_is_short(0.9, 0.5, 9)]
#[case::all_places_are_taken(0.3, 1.2, 7)]
fn a_full_batch_is_no_queue(#[case] prefill: f64, #[case] decode: f64, #[case] wanted: usize) {
    let seen = PhaseOccupancy {
        places: 4.0 * 48.0,
        ..occupancy(8, 4, prefill, decode)
    };
    assert_eq!(
        wanted_prefill_engines(&seen, &BalanceSettings::default()),
        wanted
    );
}

/// In a large pool one engine more changes nothing that is worth a change; a
/// step does.
#[rstest]
#[case::prefill_is_short(0.7, 0.4, 120)]
#[case::decode_is_short(0.3, 1.1, 94)]
#[case::quiet(0.3, 0.3, 107)]
fn a_large_pool_moves_by_steps(#[case] prefill: f64, #[case] decode: f64, #[case] wanted: usize) {
    let seen = PhaseOccupancy {
        places: 53.0 * 24.0,
        ..occupancy(107, 53, prefill, decode)
    };
    assert_eq!(
        wanted_prefill_engines(&seen, &BalanceSettings::default()),
        wanted
    );
}

/// A phase that has become small is not taken apart in one step: what its rest has
/// to do grows faster than in proportion.
#[rstest]
#[case::few_decode_engines(133, 27, 0.7, 0.42, 139)]
#[case::few_prefill_engines(24, 136, 0.3, 1.1, 18)]
fn a_small_phase_loses_a_quarter_at_most(
    #[case] prefill_engines: usize,
    #[case] decode_engines: usize,
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] wanted: usize,
) {
    let seen = PhaseOccupancy {
        places: decode_engines as f64 * 24.0,
        ..occupancy(prefill_engines, decode_engines, prefill, decode)
    };
    let settings = BalanceSettings {
        worthwhile: 1.0,
        ..BalanceSettings::default()
    };
    assert_eq!(wanted_prefill_engines(&seen, &settings), wanted);
}

#[rstest]
#[case(9, 6)]
#[case(2, 1)]
#[case(1, 0)]
#[case(0, 0)]
#[case(90, 60)]
fn readers_before_any_load(#[case] engines: usize, #[case] prefill_engines: usize) {
    assert_eq!(
        initial_prefill_engines(engines, 0, &BalanceSettings::default()),
        prefill_engines
    );
}

proptest! {
    /// Both phases stay served, and a change that was worth it is not taken
    /// back under the same load.
    #[test]
    fn no_flapping(prefill_engines in 1_usize..40, decode_engines in 1_usize..40, prefill in 0.0_f64..2.0, decode in 0.0_f64..2.0) {
        let settings = BalanceSettings::default();
        let before = occupancy(prefill_engines, decode_engines, prefill, decode);
        let wanted = wanted_prefill_engines(&before, &settings);
        prop_assert!(wanted >= 1 && wanted < prefill_engines + decode_engines);
        let rest = prefill_engines + decode_engines - wanted;
        let after = occupancy(
            wanted,
            rest,
            prefill * prefill_engines as f64 / wanted as f64,
            decode * decode_engines as f64 / rest as f64,
        );
        let next = wanted_prefill_engines(&after, &settings);
        if wanted > prefill_engines {
            prop_assert!(next >= wanted);
        }
        if wanted < prefill_engines {
            prop_assert!(next <= wanted);
        }
    }
}
