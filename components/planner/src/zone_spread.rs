//! Which engines of a pool change their role, so that each zone keeps both.

/// Takes up to `count` of `candidates`, one after the other, each time the last
/// one of the zone in which most of them are left. The last one of a zone stays:
/// a KV cache would leave its zone.
pub fn take_from_fullest_zones<'z, T>(
    mut candidates: Vec<T>,
    count: usize,
    zone_of: impl Fn(&T) -> &'z str,
) -> Vec<T> {
    let mut taken = Vec::new();
    for _ in 0..count {
        let in_its_zone = |candidate: &T| {
            let zone = zone_of(candidate);
            candidates.iter().filter(|c| zone_of(c) == zone).count()
        };
        let counts: Vec<usize> = candidates.iter().map(in_its_zone).collect();
        let most = (0..candidates.len()).max_by_key(|place| counts[*place]);
        match most {
            Some(place) if counts[place] > 1 => taken.push(candidates.remove(place)),
            _ => break,
        }
    }
    taken
}
