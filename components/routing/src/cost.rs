//! Predicted time to the first token: a pure function over a snapshot.

use garnet_types::{EngineCapacity, Millis};

/// What is believed of an engine at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSnapshot {
    /// Prompt tokens that wait or will have to be read before a new prompt.
    pub queued_prompt_tokens: f64,
    /// Sequences that generate.
    pub active_sequences: f64,
    /// Its speed.
    pub capacity: EngineCapacity,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Of these, tokens whose KV cache the engine is believed to hold.
    pub cached_tokens: u64,
    /// Tokens of KV cache that come from another engine.
    pub transferred_tokens: u64,
    /// Tokens that it is expected to generate.
    pub output_tokens: u64,
}

/// Milliseconds in a second.
const MS: f64 = 1000.0;

/// Predicted time from dispatch to the first token.
pub fn predict_first_token(engine: &EngineSnapshot, work: &WorkShape) -> Millis {
    let total = reading_ms(engine, work) + transfer_ms(engine, work) + slot_wait_ms(engine, work);
    Millis((total + engine.capacity.decode_step_ms).ceil() as u64)
}

fn reading_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    let unread = work
        .prompt_tokens
        .saturating_sub(work.cached_tokens + work.transferred_tokens);
    let tokens = engine.queued_prompt_tokens + unread as f64;
    tokens * MS / engine.capacity.prefill_tokens_per_second.max(1.0)
}

fn transfer_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    work.transferred_tokens as f64 / 1000.0 * engine.capacity.transfer_ms_per_1000_tokens
}

/// Wait for a slot: sequences beyond the slots leave one by one, and each slot
/// turns over once in the time that an output takes.
fn slot_wait_ms(engine: &EngineSnapshot, work: &WorkShape) -> f64 {
    let slots = engine.capacity.decode_slots.max(1) as f64;
    let beyond = engine.active_sequences + 1.0 - slots;
    if beyond <= 0.0 || work.output_tokens == 0 {
        return 0.0;
    }
    let output_ms = work.output_tokens as f64 * engine.capacity.decode_step_ms;
    beyond / slots * output_ms
}
