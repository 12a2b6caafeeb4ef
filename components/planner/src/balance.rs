//! How many engines of a pool shall read prompts, from how occupied both
//! phases are.
//!
//! For pools whose engines do not state their speed. Occupancy needs no speed:
//! with one prefill engine more, each prefill engine is occupied by as much less. A prefill engine
//! prefills one prompt after the other: waiting grows with occupancy as in a queue
//! with one server, x / (1 - x). Decode engines run many requests at once, and
//! waiting for a place begins only when nearly all are taken.

use garnet_types::Millis;

/// A step is one engine of so many: with it the engines of a phase that has a
/// third of the pool change by a quarter, which is about what is worth a change.
const ENGINES_PER_STEP: usize = 12;
/// A phase loses at most one engine of so many in a step: what the rest then has
/// to do is worked out in proportion, which holds for small changes only (batches
/// slow down, and KV transfers share fewer links).
const LOSING_PER_STEP: usize = 4;
/// Occupancy above this counts as this: the queue has no end there.
const FULL: f64 = 0.95;

/// Engines of a phase that serve what comes until the load is known. A change of
/// roles takes an engine out for seconds, and what it has cached; the measured
/// load, a second later, may move a twelfth of the pool at once.
const ENOUGH_UNTIL_KNOWN: usize = 64;

/// How occupied the phases of a pool are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PhaseOccupancy {
    /// Engines that read prompts for others.
    pub prefill_engines: usize,
    /// Engines that generate.
    pub decode_engines: usize,
    /// Part of the time in which a prefill engine has a prompt to read.
    pub prefill: f64,
    /// Part of a decode engine's room that is taken: of its slots or its memory,
    /// whichever is scarcer.
    pub decode: f64,
    /// Requests that fit into all decode engines together.
    pub places: f64,
}

/// When a change is worth it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceSettings {
    /// Part of the engines that read while no load is known.
    pub initial_share: f64,
    /// What a taken slot counts against a prefill engine's time: batches slow down
    /// gradually, queues do not.
    pub decode_weight: f64,
    /// A change must bring the congestion below this part of what it is.
    pub worthwhile: f64,
    /// Congestion below this is left as it is.
    pub tolerable: f64,
    /// Shortest time between two changes of a pool in the same direction.
    pub dwell: Millis,
    /// A change is taken back after so many times the time that it takes, at
    /// the earliest.
    pub reversal_changes: u64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            initial_share: 2.0 / 3.0,
            decode_weight: 0.7,
            worthwhile: 0.75,
            tolerable: 0.6,
            dwell: Millis::from_secs(1),
            reversal_changes: 2,
        }
    }
}

impl PhaseOccupancy {
    /// Engines of both phases.
    pub fn engines(&self) -> usize {
        self.prefill_engines + self.decode_engines
    }

    /// Congestion if `prefill_engines` engines prefill and the rest decode.
    pub fn congestion(&self, prefill_engines: usize, settings: &BalanceSettings) -> f64 {
        let decode_engines = self.engines().saturating_sub(prefill_engines);
        if prefill_engines == 0 || decode_engines == 0 {
            return f64::INFINITY;
        }
        let prefill = self.prefill * self.prefill_engines as f64 / prefill_engines as f64;
        let part = decode_engines as f64 / self.decode_engines.max(1) as f64;
        let decode = self.decode / part;
        let waiting_to_decode = waiting(decode, self.places * part);
        waiting(prefill, 1.0) + settings.decode_weight * waiting_to_decode
    }
}

/// Waiting in a queue with so many servers, in service times of one of them:
/// Sakasegawa's approximation, which is x / (1 - x) for one server.
fn waiting(occupancy: f64, servers: f64) -> f64 {
    let bounded = occupancy.clamp(0.0, FULL);
    let exponent = (2.0 * (servers.max(1.0) + 1.0)).sqrt() - 1.0;
    // Beyond the bound more is still worse, so that a step in the right
    // direction shows.
    bounded.powf(exponent) / (1.0 - bounded) + (occupancy - bounded) * 20.0
}

/// Prefill engines while no load is known, of a pool of which `present` prefill:
/// the settings' share, with both phases served.
///
/// Only a pool with a small phase follows the share: a guess is worth no engine
/// where both phases serve what comes until the load is known.
pub fn initial_prefill_engines(
    engines: usize,
    present: usize,
    settings: &BalanceSettings,
) -> usize {
    if engines < 2 {
        return 0;
    }
    if present.min(engines.saturating_sub(present)) >= ENOUGH_UNTIL_KNOWN {
        return present;
    }
    let share = (engines as f64 * settings.initial_share).round() as usize;
    share.clamp(1, engines - 1)
}

/// Prefill engines that the pool should have under this load: as many as there
/// are, or more or fewer by one or by a step. A step is a part of the pool: in a
/// large one a single engine changes nothing that is worth it.
pub fn wanted_prefill_engines(occupancy: &PhaseOccupancy, settings: &BalanceSettings) -> usize {
    let present = occupancy.prefill_engines;
    let now = occupancy.congestion(present, settings);
    if now <= settings.tolerable {
        return present;
    }
    let step = occupancy.engines() / ENGINES_PER_STEP;
    let bounded = |losing: usize| step.min(losing / LOSING_PER_STEP).max(1);
    let steps = [
        present.saturating_sub(bounded(present)),
        present.saturating_sub(1),
        present + 1,
        present + bounded(occupancy.decode_engines),
    ];
    let best = steps
        .into_iter()
        .map(|prefill_engines| {
            (
                prefill_engines,
                occupancy.congestion(prefill_engines, settings),
            )
        })
        .min_by(|left, right| left.1.total_cmp(&right.1));
    match best {
        Some((prefill_engines, congestion)) if congestion < now * settings.worthwhile => {
            prefill_engines
        }
        _ => present,
    }
}
