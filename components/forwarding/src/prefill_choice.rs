//! Chooses the engine that prefills a prompt, and the engine that it copies a missing
//! prefix from: a pure function over the gateway's estimates.
//!
//! Each shared prefix has two owners, found by rendezvous hashing: all gateways find the
//! same ones without communication, and an engine that leaves moves only the prefixes
//! that it owned. An owner that lacks the prefix copies it from an engine that holds it,
//! in a small fraction of the time of a prefill.

use std::cmp::Reverse;

use garnet_types::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::EngineView;
use crate::residency::Residency;
use crate::work::{MAX_IGNORED_PREFIX_TOKENS, Prefix, Prompt};

/// Number of engines that own a shared prefix.
const OWNER_COUNT: usize = 2;
/// Factor on each token that an engine other than the first owner lacks, even if it
/// copies them: a further copy takes memory from other prefixes, which are then prefilled
/// again.
const SPREADING_COST_FACTOR: u64 = 2;
/// A first owner is assumed to hold the prefix even if this gateway has not sent it there
/// recently, since peer gateways send there too; one token in this many is assumed to be
/// missing.
const DOUBT_DIVISOR: u64 = 4;
/// Fixed cost of a copy, in prompt tokens that could be prefilled in its time.
const COPY_SETUP_TOKENS: u64 = 400;
/// Number of tokens that are copied in the time in which one is prefilled.
const COPIED_TOKENS_PER_PREFILLED_TOKEN: u64 = 16;
/// Factor on the time of copies between zones.
const ZONE_COPY_FACTOR: u64 = 2;

/// An engine that may prefill the prompt, and the cost of doing it there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillChoice<'a, 'b> {
    pub(crate) engine: &'a EngineView<'b>,
    /// An engine that holds more of the prefix, to copy from.
    pub(crate) source: Option<&'a EngineView<'b>>,
    /// Prompt tokens that are prefilled before this request's first token, plus the tokens
    /// of this prefill once for each other request at the engine, which it delays.
    pub(crate) cost: u64,
}

/// The circumstances in which a prefill engine is chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillSearch {
    /// Whether all engines are compared.
    pub(crate) any_engine: bool,
    /// Number of engines to compare for a prompt whose shared prefix is too short to have
    /// owners.
    pub(crate) sampled: usize,
    /// A number that differs between requests and gateways, to draw a random sample.
    pub(crate) draw: u64,
    /// The current time.
    pub(crate) now: Millis,
}

/// Chooses the engine that finishes the prefill first, among the owners of the prompt's
/// shared prefix or, if it has none, among some engines. It copies what it lacks from one
/// of `holders`.
pub(crate) fn cheapest_prefill<'a, 'b>(
    engines: &[&'a EngineView<'b>],
    holders: &[&'a EngineView<'b>],
    prompt: &Prompt,
    search: PrefillSearch,
) -> Option<PrefillChoice<'a, 'b>> {
    let now = search.now;
    let prefixes = prompt.prefixes();
    let owners = owners(engines, prompt);
    let first_owner = owners.first().copied();
    let sources = sources(holders, &prefixes, now);
    let choice = |engine: &'a EngineView<'b>| {
        let is_first = first_owner.is_some_and(|first| first.id() == engine.id());
        let known = known_tokens(engine, &prefixes, now);
        let held = known
            .max(likely_tokens(prompt, is_first))
            .min(prompt.tokens);
        let copy = cheapest_copy(engine, held, &sources, prompt);
        let spreading_cost = if is_first {
            0
        } else {
            let lacking = prompt.tokens - held;
            lacking.min(prompt.shared_tokens()) * SPREADING_COST_FACTOR
        };
        let queued = engine.backend.load.uncached_tokens(now);
        // All requests at the engine wait for this prefill.
        let affected_requests = 1 + engine.backend.load.requests(now);
        PrefillChoice {
            engine,
            source: copy.source,
            cost: queued + (copy.to_prefill + copy.cost + spreading_cost) * affected_requests,
        }
    };
    let candidates = candidates(engines, owners, prompt, search);
    candidates
        .into_iter()
        .map(choice)
        .min_by_key(|choice| choice.cost)
}

/// Returns the engines to compare: the owners of a shared prefix. A prompt without one
/// may go anywhere. A random sample is drawn for each request, since other gateways
/// choose by the same estimates meanwhile: if each compared all engines, all gateways would
/// choose the same one.
fn candidates<'a, 'b>(
    engines: &[&'a EngineView<'b>],
    owners: Vec<&'a EngineView<'b>>,
    prompt: &Prompt,
    search: PrefillSearch,
) -> Vec<&'a EngineView<'b>> {
    if search.any_engine || engines.len() <= OWNER_COUNT {
        return engines.to_vec();
    }
    if prompt.shared_tokens() <= MAX_IGNORED_PREFIX_TOKENS {
        return first_by(engines, search.sampled.max(OWNER_COUNT), |engine| {
            let id = engine.id().as_str().as_bytes();
            xxh3_64_with_seed(id, search.draw)
        });
    }
    owners
}

/// Returns the owners of the prompt's shared prefix, the first owner first.
fn owners<'a, 'b>(engines: &[&'a EngineView<'b>], prompt: &Prompt) -> Vec<&'a EngineView<'b>> {
    let prefix = prompt.shared_prefix();
    first_by(engines, OWNER_COUNT, |engine| {
        let id = engine.id().as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, prefix.0))
    })
}

/// Returns the first `count` engines in the order of `key`. Each key is computed once,
/// and only `count` engines are kept sorted.
fn first_by<'a, 'b, K: Ord>(
    engines: &[&'a EngineView<'b>],
    count: usize,
    key: impl Fn(&EngineView<'b>) -> K,
) -> Vec<&'a EngineView<'b>> {
    let mut first: Vec<(K, &'a EngineView<'b>)> = Vec::with_capacity(count + 1);
    for engine in engines {
        let key = key(engine);
        if first.len() == count && first.last().is_some_and(|(last, _)| *last <= key) {
            continue;
        }
        let position = first.partition_point(|(existing, _)| *existing <= key);
        first.insert(position, (key, engine));
        first.truncate(count);
    }
    first.into_iter().map(|(_, engine)| engine).collect()
}

fn known_tokens(engine: &EngineView<'_>, prefixes: &[Prefix], now: Millis) -> u64 {
    let held = |residency: &Residency| residency.held_tokens(prefixes, now);
    engine.residency.map_or(0, held)
}

/// Tokens that a first owner is assumed to hold; see [`DOUBT_DIVISOR`].
fn likely_tokens(prompt: &Prompt, first_owner: bool) -> u64 {
    if !first_owner {
        return 0;
    }
    let shared = prompt.shared_tokens();
    shared - shared / DOUBT_DIVISOR
}

/// An engine from which the prefix can be copied.
#[derive(Clone, Copy)]
struct Source<'a, 'b> {
    engine: &'a EngineView<'b>,
    tokens: u64,
}

/// Returns the engines that are known to hold the prefix.
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

/// What an engine prefills, and what it copies before.
struct CopyPlan<'a, 'b> {
    /// Tokens to prefill.
    to_prefill: u64,
    /// Time of the copy, in tokens that could be prefilled in it.
    cost: u64,
    source: Option<&'a EngineView<'b>>,
}

/// Returns the cheapest copy, or none, for an engine that holds `held` tokens.
fn cheapest_copy<'a, 'b>(
    engine: &EngineView<'b>,
    held: u64,
    sources: &[Source<'a, 'b>],
    prompt: &Prompt,
) -> CopyPlan<'a, 'b> {
    let uncached = prompt.tokens - held;
    let copying = |source: &Source<'a, 'b>| {
        let copied = source.tokens.saturating_sub(held);
        CopyPlan {
            to_prefill: prompt.tokens.saturating_sub(source.tokens.max(held)),
            cost: copy_cost(engine, source.engine, copied),
            source: Some(source.engine),
        }
    };
    let other_sources = sources
        .iter()
        .filter(|source| source.engine.id() != engine.id())
        .filter(|source| source.engine.backend.build == engine.backend.build);
    let cheapest = other_sources
        .map(copying)
        .min_by_key(|copy| copy.to_prefill + copy.cost);
    cheapest
        .filter(|copy| copy.to_prefill + copy.cost < uncached)
        .unwrap_or(CopyPlan {
            to_prefill: uncached,
            cost: 0,
            source: None,
        })
}

fn copy_cost(to: &EngineView<'_>, from: &EngineView<'_>, tokens: u64) -> u64 {
    let same_zone = to.backend.registration.zone == from.backend.registration.zone;
    let factor = if same_zone { 1 } else { ZONE_COPY_FACTOR };
    COPY_SETUP_TOKENS + factor * tokens / COPIED_TOKENS_PER_PREFILLED_TOKEN
}
