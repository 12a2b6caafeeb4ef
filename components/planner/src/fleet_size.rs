//! Chooses the number of dedicated and preemptible engines of a service in each zone, for
//! platforms where engines can be bought and released.
//!
//! Dedicated engines stay until they are released. Preemptible engines cost a fraction of a
//! dedicated one, and the provider may revoke all of them in a zone within seconds. The planner
//! buys enough preemptible engines to serve the load after the loss of a zone, if that costs
//! less than serving the load with dedicated engines.

/// How an engine is bought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineKind {
    /// Stays until it is released.
    Dedicated,
    /// May be revoked by the provider at any time.
    Preemptible,
}

impl EngineKind {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EngineKind::Dedicated => "dedicated",
            EngineKind::Preemptible => "preemptible",
        }
    }
}

/// Limits and prices for buying the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetConstraints {
    /// Minimum number of engines in a zone, both kinds together.
    pub min_per_zone: u32,
    /// Maximum number of engines in a zone, both kinds together.
    pub max_per_zone: u32,
    /// Price of a preemptible engine as a fraction of a dedicated one; `None` if no
    /// preemptible engines are offered.
    pub preemptible_price: Option<f64>,
}

/// Number of engines in one zone, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// Dedicated engines.
    pub dedicated: u32,
    /// Preemptible engines.
    pub preemptible: u32,
}

impl ZoneFleet {
    /// Number of engines of a kind.
    pub fn count(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::Dedicated => self.dedicated,
            EngineKind::Preemptible => self.preemptible,
        }
    }

    /// Number of engines of both kinds.
    pub fn total(&self) -> u32 {
        self.dedicated + self.preemptible
    }
}

/// Preemptible engines are bought if they cost less than this fraction of the dedicated engines
/// that the load needs. The rest of the saving pays for the damage of revocations. Among the
/// reserves below this cost the largest is chosen. See docs/design/shifted-work.md for the
/// trade-off at a price of 0.18.
const MAX_PREEMPTIBLE_COST_RATIO: f64 = 0.5;

/// Maximum number of engines of one zone and kind that are bought or released in one step.
/// Every gateway receives an update for each of them: with 3,000 released at once in three
/// zones, 300 gateways received the update only after 4.9 s, where 4.0 s are allowed.
const MAX_CHANGE_PER_STEP: u32 = 100;

/// The next target for each zone while the load needs `needed` engines. `current` holds the
/// engines of each zone that are serving now.
///
/// Dedicated engines are released one for one as preemptible ones start serving, so that no
/// step leaves fewer engines than needed. If more engines were revoked than the reserve covers,
/// dedicated engines are bought to fill the gap.
///
/// Returns `None` if the fleet should stay as it is.
pub fn target_fleet(
    needed: u32,
    constraints: &FleetConstraints,
    current: &[ZoneFleet],
) -> Option<Vec<ZoneFleet>> {
    let preemptible = preemptible_in_zone(needed, constraints, current.len())?;
    let serving: u32 = current.iter().map(|zone| zone.preemptible).sum();
    let dedicated: u32 = current.iter().map(|zone| zone.dedicated).sum();
    let target_dedicated = needed.saturating_sub(serving);
    let missing = target_dedicated.saturating_sub(dedicated);
    let missing_in_zone = missing.div_ceil(current.len() as u32);
    let next_fleet = |zone: &ZoneFleet| {
        let dedicated = if missing > 0 {
            let room = constraints.max_per_zone.saturating_sub(zone.total());
            zone.dedicated + missing_in_zone.min(room)
        } else {
            scale_down(zone.dedicated, target_dedicated, dedicated)
        };
        let room = constraints.max_per_zone.saturating_sub(zone.dedicated);
        ZoneFleet {
            dedicated: step(zone.dedicated, dedicated),
            preemptible: step(zone.preemptible, preemptible.min(room)),
        }
    };
    Some(current.iter().map(next_fleet).collect())
}

/// The number of engines after the next step from `current` towards `target`.
fn step(current: u32, target: u32) -> u32 {
    let lower_bound = current.saturating_sub(MAX_CHANGE_PER_STEP);
    target.clamp(lower_bound, current.saturating_add(MAX_CHANGE_PER_STEP))
}

/// `engines` times `to / from`, rounded up; 0 if `from` is 0.
fn scale_down(engines: u32, to: u32, from: u32) -> u32 {
    match from {
        0 => 0,
        from => (engines * to).div_ceil(from),
    }
}

/// Number of preemptible engines for each of `zones` zones, so that the needed engines remain
/// when some zones are lost. Covers the largest number of lost zones whose reserve is within
/// [`MAX_PREEMPTIBLE_COST_RATIO`], limited to the maximum of a zone. Returns `None` if there is
/// no such reserve that survives the loss of one zone.
fn preemptible_in_zone(needed: u32, constraints: &FleetConstraints, zones: usize) -> Option<u32> {
    let price = constraints.preemptible_price?;
    let zones = u32::try_from(zones).ok()?;
    let engines_per_zone = |lost: u32| {
        let required = needed.div_ceil(zones - lost);
        required
            .max(constraints.min_per_zone)
            .min(constraints.max_per_zone)
    };
    let is_affordable = |engines: &u32| {
        let cost = f64::from(engines * zones) * price;
        cost < f64::from(needed) * MAX_PREEMPTIBLE_COST_RATIO
    };
    // If the reserve doesn't cover the loss of one zone, only dedicated engines are used.
    let survives_one_loss = |engines: &u32| engines * (zones - 1) >= needed;
    let reserves = (1..zones).rev().map(engines_per_zone);
    let mut affordable = reserves.filter(is_affordable).filter(survives_one_loss);
    affordable.next()
}
