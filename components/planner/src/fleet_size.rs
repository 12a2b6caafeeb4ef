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

/// What each zone shall have while the load needs `needed` engines. `present`
/// are the engines of each zone that serve now; dedicated ones are given back
/// when as many preemptible ones serve as are needed, so that the fleet never
/// falls below it by a step of this plan.
///
/// Gives `None` where the fleet is to stay as it is.
pub fn wanted_fleet(
    needed: u32,
    terms: &FleetTerms,
    present: &[ZoneFleet],
) -> Option<Vec<ZoneFleet>> {
    let price = terms.preemptible_price?;
    let zones = u32::try_from(present.len()).ok()?;
    // With one zone nothing is left after its loss.
    let kept_zones = zones.checked_sub(1).filter(|kept| *kept > 0)?;
    let in_zone = needed.div_ceil(kept_zones);
    let costs = f64::from(in_zone * zones) * price;
    if costs >= f64::from(needed) || in_zone > terms.most_in_zone {
        return None;
    }
    let in_zone = in_zone.max(terms.least_in_zone);
    let serving: u32 = present.iter().map(|zone| zone.preemptible).sum();
    let gives_back = serving >= needed;
    let want = |zone: &ZoneFleet| {
        let dedicated = if gives_back { 0 } else { zone.dedicated };
        ZoneFleet {
            dedicated,
            preemptible: in_zone.min(terms.most_in_zone.saturating_sub(zone.dedicated)),
        }
    };
    Some(present.iter().map(want).collect())
}
