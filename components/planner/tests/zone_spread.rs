//! Choosing the engines that change their role.
//!
//! A leader of ten thousand engines compared all of them with one another for
//! each engine that it chose. It chose hundreds in one step, stood still for
//! seconds and lost its lease by that; the next leader did the same, and no
//! change of the configuration was accepted meanwhile. Three replicas in turn
//! used four times the processor time of the other seven.

use std::cell::Cell;

use garnet_planner::take_from_fullest_zones;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn engines(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn zone_of(engine: &usize) -> &'static str {
    ZONES[engine % ZONES.len()]
}

/// How often the zone of an engine is looked up while a quarter of them is
/// chosen.
fn lookups(count: usize) -> usize {
    let looked_up = Cell::new(0);
    let counting = |engine: &usize| {
        looked_up.set(looked_up.get() + 1);
        zone_of(engine)
    };
    let taken = take_from_fullest_zones(engines(count), count / 4, counting);
    assert_eq!(taken.len(), count / 4);
    looked_up.get()
}

#[test]
fn choosing_a_part_of_twice_as_many_engines_is_twice_the_work() {
    let small = lookups(200);
    let large = lookups(400);
    assert!(
        large <= small * 5 / 2,
        "{small} look-ups for 200 engines, {large} for 400"
    );
}

#[test]
fn the_fullest_zone_gives_first() {
    // Zone a has three engines, b has two.
    let candidates = vec![("a", 1), ("b", 2), ("a", 3), ("b", 4), ("a", 5)];
    let taken = take_from_fullest_zones(candidates, 2, |(zone, _)| zone);
    assert_eq!(taken, [("a", 5), ("b", 4)]);
}

#[test]
fn each_zone_keeps_one() {
    let taken = take_from_fullest_zones(engines(10), 10, zone_of);
    assert_eq!(taken.len(), 5);
    let mut zones: Vec<&str> = taken.iter().map(zone_of).collect();
    zones.sort_unstable();
    assert_eq!(zones, ZONES);
}

#[test]
fn nobody_is_chosen_of_none() {
    assert!(take_from_fullest_zones(Vec::new(), 3, zone_of).is_empty());
}
