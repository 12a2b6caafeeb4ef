//! Which engine prefills a prompt, and where it copies the prefix from that it
//! lacks: a pure function over what is believed.
//!
//! Each shared prefix has two owners, found by rendezvous hashing: all
//! gateways find the same ones without a word between them, and an engine that
//! leaves moves only what it owned. An owner that lacks the prefix copies it
//! from whoever was seen to hold it, in a small part of the time that prefilling
//! takes.

use std::cmp::Reverse;

use garnet_types::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::EngineView;
use crate::residency::Residency;
use crate::work::{Prefix, Prompt};

/// Engines at which a shared prefix may be kept.
const OWNERS: usize = 2;
/// Shared prefixes up to this many tokens are not worth a place of their own:
/// any prefill engine takes them.
const WORTHLESS_SHARED: u64 = 1_000;
/// See [`spreading_cost`]: each token that another owner lacks counts so many
/// times more.
const SPREADING_COST: u64 = 2;
/// A first owner that this gateway has not sent the prefix to lately holds
/// it all the same, since the others send there too, but for this part.
const DOUBT_PARTS: u64 = 4;
/// What prefix to copy costs, in prompt tokens that could be read in that
/// time.
const COPY_SETUP_TOKENS: u64 = 400;
/// One token is prefilled in the time in which so many are copied.
const COPIED_TOKENS_PER_READ_TOKEN: u64 = 16;
/// Copies between zones take so many times longer.
const COPY_BETWEEN_ZONES: u64 = 2;

/// An engine that may read the prompt, and what that costs there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillChoice<'a, 'b> {
    pub(crate) engine: &'a EngineView<'b>,
    /// Holds more of the prefix.
    pub(crate) source: Option<&'a EngineView<'b>>,
    /// Prompt tokens that are prefilled before this request's first event, and those
    /// that others wait for because of it.
    pub(crate) cost: u64,
}

/// Among the owners of the prompt's shared prefix, or `anywhere`, the engine
/// that begins to generate first; what it lacks is copied from one of `holders`.
pub(crate) fn cheapest_prefill<'a, 'b>(
    prefill_engines: &[&'a EngineView<'b>],
    holders: &[&'a EngineView<'b>],
    prompt: &Prompt,
    anywhere: bool,
    now: Millis,
) -> Option<PrefillChoice<'a, 'b>> {
    let prefixes = prompt.prefixes();
    let sources = sources(holders, &prefixes, now);
    let candidates = if anywhere || prompt.shared_tokens() <= WORTHLESS_SHARED {
        prefill_engines.len()
    } else {
        OWNERS
    };
    let prefill = |(rank, engine): (usize, &'a EngineView<'b>)| {
        let known = known_tokens(engine, &prefixes, now);
        let held = known
            .max(likely_tokens(prompt, rank == 0))
            .min(prompt.tokens);
        let spread = spreading_cost(rank, prompt.tokens - held, prompt);
        let (uncached, source) = cheapest_copy(engine, held, &sources, prompt);
        let queued = engine.backend.load.uncached_tokens(now);
        // What is prefilled here is waited for by all who are here.
        let waiting = 1 + engine.backend.load.requests(now);
        PrefillChoice {
            engine,
            source,
            cost: queued + (uncached + spread) * waiting,
        }
    };
    let owners = ranked(prefill_engines, prompt).into_iter().take(candidates);
    owners
        .enumerate()
        .map(prefill)
        .min_by_key(|prefill| prefill.cost)
}

fn ranked<'a, 'b>(
    prefill_engines: &[&'a EngineView<'b>],
    prompt: &Prompt,
) -> Vec<&'a EngineView<'b>> {
    let prefix = prompt.shared_prefix();
    let mut ranked = prefill_engines.to_vec();
    ranked.sort_by_cached_key(|engine| {
        let id = engine.id().as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, prefix.0))
    });
    ranked
}

/// What keeping a prefix at another engine as well costs all: memory that
/// others lose, and what is prefilled again for that.
fn spreading_cost(rank: usize, lacking: u64, prompt: &Prompt) -> u64 {
    if rank == 0 {
        0
    } else {
        lacking.min(prompt.shared_tokens()) * SPREADING_COST
    }
}

fn known_tokens(engine: &EngineView<'_>, prefixes: &[Prefix], now: Millis) -> u64 {
    let held = |residency: &Residency| residency.held_tokens(prefixes, now);
    engine.residency.map_or(0, held)
}

/// See [`DOUBT_PARTS`].
fn likely_tokens(prompt: &Prompt, first_owner: bool) -> u64 {
    if !first_owner {
        return 0;
    }
    let shared = prompt.shared_tokens();
    shared - shared / DOUBT_PARTS
}

/// An engine that the prefix can be copied from.
#[derive(Clone, Copy)]
struct Source<'a, 'b> {
    engine: &'a EngineView<'b>,
    tokens: u64,
}

fn sources<'a, 'b>(
    holders: &[&'a EngineView<'b>],
    prefixes: &[Prefix],
    now: Millis,
) -> Vec<Source<'a, 'b>> {
    let source = |engine: &&'a EngineView<'b>| {
        let residency = engine.residency?;
        let tokens = residency.copyable_tokens(prefixes, now);
        (tokens > 0).then_some(Source { engine, tokens })
    };
    holders.iter().filter_map(source).collect()
}

/// Tokens to be prefilled at an engine that holds `held`, the time to copy the rest
/// of the prefix counted in tokens, and the engine that it is copied from.
fn cheapest_copy<'a, 'b>(
    engine: &EngineView<'b>,
    held: u64,
    sources: &[Source<'a, 'b>],
    prompt: &Prompt,
) -> (u64, Option<&'a EngineView<'b>>) {
    let uncached = prompt.tokens - held;
    let copying = |source: &Source<'a, 'b>| {
        let copied = source.tokens.saturating_sub(held);
        let left = prompt.tokens.saturating_sub(source.tokens.max(held));
        let cost = left + copy_cost(engine, source.engine, copied);
        (cost, source.engine)
    };
    let others = sources
        .iter()
        .filter(|source| source.engine.id() != engine.id());
    match others.map(copying).min_by_key(|(cost, _)| *cost) {
        Some((cost, source)) if cost < uncached => (cost, Some(source)),
        _ => (uncached, None),
    }
}

fn copy_cost(to: &EngineView<'_>, from: &EngineView<'_>, tokens: u64) -> u64 {
    let near = to.backend.registration.zone == from.backend.registration.zone;
    let times = if near { 1 } else { COPY_BETWEEN_ZONES };
    COPY_SETUP_TOKENS + times * tokens / COPIED_TOKENS_PER_READ_TOKEN
}
