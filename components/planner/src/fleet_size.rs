//! How many engines of which kind a service shall have in each zone, where
//! engines can be bought and given back.
//!
//! Dedicated engines stay until they are given back. Preemptible ones cost a
//! part of that, and the provider may take all of a zone away within seconds.
//! As many of them are bought as are needed after the loss of a zone, if that
//! costs less than what is needed in dedicated ones.

/// A kind of engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineKind {
    /// Stays until it is given back.
    Dedicated,
    /// May be taken away at any time.
    Preemptible,
}

impl EngineKind {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EngineKind::Dedicated => "dedicated",
            EngineKind::Preemptible => "preemptible",
        }
    }
}

/// On which terms a service's engines are to be had.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetTerms {
    /// Fewest engines of a zone, of both kinds together.
    pub least_in_zone: u32,
    /// Most engines of a zone, of both kinds together.
    pub most_in_zone: u32,
    /// What a preemptible engine costs, as a part of a dedicated one; `None`
    /// where there are none.
    pub preemptible_price: Option<f64>,
}

/// Engines of one zone, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// Engines that stay.
    pub dedicated: u32,
    /// Engines that may be taken away.
    pub preemptible: u32,
}

impl ZoneFleet {
    /// Engines of a kind.
    pub fn of(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::Dedicated => self.dedicated,
            EngineKind::Preemptible => self.preemptible,
        }
    }

    /// Engines of both kinds.
    pub fn all(&self) -> u32 {
        self.dedicated + self.preemptible
    }
}

/// A fleet of preemptible engines is bought while it costs less than this part of
/// what is needed in dedicated ones: the rest is for what their loss costs. Of the
/// reserves that keep below it the largest is taken. Measured on the users' bench
/// with a price of 0.18: docs/design/shifted-work.md.
const WORTHWHILE: f64 = 0.5;

/// Engines of a zone and kind that come or go in one step at most. All gateways
/// hear of each of them: with 3,000 given back at once in three zones, 300
/// gateways heard of it 4.9 s later (sweep of the users' bench), where 4.0 are
/// allowed.
const MOST_IN_STEP: u32 = 100;

/// What each zone shall have next while the load needs `needed` engines. `present`
/// are the engines of each zone that serve now.
///
/// Dedicated engines are given back one for one as preemptible ones serve, so
/// that no step of this plan leaves fewer than are needed. Where more was taken
/// away than the reserve bears, dedicated ones are bought for what is missing.
///
/// Gives `None` where the fleet is to stay as it is.
pub fn wanted_fleet(
    needed: u32,
    terms: &FleetTerms,
    present: &[ZoneFleet],
) -> Option<Vec<ZoneFleet>> {
    let preemptible = preemptible_in_zone(needed, terms, present.len())?;
    let serving: u32 = present.iter().map(|zone| zone.preemptible).sum();
    let dedicated: u32 = present.iter().map(|zone| zone.dedicated).sum();
    let wanted_dedicated = needed.saturating_sub(serving);
    let missing = wanted_dedicated.saturating_sub(dedicated);
    let missing_in_zone = missing.div_ceil(present.len() as u32);
    let want = |zone: &ZoneFleet| {
        let dedicated = if missing > 0 {
            let room = terms.most_in_zone.saturating_sub(zone.all());
            zone.dedicated + missing_in_zone.min(room)
        } else {
            part_of(zone.dedicated, wanted_dedicated, dedicated)
        };
        let room = terms.most_in_zone.saturating_sub(zone.dedicated);
        ZoneFleet {
            dedicated: step(zone.dedicated, dedicated),
            preemptible: step(zone.preemptible, preemptible.min(room)),
        }
    };
    Some(present.iter().map(want).collect())
}

/// The next step from the present number of engines to the one that is wanted.
fn step(present: u32, wanted: u32) -> u32 {
    let least = present.saturating_sub(MOST_IN_STEP);
    wanted.clamp(least, present.saturating_add(MOST_IN_STEP))
}

/// `engines`, scaled down as `from` is to `to`, rounded up.
fn part_of(engines: u32, to: u32, from: u32) -> u32 {
    match from {
        0 => 0,
        from => (engines * to).div_ceil(from),
    }
}

/// Preemptible engines for each of so many zones: as many as leave what is needed
/// when some of the zones are lost; of the largest number of lost zones that is
/// worth its price, as far as a zone has room.
fn preemptible_in_zone(needed: u32, terms: &FleetTerms, zones: usize) -> Option<u32> {
    let price = terms.preemptible_price?;
    let zones = u32::try_from(zones).ok()?;
    let in_zone = |lost: u32| {
        let kept = needed.div_ceil(zones - lost);
        kept.max(terms.least_in_zone).min(terms.most_in_zone)
    };
    let is_worthwhile = |engines: &u32| {
        let costs = f64::from(engines * zones) * price;
        costs < f64::from(needed) * WORTHWHILE
    };
    // Without a reserve for one zone the fleet stays dedicated.
    let bears_one = |engines: &u32| engines * (zones - 1) >= needed;
    let reserves = (1..zones).rev().map(in_zone);
    let mut worthwhile = reserves.filter(is_worthwhile).filter(bears_one);
    worthwhile.next()
}
