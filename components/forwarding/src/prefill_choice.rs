//! Which engine prefills a prompt, and where it copies the prefix from that it
//! lacks: a pure function over what is believed.
//!
//! Each shared prefix has two owners, found by rendezvous hashing: all
//! gateways find the same ones without a word between them, and an engine that
//! leaves moves only what it owned. An owner that lacks the prefix copies it from
//! whoever was seen to hold it, in a small part of the time that prefilling takes.

use std::cmp::Reverse;

use garnet_types::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::EngineView;
use crate::residency::Residency;
use crate::work::{MAX_IGNORED_PREFIX_TOKENS, Prefix, Prompt};

/// Engines at which a shared prefix may be kept.
const OWNER_COUNT: usize = 2;
/// What keeping a prefix at another engine than its first owner costs all, also
/// where it is copied: memory that others lose, and what is prefilled again for
/// that. Each token that the engine lacks counts so many times more.
const SPREADING_COST_FACTOR: u64 = 2;
/// A first owner that this gateway has not sent the prefix to lately holds
/// it all the same, since the others send there too, but for this part.
const DOUBT_DIVISOR: u64 = 4;
/// What it costs to begin a copy, in prompt tokens that could be prefilled in
/// that time.
const COPY_SETUP_TOKENS: u64 = 400;
/// One token is prefilled in the time in which so many are copied.
const COPIED_TOKENS_PER_PREFILLED_TOKEN: u64 = 16;
/// Copies between zones take so many times longer.
const ZONE_COPY_FACTOR: u64 = 2;

/// An engine that may prefill the prompt, and what that costs there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillChoice<'a, 'b> {
    pub(crate) engine: &'a EngineView<'b>,
    /// Holds more of the prefix.
    pub(crate) source: Option<&'a EngineView<'b>>,
    /// Prompt tokens that are prefilled before this request's first event, and those
    /// that others wait for because of it.
    pub(crate) cost: u64,
}

/// Who looks for a prefill engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillSearch {
    /// Whether all engines are looked at.
    pub(crate) any_engine: bool,
    /// Engines that are looked at for a prompt that none owns.
    pub(crate) sampled: usize,
    /// Differs from request to request and from gateway to gateway.
    pub(crate) draw: u64,
    /// The present.
    pub(crate) now: Millis,
}

/// Among the owners of the prompt's shared prefix, or some engines where it has
/// none, the one that begins to decode first; what it lacks is copied from one of
/// `holders`.
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
        let spread = if is_first {
            0
        } else {
            let lacking = prompt.tokens - held;
            lacking.min(prompt.shared_tokens()) * SPREADING_COST_FACTOR
        };
        let queued = engine.backend.load.uncached_tokens(now);
        // What is prefilled here is waited for by all who are here.
        let waiting = 1 + engine.backend.load.requests(now);
        PrefillChoice {
            engine,
            source: copy.source,
            cost: queued + (copy.left + copy.cost + spread) * waiting,
        }
    };
    let candidates = candidates(engines, owners, prompt, search);
    candidates
        .into_iter()
        .map(choice)
        .min_by_key(|choice| choice.cost)
}

/// The engines that are compared: the owners of a shared prefix. A prompt without
/// one may go anywhere; some engines are drawn anew for each request, since other
/// gateways choose by the same beliefs meanwhile, and comparing all engines would
/// send all of them to the same one.
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

/// The owners of the prompt's shared prefix, the first one first.
fn owners<'a, 'b>(engines: &[&'a EngineView<'b>], prompt: &Prompt) -> Vec<&'a EngineView<'b>> {
    let prefix = prompt.shared_prefix();
    first_by(engines, OWNER_COUNT, |engine| {
        let id = engine.id().as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, prefix.0))
    })
}

/// The first `count` engines by a key, in its order. Each engine's key is worked out
/// once, and a few engines are kept in order: all of them need not be.
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

/// See [`DOUBT_DIVISOR`].
fn likely_tokens(prompt: &Prompt, first_owner: bool) -> u64 {
    if !first_owner {
        return 0;
    }
    let shared = prompt.shared_tokens();
    shared - shared / DOUBT_DIVISOR
}

/// An engine that the prefix can be copied from.
#[derive(Clone, Copy)]
struct Source<'a, 'b> {
    engine: &'a EngineView<'b>,
    tokens: u64,
}

/// Engines that were seen to hold the prefix.
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
struct Copy<'a, 'b> {
    /// Tokens that it prefills.
    left: u64,
    /// Time of the copy, in tokens that could be prefilled in it.
    cost: u64,
    source: Option<&'a EngineView<'b>>,
}

/// What is cheapest for an engine that holds `held` tokens.
fn cheapest_copy<'a, 'b>(
    engine: &EngineView<'b>,
    held: u64,
    sources: &[Source<'a, 'b>],
    prompt: &Prompt,
) -> Copy<'a, 'b> {
    let uncached = prompt.tokens - held;
    let copying = |source: &Source<'a, 'b>| {
        let copied = source.tokens.saturating_sub(held);
        Copy {
            left: prompt.tokens.saturating_sub(source.tokens.max(held)),
            cost: copy_cost(engine, source.engine, copied),
            source: Some(source.engine),
        }
    };
    let other_sources = sources
        .iter()
        .filter(|source| source.engine.id() != engine.id());
    let cheapest = other_sources
        .map(copying)
        .min_by_key(|copy| copy.left + copy.cost);
    cheapest
        .filter(|copy| copy.left + copy.cost < uncached)
        .unwrap_or(Copy {
            left: uncached,
            cost: 0,
            source: None,
        })
}

fn copy_cost(to: &EngineView<'_>, from: &EngineView<'_>, tokens: u64) -> u64 {
    let near = to.backend.registration.zone == from.backend.registration.zone;
    let times = if near { 1 } else { ZONE_COPY_FACTOR };
    COPY_SETUP_TOKENS + times * tokens / COPIED_TOKENS_PER_PREFILLED_TOKEN
}
