//! Selects the engines that change their role, spread over the zones.

use std::collections::BTreeMap;

/// Takes up to `count` of `candidates`, each time the last one of the zone that has the most
/// candidates left. The last candidate of a zone is never taken, because KV caches would then
/// have to be transferred between zones.
///
/// Looks up the zone of each candidate only once, so that a leader decides a change of ten
/// thousand engines within its lease.
pub fn take_from_fullest_zones<'z, T>(
    candidates: Vec<T>,
    count: usize,
    zone_of: impl Fn(&T) -> &'z str,
) -> Vec<T> {
    let mut remaining: BTreeMap<&str, Vec<(usize, T)>> = BTreeMap::new();
    for (position, candidate) in candidates.into_iter().enumerate() {
        let zone = remaining.entry(zone_of(&candidate)).or_default();
        zone.push((position, candidate));
    }
    let mut selected = Vec::new();
    while selected.len() < count {
        let fullness = |zone: &&mut Vec<(usize, T)>| {
            let last = zone.last().map(|(position, _)| *position);
            (zone.len(), last)
        };
        let fullest = remaining.values_mut().max_by_key(fullness);
        let Some(zone) = fullest.filter(|zone| zone.len() > 1) else {
            break;
        };
        selected.extend(zone.pop().map(|(_, candidate)| candidate));
    }
    selected
}
