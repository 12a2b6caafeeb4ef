//! Predicts how many useful answers per second a split of the engines loses.

use garnet_types::{EngineCapacity, EngineRole};

use crate::average::Mix;
use crate::split::Split;

/// Throughput of one engine of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCapacity {
    /// Prompt tokens that an engine prefills per second.
    pub prefill_tokens_per_second: f64,
    /// Tokens that an engine generates per second with all slots in use.
    pub decode_tokens_per_second: f64,
    /// Fraction of a mixed engine's speed that remains for each phase when it does both,
    /// because prefill chunks and decode steps delay each other.
    pub mixed_efficiency: f64,
}

/// Default of [`PoolCapacity::mixed_efficiency`].
const MIXED_EFFICIENCY: f64 = 0.6;
/// A phase releases an engine only if its utilisation afterwards is at most this. Taking an
/// engine from a phase that is short itself costs a long drain and gains next to nothing.
const MAX_UTILISATION_AFTER_RELEASE: f64 = 0.95;

impl PoolCapacity {
    /// Throughput of an engine with the given capacity.
    pub fn of(engine: &EngineCapacity) -> Self {
        PoolCapacity {
            prefill_tokens_per_second: engine.prefill_tokens_per_second,
            decode_tokens_per_second: engine.decode_tokens_per_second(),
            mixed_efficiency: MIXED_EFFICIENCY,
        }
    }
}

/// Utilisation above which answers start to be late.
const LATENESS_THRESHOLD: f64 = 0.9;
/// Fraction of the answers that are late at full utilisation.
const LATE_FRACTION_AT_FULL_UTILISATION: f64 = 0.08;

/// Predicted loss of a split under a load, in answers per second.
///
/// A request is lost in the phase that it needs most: admission refuses long prompts when the
/// prefill phase is full, and long texts when the decode phase is full, while other requests
/// are still admitted. Close to the limit of a phase a queue forms and answers are late.
pub fn predicted_loss(split: &Split, mix: &Mix, capacity: &PoolCapacity) -> f64 {
    if mix.requests <= 0.0 {
        return 0.0;
    }
    let Utilisation { prefill, decode } = utilisation(split, mix, capacity);
    let prompt_bound = mix.prompt_bound.min(mix.requests);
    let output_bound = mix.requests - prompt_bound;
    prompt_bound * (1.0 - useful_share(prefill)) + output_bound * (1.0 - useful_share(decode))
}

/// Load of each phase divided by the capacity of its engines; above 1, work is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Utilisation {
    /// Utilisation of the prefill phase.
    pub prefill: f64,
    /// Utilisation of the decode phase.
    pub decode: f64,
}

/// Utilisation of both phases under a load.
pub fn utilisation(split: &Split, mix: &Mix, capacity: &PoolCapacity) -> Utilisation {
    let prefill_load = mix.prompt_tokens / capacity.prefill_tokens_per_second.max(1.0);
    let decode_load = mix.output_tokens / capacity.decode_tokens_per_second.max(1.0);
    let shared = f64::from(split.mixed) * capacity.mixed_efficiency;
    let (to_prefill, to_decode) = divide_shared(
        shared,
        prefill_load - f64::from(split.prefill),
        decode_load - f64::from(split.decode),
    );
    Utilisation {
        prefill: ratio(prefill_load, f64::from(split.prefill) + to_prefill),
        decode: ratio(decode_load, f64::from(split.decode) + to_decode),
    }
}

/// Whether the role `from` can spare an engine; `next` is the split after the change.
pub fn can_release_engine(
    from: EngineRole,
    next: &Split,
    mix: &Mix,
    capacity: &PoolCapacity,
) -> bool {
    let after = utilisation(next, mix, capacity);
    match from {
        EngineRole::Prefill => after.prefill <= MAX_UTILISATION_AFTER_RELEASE,
        EngineRole::Decode => after.decode <= MAX_UTILISATION_AFTER_RELEASE,
        EngineRole::Mixed => true,
    }
}

/// Divides the capacity of mixed engines between the phases in proportion to what each lacks.
fn divide_shared(shared: f64, prefill_missing: f64, decode_missing: f64) -> (f64, f64) {
    let prefill = prefill_missing.max(0.01);
    let decode = decode_missing.max(0.01);
    let prefill_share = prefill / (prefill + decode);
    (shared * prefill_share, shared * (1.0 - prefill_share))
}

fn ratio(load: f64, available: f64) -> f64 {
    if load <= 0.0 {
        0.0
    } else if available <= 0.0 {
        f64::INFINITY
    } else {
        load / available
    }
}

fn useful_share(utilisation: f64) -> f64 {
    let capacity_share = if utilisation > 1.0 {
        1.0 / utilisation
    } else {
        1.0
    };
    let saturation = (utilisation - LATENESS_THRESHOLD) / (1.0 - LATENESS_THRESHOLD);
    capacity_share * (1.0 - LATE_FRACTION_AT_FULL_UTILISATION * saturation.clamp(0.0, 1.0))
}
