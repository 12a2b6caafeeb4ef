//! Chooses the number of prefill engines of a pool from the occupancy of both phases.
//!
//! Used for pools whose engines do not report their speed. Occupancy can be scaled without
//! knowing the speed: each additional prefill engine lowers the occupancy of all of them in
//! proportion. A prefill engine prefills one prompt after the other, so waiting grows with
//! occupancy as in a queue with one server, x / (1 - x). Decode engines run many requests at
//! once, so requests wait for a slot only when nearly all slots are taken.

use garnet_types::Millis;

/// In a step, the number of engines of the pool divided by this change their role. A phase with
/// a third of the pool then changes by a quarter, about the smallest change that is worth its
/// cost.
const STEP_DIVISOR: usize = 12;
/// A phase gives up at most its number of engines divided by this in a step. The load of the
/// remaining engines is predicted in proportion, which holds for small changes only: batches slow
/// down, and KV transfers share fewer links.
const MAX_PHASE_STEP_DIVISOR: usize = 4;
/// Occupancy at which the queue formula is capped, because it diverges at 1.
const OCCUPANCY_CAP: f64 = 0.95;

/// Number of engines per phase that is enough until the load is known. A role change takes an
/// engine out of service for seconds and empties its cache, while the first measured load, a
/// second later, can move a twelfth of the pool at once.
const ENOUGH_ENGINES_WITHOUT_LOAD: usize = 64;

/// Occupancy of the two phases of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PhaseOccupancy {
    /// Engines that only prefill.
    pub prefill_engines: usize,
    /// Engines that decode.
    pub decode_engines: usize,
    /// Fraction of the time in which a prefill engine is busy with a prompt.
    pub prefill: f64,
    /// Fraction of a decode engine's slots or of its memory that is in use, whichever is larger.
    pub decode: f64,
    /// Requests that all decode engines together can run at once.
    pub decode_slots: f64,
}

/// Thresholds for changes of the number of prefill engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceSettings {
    /// Fraction of the engines that prefill while no load is known.
    pub initial_prefill_share: f64,
    /// Weight of waiting in the decode phase relative to the prefill phase. It is below 1
    /// because a filling batch slows down gradually, a queue does not.
    pub decode_weight: f64,
    /// A change is made only if the predicted congestion, divided by the current one, is
    /// below this ratio.
    pub max_congestion_ratio: f64,
    /// Congestion up to this value causes no change.
    pub tolerated_congestion: f64,
    /// Minimum time between two changes of a pool in the same direction.
    pub min_dwell: Millis,
    /// A change is reversed at the earliest after the duration of a role change, multiplied by
    /// this factor.
    pub reversal_delay_factor: u64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            initial_prefill_share: 2.0 / 3.0,
            decode_weight: 0.7,
            max_congestion_ratio: 0.75,
            tolerated_congestion: 0.6,
            min_dwell: Millis::from_secs(1),
            reversal_delay_factor: 2,
        }
    }
}

impl PhaseOccupancy {
    /// Number of engines of both phases.
    pub fn engines(&self) -> usize {
        self.prefill_engines + self.decode_engines
    }

    /// Predicted congestion if `prefill_engines` engines prefill and the others decode.
    pub fn congestion(&self, prefill_engines: usize, settings: &BalanceSettings) -> f64 {
        let decode_engines = self.engines().saturating_sub(prefill_engines);
        if prefill_engines == 0 || decode_engines == 0 {
            return f64::INFINITY;
        }
        let prefill = self.prefill * self.prefill_engines as f64 / prefill_engines as f64;
        let decode_ratio = decode_engines as f64 / self.decode_engines.max(1) as f64;
        let decode = self.decode / decode_ratio;
        let waiting_to_decode = waiting(decode, self.decode_slots * decode_ratio);
        waiting(prefill, 1.0) + settings.decode_weight * waiting_to_decode
    }
}

/// Mean waiting time in a queue with `servers` servers, in units of the service time.
/// Sakasegawa's approximation; for one server it is x / (1 - x).
fn waiting(occupancy: f64, servers: f64) -> f64 {
    let capped = occupancy.clamp(0.0, OCCUPANCY_CAP);
    let exponent = (2.0 * (servers.max(1.0) + 1.0)).sqrt() - 1.0;
    // Above the cap the result still grows with the occupancy, so that a step in the right
    // direction lowers it.
    capped.powf(exponent) / (1.0 - capped) + (occupancy - capped) * 20.0
}

/// Number of prefill engines while no load is known, in a pool where `current` engines prefill.
///
/// This is the configured share of the pool, with at least one engine for each phase. If both
/// phases already have enough engines until the load is known, `current` is kept: changing
/// roles by a guess isn't worth the interruption.
pub fn initial_prefill_engines(
    engines: usize,
    current: usize,
    settings: &BalanceSettings,
) -> usize {
    if engines < 2 {
        return 0;
    }
    if current.min(engines.saturating_sub(current)) >= ENOUGH_ENGINES_WITHOUT_LOAD {
        return current;
    }
    let share = (engines as f64 * settings.initial_prefill_share).round() as usize;
    share.clamp(1, engines - 1)
}

/// Number of prefill engines that the pool should have under this load: the current number, or
/// up to one step more or less. A step is a fraction of the pool, since in a large pool a single
/// engine makes no difference that is worth a change.
///
/// All numbers within a step are compared: a whole step may exceed the best number, and the next
/// decision would then reverse a part of it under the same load.
pub fn target_prefill_engines(occupancy: &PhaseOccupancy, settings: &BalanceSettings) -> usize {
    let current = occupancy.prefill_engines;
    let current_congestion = occupancy.congestion(current, settings);
    if current_congestion <= settings.tolerated_congestion {
        return current;
    }
    let step = occupancy.engines() / STEP_DIVISOR;
    let capped = |phase_engines: usize| step.min(phase_engines / MAX_PHASE_STEP_DIVISOR).max(1);
    let fewest = current.saturating_sub(capped(current));
    let most = current + capped(occupancy.decode_engines);
    let best = (fewest..=most)
        .map(|prefill_engines| {
            (
                prefill_engines,
                occupancy.congestion(prefill_engines, settings),
            )
        })
        .min_by(|left, right| left.1.total_cmp(&right.1));
    match best {
        Some((prefill_engines, congestion))
            if congestion < current_congestion * settings.max_congestion_ratio =>
        {
            prefill_engines
        }
        _ => current,
    }
}
