//! The number of dedicated and preemptible engines in each zone.

use garnet_planner::{FleetConstraints, ZoneFleet, target_fleet};
use proptest::prelude::*;
use rstest::rstest;

const CONSTRAINTS: FleetConstraints = FleetConstraints {
    min_per_zone: 1,
    max_per_zone: 94,
    preemptible_price: Some(0.2),
};

fn zone(dedicated: u32, preemptible: u32) -> ZoneFleet {
    ZoneFleet {
        dedicated,
        preemptible,
    }
}

#[rstest]
#[case::no_preemptible_engines_are_offered(FleetConstraints { preemptible_price: None, ..CONSTRAINTS }, 30, 3)]
#[case::the_reserve_is_too_expensive(FleetConstraints { preemptible_price: Some(0.34), ..CONSTRAINTS }, 30, 3)]
#[case::one_zone(CONSTRAINTS, 30, 1)]
#[case::no_room_for_the_reserve(FleetConstraints { max_per_zone: 14, ..CONSTRAINTS }, 30, 3)]
#[case::nothing_is_needed(CONSTRAINTS, 0, 3)]
fn the_fleet_stays_as_it_is(
    #[case] constraints: FleetConstraints,
    #[case] needed: u32,
    #[case] zones: usize,
) {
    assert_eq!(
        target_fleet(needed, &constraints, &vec![zone(10, 0); zones]),
        None
    );
}

/// The cheaper preemptible engines are, the more lost zones the reserve covers.
#[rstest]
#[case::two_of_three(0.15, 94, 3, 30)]
#[case::one_of_three(0.2, 94, 3, 15)]
#[case::two_limited_by_the_zone_maximum(0.15, 20, 3, 20)]
#[case::three_of_four(0.12, 94, 4, 30)]
#[case::two_of_four(0.2, 94, 4, 15)]
#[case::one_of_two(0.2, 94, 2, 30)]
fn the_reserve_is_as_large_as_its_price_allows(
    #[case] price: f64,
    #[case] zone_maximum: u32,
    #[case] zones: usize,
    #[case] per_zone: u32,
) {
    let constraints = FleetConstraints {
        preemptible_price: Some(price),
        max_per_zone: zone_maximum,
        ..CONSTRAINTS
    };
    let target = target_fleet(30, &constraints, &vec![zone(0, 0); zones]).expect("a plan");
    assert!(
        target.iter().all(|target| target.preemptible == per_zone),
        "{target:?}"
    );
}

/// Dedicated engines are released one for one as preemptible ones start serving.
#[rstest]
#[case::none_serves([0, 0, 0], [10, 10, 10])]
#[case::few_serve([0, 3, 0], [9, 9, 9])]
#[case::most_serve([9, 10, 10], [1, 1, 1])]
#[case::all_serve([10, 10, 10], [0, 0, 0])]
fn dedicated_engines_are_released_as_preemptible_ones_serve(
    #[case] serving: [u32; 3],
    #[case] remaining: [u32; 3],
) {
    let current = serving.map(|preemptible| zone(10, preemptible));
    let target = target_fleet(30, &CONSTRAINTS, &current).expect("a plan");
    let dedicated: Vec<u32> = target.iter().map(|zone| zone.dedicated).collect();
    assert_eq!(dedicated, remaining);
    assert!(target.iter().all(|target| target.preemptible == 15));
}

/// In a zone that is too small for both kinds, dedicated engines are replaced step by step.
#[test]
fn a_full_zone_changes_step_by_step() {
    let constraints = FleetConstraints {
        max_per_zone: 15,
        ..CONSTRAINTS
    };
    let mut fleet = vec![zone(10, 0); 3];
    for _ in 0..20 {
        let target = target_fleet(30, &constraints, &fleet).expect("a plan");
        let all: u32 = target.iter().map(ZoneFleet::total).sum();
        assert!(all >= 30, "{all} engines are left");
        // New engines start serving before others are released.
        let grown: Vec<ZoneFleet> = fleet
            .iter()
            .zip(&target)
            .map(|(now, target)| zone(now.dedicated, target.preemptible))
            .collect();
        assert!(grown.iter().all(|zone| zone.total() <= 15), "{grown:?}");
        fleet = target_fleet(30, &constraints, &grown).expect("a plan");
    }
    assert_eq!(fleet, vec![zone(0, 15); 3]);
}

/// The limit of a zone holds for both kinds together while one replaces the other.
#[test]
fn the_limit_of_a_zone_holds_for_both_kinds() {
    let target = target_fleet(140, &CONSTRAINTS, &[zone(47, 0), zone(47, 0), zone(46, 0)]);
    let target = target.expect("a plan");
    assert_eq!(target, [zone(47, 47), zone(47, 47), zone(46, 48)]);
    let target = target_fleet(140, &CONSTRAINTS, &[zone(0, 47), zone(0, 47), zone(0, 48)]);
    assert_eq!(target, Some(vec![zone(0, 94); 3]));
}

/// After the loss of a zone the other zones keep their engines, and the lost ones are bought
/// again.
#[test]
fn a_revoked_zone_is_filled_again() {
    let target = target_fleet(30, &CONSTRAINTS, &[zone(0, 0), zone(0, 15), zone(0, 15)]);
    assert_eq!(target, Some(vec![zone(0, 15); 3]));
}

/// If more engines are lost than the reserve covers, dedicated engines fill the gap and are
/// released when the preemptible ones are back.
#[test]
fn dedicated_engines_are_bought_for_what_is_missing() {
    let lost = [zone(0, 0), zone(0, 0), zone(0, 15)];
    let target = target_fleet(30, &CONSTRAINTS, &lost).expect("a plan");
    assert_eq!(target, vec![zone(5, 15); 3]);
    let gap_filled = [zone(5, 0), zone(5, 0), zone(5, 15)];
    let target = target_fleet(30, &CONSTRAINTS, &gap_filled).expect("a plan");
    assert_eq!(target, vec![zone(5, 15); 3]);
    let returning = [zone(5, 5), zone(5, 0), zone(5, 15)];
    let target = target_fleet(30, &CONSTRAINTS, &returning).expect("a plan");
    assert_eq!(target, vec![zone(4, 15); 3]);
    let returned = [zone(5, 15), zone(5, 0), zone(5, 15)];
    let target = target_fleet(30, &CONSTRAINTS, &returned).expect("a plan");
    assert_eq!(target, vec![zone(0, 15); 3]);
}

/// Thousands of engines are bought and released in steps, so that all gateways receive the
/// updates in time.
#[test]
fn a_large_fleet_changes_by_steps() {
    let constraints = FleetConstraints {
        max_per_zone: 2000,
        ..CONSTRAINTS
    };
    let mut fleet = vec![zone(1000, 0); 3];
    for _ in 0..60 {
        let target = target_fleet(3000, &constraints, &fleet).expect("a plan");
        for (now, target) in fleet.iter().zip(&target) {
            assert!(now.dedicated.abs_diff(target.dedicated) <= 100);
            assert!(now.preemptible.abs_diff(target.preemptible) <= 100);
        }
        fleet = target;
    }
    assert_eq!(fleet, vec![zone(0, 2000); 3]);
}

proptest! {
    /// From any current fleet, a plan survives the loss of any zone, respects the limits, and
    /// costs at most half as much as the needed dedicated engines.
    #[test]
    fn a_plan_survives_the_loss_of_a_zone(
        needed in 1_u32..300,
        price in 0.05_f64..1.0,
        zone_maximum in 1_u32..200,
        zones in proptest::collection::vec((0_u32..100, 0_u32..100), 1..6),
    ) {
        let constraints = FleetConstraints {
            min_per_zone: 1.min(zone_maximum),
            max_per_zone: zone_maximum,
            preemptible_price: Some(price),
        };
        let current: Vec<_> = zones.iter().map(|(d, p)| zone(*d, *p)).collect();
        if let Some(target) = target_fleet(needed, &constraints, &current) {
            let serving: u32 = current.iter().map(|zone| zone.preemptible).sum();
            for (target, current) in target.iter().zip(&current) {
                let is_full = current.total() >= zone_maximum;
                prop_assert!(is_full || target.dedicated + current.preemptible <= zone_maximum);
                prop_assert!(current.dedicated > zone_maximum || target.preemptible + current.dedicated <= zone_maximum);
                if serving >= needed {
                    prop_assert_eq!(target.dedicated, 0);
                }
            }
            let dedicated: u32 = target.iter().map(|zone| zone.dedicated).sum();
            let had: u32 = current.iter().map(|zone| zone.dedicated).sum();
            prop_assert!(serving + dedicated >= needed.min(serving + had), "a step leaves too few");
            let mut all = vec![ZoneFleet::default(); current.len()];
            for _ in 0..4 {
                all = target_fleet(needed, &constraints, &all).expect("independent of the present fleet");
                all.iter_mut().for_each(|zone| zone.dedicated = 0);
            }
            let total_preemptible: u32 = all.iter().map(|zone| zone.preemptible).sum();
            let largest = all.iter().map(|zone| zone.preemptible).max().unwrap_or_default();
            prop_assert!(total_preemptible - largest >= needed);
            prop_assert!(f64::from(total_preemptible) * price <= f64::from(needed) * 0.5);
        }
    }
}
