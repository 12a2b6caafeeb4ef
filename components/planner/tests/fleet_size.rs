//! How many engines of which kind each zone shall have.

use garnet_planner::{FleetTerms, ZoneFleet, wanted_fleet};
use proptest::prelude::*;
use rstest::rstest;

const TERMS: FleetTerms = FleetTerms {
    least_in_zone: 1,
    most_in_zone: 94,
    preemptible_price: Some(0.2),
};

fn zone(dedicated: u32, preemptible: u32) -> ZoneFleet {
    ZoneFleet {
        dedicated,
        preemptible,
    }
}

#[rstest]
#[case::none_are_offered(FleetTerms { preemptible_price: None, ..TERMS }, 30, 3)]
#[case::as_dear_with_the_reserve(FleetTerms { preemptible_price: Some(0.67), ..TERMS }, 30, 3)]
#[case::one_zone(TERMS, 30, 1)]
#[case::no_room_for_the_reserve(FleetTerms { most_in_zone: 14, ..TERMS }, 30, 3)]
#[case::nothing_is_needed(TERMS, 0, 3)]
fn the_fleet_stays_as_it_is(#[case] terms: FleetTerms, #[case] needed: u32, #[case] zones: usize) {
    assert_eq!(
        wanted_fleet(needed, &terms, &vec![zone(10, 0); zones]),
        None
    );
}

#[test]
fn dedicated_engines_stay_until_as_many_others_serve_as_are_needed() {
    let before = [zone(10, 9), zone(10, 10), zone(10, 10)];
    let wanted = wanted_fleet(30, &TERMS, &before).expect("a plan");
    assert_eq!(wanted, vec![zone(10, 15); 3]);
    let before = [zone(10, 10); 3];
    let wanted = wanted_fleet(30, &TERMS, &before).expect("a plan");
    assert_eq!(wanted, vec![zone(0, 15); 3]);
}

/// Both kinds together keep to the limit of a zone while one replaces the
/// other.
#[test]
fn the_limit_of_a_zone_holds_for_both_kinds() {
    let wanted = wanted_fleet(140, &TERMS, &[zone(47, 0), zone(47, 0), zone(46, 0)]);
    let wanted = wanted.expect("a plan");
    assert_eq!(wanted, [zone(47, 47), zone(47, 47), zone(46, 48)]);
    let wanted = wanted_fleet(140, &TERMS, &[zone(0, 47), zone(0, 47), zone(0, 48)]);
    assert_eq!(wanted, Some(vec![zone(0, 70); 3]));
}

/// After a zone was lost the rest stays as it is, and the zone is filled again.
#[test]
fn a_zone_that_was_taken_away_is_filled_again() {
    let wanted = wanted_fleet(30, &TERMS, &[zone(0, 0), zone(0, 15), zone(0, 15)]);
    assert_eq!(wanted, Some(vec![zone(0, 15); 3]));
}

proptest! {
    /// Whatever is there: a plan bears the loss of any zone, keeps to the
    /// limits, and costs less than what is needed in dedicated engines.
    #[test]
    fn a_plan_bears_the_loss_of_a_zone(
        needed in 1_u32..300,
        price in 0.05_f64..1.0,
        most in 1_u32..200,
        zones in proptest::collection::vec((0_u32..100, 0_u32..100), 1..6),
    ) {
        let terms = FleetTerms {
            least_in_zone: 1.min(most),
            most_in_zone: most,
            preemptible_price: Some(price),
        };
        let present: Vec<_> = zones.iter().map(|(d, p)| zone(*d, *p)).collect();
        if let Some(wanted) = wanted_fleet(needed, &terms, &present) {
            let serving: u32 = present.iter().map(|zone| zone.preemptible).sum();
            for (wanted, present) in wanted.iter().zip(&present) {
                prop_assert!(wanted.preemptible <= most);
                prop_assert!(present.dedicated > most || wanted.preemptible + present.dedicated <= most);
                let gives_back = serving >= needed;
                prop_assert_eq!(wanted.dedicated, if gives_back { 0 } else { present.dedicated });
            }
            let fresh = vec![ZoneFleet::default(); present.len()];
            let all = wanted_fleet(needed, &terms, &fresh).expect("it does not hang on what is there");
            let total: u32 = all.iter().map(|zone| zone.preemptible).sum();
            let largest = all.iter().map(|zone| zone.preemptible).max().unwrap_or_default();
            prop_assert!(total - largest >= needed);
            prop_assert!(f64::from(total) * price < f64::from(needed) || total == all.len() as u32);
        }
    }
}
