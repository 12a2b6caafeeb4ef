//! Selecting the engines that change their role.
//!
//! Guards against a selection in quadratic time. A leader of ten thousand engines compared all
//! of them for each engine that it selected. Selecting hundreds in one step blocked it for
//! seconds, so that it lost its lease. The next leader did the same, and no configuration change
//! was accepted meanwhile. Three replicas in turn used four times the CPU time of the other
//! seven.

use std::cell::Cell;

use garnet_planner::take_from_fullest_zones;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn engines(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn zone_of(engine: &usize) -> &'static str {
    ZONES[engine % ZONES.len()]
}

/// Number of zone look-ups while a quarter of the engines is selected.
fn lookups(count: usize) -> usize {
    let looked_up = Cell::new(0);
    let counting = |engine: &usize| {
        looked_up.set(looked_up.get() + 1);
        zone_of(engine)
    };
    let selected = take_from_fullest_zones(engines(count), count / 4, counting);
    assert_eq!(selected.len(), count / 4);
    looked_up.get()
}

#[test]
fn selecting_from_twice_as_many_engines_is_twice_the_work() {
    let small = lookups(200);
    let large = lookups(400);
    assert!(
        large <= small * 5 / 2,
        "{small} look-ups for 200 engines, {large} for 400"
    );
}

#[test]
fn the_fullest_zone_is_selected_first() {
    // Zone a has three engines, b has two.
    let candidates = vec![("a", 1), ("b", 2), ("a", 3), ("b", 4), ("a", 5)];
    let selected = take_from_fullest_zones(candidates, 2, |(zone, _)| zone);
    assert_eq!(selected, [("a", 5), ("b", 4)]);
}

#[test]
fn each_zone_keeps_one() {
    let selected = take_from_fullest_zones(engines(10), 10, zone_of);
    assert_eq!(selected.len(), 5);
    let mut zones: Vec<&str> = selected.iter().map(zone_of).collect();
    zones.sort_unstable();
    assert_eq!(zones, ZONES);
}

#[test]
fn no_candidates_give_no_selection() {
    assert!(take_from_fullest_zones(Vec::new(), 3, zone_of).is_empty());
}
