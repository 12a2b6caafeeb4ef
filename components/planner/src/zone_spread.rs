//! Which engines of a pool change their role, so that each zone keeps both.

use std::collections::BTreeMap;

/// Takes up to `count` of `candidates`, one after the other, each time the last
/// one of the zone in which most of them are left. The last one of a zone stays:
/// a KV cache would leave its zone.
///
/// Looks at the zone of each candidate once, so that a leader decides a change of
/// ten thousand engines within its lease.
pub fn take_from_fullest_zones<'z, T>(
    candidates: Vec<T>,
    count: usize,
    zone_of: impl Fn(&T) -> &'z str,
) -> Vec<T> {
    let mut left: BTreeMap<&str, Vec<(usize, T)>> = BTreeMap::new();
    for (place, candidate) in candidates.into_iter().enumerate() {
        let zone = left.entry(zone_of(&candidate)).or_default();
        zone.push((place, candidate));
    }
    let mut taken = Vec::new();
    while taken.len() < count {
        let fullness = |zone: &&mut Vec<(usize, T)>| {
            let last = zone.last().map(|(place, _)| *place);
            (zone.len(), last)
        };
        let fullest = left.values_mut().max_by_key(fullness);
        let Some(zone) = fullest.filter(|zone| zone.len() > 1) else {
            break;
        };
        taken.extend(zone.pop().map(|(_, candidate)| candidate));
    }
    taken
}
