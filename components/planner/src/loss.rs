//! Useful answers that a split is predicted to lose, in a second.

use garnet_types::{EngineCapacity, EngineRole};

use crate::average::Mix;
use crate::split::Split;

/// What one engine of a pool can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCapacity {
    /// Prompt tokens that an engine reads in a second.
    pub prefill_tokens_per_second: f64,
    /// Tokens that an engine generates in a second with all slots in use.
    pub decode_tokens_per_second: f64,
    /// Part of a mixed engine's speed that is left for each phase when it does
    /// both, since chunks of prompts and decode steps delay each other.
    pub mixed_efficiency: f64,
}

/// Part of a mixed engine's speed that is left for each phase.
const MIXED_EFFICIENCY: f64 = 0.6;
/// A phase gives an engine away only if it can do without: its utilisation
/// afterwards stays below this. Taken from a phase that is short itself, an
/// engine costs a long drain and gains next to nothing.
const MOST_AFTER_GIVING: f64 = 0.95;

impl PoolCapacity {
    /// What an engine of this speed can do in a pool.
    pub fn of(engine: &EngineCapacity) -> Self {
        PoolCapacity {
            prefill_tokens_per_second: engine.prefill_tokens_per_second,
            decode_tokens_per_second: engine.decode_tokens_per_second(),
            mixed_efficiency: MIXED_EFFICIENCY,
        }
    }
}

/// Above this utilisation answers begin to be late.
const COMFORTABLE_UTILISATION: f64 = 0.9;
/// Part of the answers that is late at full utilisation.
const LATE_AT_FULL: f64 = 0.08;

/// Predicted loss of a split under a mix, in answers a second.
///
/// A request is lost where it needs most: admission refuses long prompts when
/// the prefill phase is full, and long texts when the decode phase is, while
/// the others still pass. Close to a phase's limit a queue forms and answers
/// are late.
pub fn predicted_loss(split: &Split, mix: &Mix, capacity: &PoolCapacity) -> f64 {
    if mix.requests <= 0.0 {
        return 0.0;
    }
    let Utilisation { prefill, decode } = utilisation(split, mix, capacity);
    let prompt_bound = mix.prompt_bound.min(mix.requests);
    let output_bound = mix.requests - prompt_bound;
    prompt_bound * (1.0 - useful_share(prefill)) + output_bound * (1.0 - useful_share(decode))
}

/// Need of each phase as a part of what its engines can do; above one, work is
/// refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Utilisation {
    /// Of the prefill phase.
    pub prefill: f64,
    /// Of the decode phase.
    pub decode: f64,
}

/// Utilisation of both phases under a mix.
pub fn utilisation(split: &Split, mix: &Mix, capacity: &PoolCapacity) -> Utilisation {
    let prefill_need = mix.prompt_tokens / capacity.prefill_tokens_per_second.max(1.0);
    let decode_need = mix.output_tokens / capacity.decode_tokens_per_second.max(1.0);
    let shared = f64::from(split.mixed) * capacity.mixed_efficiency;
    let (to_prefill, to_decode) = divide_shared(
        shared,
        prefill_need - f64::from(split.prefill),
        decode_need - f64::from(split.decode),
    );
    Utilisation {
        prefill: ratio(prefill_need, f64::from(split.prefill) + to_prefill),
        decode: ratio(decode_need, f64::from(split.decode) + to_decode),
    }
}

/// Whether the role that an engine was taken from can do without it: `next` is
/// the split afterwards.
pub fn can_give(from: EngineRole, next: &Split, mix: &Mix, capacity: &PoolCapacity) -> bool {
    let after = utilisation(next, mix, capacity);
    match from {
        EngineRole::Prefill => after.prefill <= MOST_AFTER_GIVING,
        EngineRole::Decode => after.decode <= MOST_AFTER_GIVING,
        EngineRole::Mixed => true,
    }
}

/// Mixed engines go where the need is, in proportion to what is missing.
fn divide_shared(shared: f64, prefill_missing: f64, decode_missing: f64) -> (f64, f64) {
    let prefill = prefill_missing.max(0.01);
    let decode = decode_missing.max(0.01);
    let part = prefill / (prefill + decode);
    (shared * part, shared * (1.0 - part))
}

fn ratio(need: f64, have: f64) -> f64 {
    if need <= 0.0 {
        0.0
    } else if have <= 0.0 {
        f64::INFINITY
    } else {
        need / have
    }
}

fn useful_share(utilisation: f64) -> f64 {
    let capacity_share = if utilisation > 1.0 {
        1.0 / utilisation
    } else {
        1.0
    };
    let strain = (utilisation - COMFORTABLE_UTILISATION) / (1.0 - COMFORTABLE_UTILISATION);
    capacity_share * (1.0 - LATE_AT_FULL * strain.clamp(0.0, 1.0))
}
