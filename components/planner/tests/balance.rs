//! How many engines read, from how occupied both phases are.

use garnet_planner::{BalanceSettings, PhaseOccupancy, initial_readers, wanted_readers};
use proptest::prelude::*;
use rstest::rstest;

fn occupancy(readers: usize, generators: usize, reading: f64, generating: f64) -> PhaseOccupancy {
    PhaseOccupancy {
        readers,
        generators,
        reading,
        generating,
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
    assert_eq!(wanted_readers(&seen, &BalanceSettings::default()), wanted);
}

/// Decode engines run many requests at once: nobody waits for a place while one
/// in ten is free.
#[rstest]
#[case::most_places_are_taken(0.8, 0.85, 8)]
#[case::prefill_is_short(0.9, 0.5, 9)]
#[case::all_places_are_taken(0.3, 1.2, 7)]
fn a_full_batch_is_no_queue(#[case] reading: f64, #[case] generating: f64, #[case] wanted: usize) {
    let seen = PhaseOccupancy {
        places: 4.0 * 48.0,
        ..occupancy(8, 4, reading, generating)
    };
    assert_eq!(wanted_readers(&seen, &BalanceSettings::default()), wanted);
}

#[rstest]
#[case(9, 6)]
#[case(2, 1)]
#[case(1, 0)]
#[case(0, 0)]
#[case(90, 60)]
fn readers_before_any_load(#[case] engines: usize, #[case] readers: usize) {
    assert_eq!(
        initial_readers(engines, &BalanceSettings::default()),
        readers
    );
}

proptest! {
    /// Both phases stay served, and a change that was worth it is not taken
    /// back under the same load.
    #[test]
    fn no_flapping(readers in 1_usize..40, generators in 1_usize..40, reading in 0.0_f64..2.0, generating in 0.0_f64..2.0) {
        let settings = BalanceSettings::default();
        let before = occupancy(readers, generators, reading, generating);
        let wanted = wanted_readers(&before, &settings);
        prop_assert!(wanted >= 1 && wanted < readers + generators);
        let rest = readers + generators - wanted;
        let after = occupancy(
            wanted,
            rest,
            reading * readers as f64 / wanted as f64,
            generating * generators as f64 / rest as f64,
        );
        let next = wanted_readers(&after, &settings);
        if wanted > readers {
            prop_assert!(next >= wanted);
        }
        if wanted < readers {
            prop_assert!(next <= wanted);
        }
    }
}
