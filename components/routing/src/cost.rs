//! Prediction of the time to first token: a pure function of a snapshot.

use garnet_types::{EngineCapacity, Millis};

/// Estimated state of an engine at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSnapshot {
    /// Prompt tokens that are prefilled before a new prompt.
    pub queued_prompt_tokens: f64,
    /// Sequences being decoded.
    pub active_sequences: f64,
    /// Speed of the engine.
    pub capacity: EngineCapacity,
}

/// The size of a request, as the work of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens whose KV cache the engine is estimated to hold.
    pub cached_tokens: u64,
    /// Prompt tokens whose KV cache is transferred from another engine.
    pub transferred_tokens: u64,
    /// Expected number of generated tokens.
    pub output_tokens: u64,
}

const MS_PER_S: f64 = 1000.0;

/// Predicts the time from dispatch to the first token.
pub fn predict_first_token(engine: &EngineSnapshot, work: &WorkShape) -> Millis {
    let total = prefill_ms(engine, work) + transfer_ms(engine, work) + slot_wait_ms(engine, work);
    Millis((total + engine.capacity.decode_step_ms).ceil() as u64)
}

fn prefill_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    let uncached_tokens = work
        .prompt_tokens
        .saturating_sub(work.cached_tokens + work.transferred_tokens);
    let tokens = engine.queued_prompt_tokens + uncached_tokens as f64;
    tokens * MS_PER_S / engine.capacity.prefill_tokens_per_second.max(1.0)
}

fn transfer_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    work.transferred_tokens as f64 / 1000.0 * engine.capacity.transfer_ms_per_1000_tokens
}

/// Wait for a decode slot. Sequences in excess of the slots must end first, and each slot becomes
/// free once in the time that an output takes.
fn slot_wait_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    let slots = engine.capacity.decode_slots.max(1) as f64;
    let excess = engine.active_sequences + 1.0 - slots;
    if excess <= 0.0 || work.output_tokens == 0 {
        return 0.0;
    }
    let output_ms = work.output_tokens as f64 * engine.capacity.decode_step_ms;
    excess / slots * output_ms
}
