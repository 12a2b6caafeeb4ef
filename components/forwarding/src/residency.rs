//! Estimates which prompt prefixes an engine holds.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use garnet_types::{Millis, PrefixId};

use crate::work::{MAX_IGNORED_PREFIX_TOKENS, Prefix, Prompt};

/// Maximum number of prefixes that are tracked per engine; the least recently used are
/// dropped.
const MAX_PREFIXES: usize = 512;
/// A prefix that was unused for longer may have been evicted.
const RESIDENT_LIFETIME: Millis = Millis::from_secs(30);
/// A prefix that was unused for longer is not worth requesting a copy.
const COPYABLE_LIFETIME: Millis = Millis::from_secs(10);
/// A prefix is reported to peer gateways again after this time.
const PUBLISH_INTERVAL: Millis = Millis::from_secs(5);

/// Estimated state of one prefix.
#[derive(Debug, Clone, Copy)]
struct PrefixState {
    used_at: Millis,
    /// Whether it was prefilled to its end; it can't be copied before.
    is_prefilled: bool,
    /// When this gateway or a peer last reported the prefix to all gateways.
    published_at: Option<Millis>,
}

/// Estimated content of the prefix cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct Residency {
    states: HashMap<PrefixId, PrefixState>,
    /// How long engines of the same group keep an unused prefix, if known.
    lifetime: Rc<Cell<Option<Millis>>>,
}

impl Residency {
    /// Records that the prompt is sent to the engine.
    pub fn note_sent(&mut self, prompt: &Prompt, now: Millis) {
        for prefix in prompt.prefixes() {
            self.note(prefix.id, now);
        }
        self.evict_old(now);
    }

    /// Records that the engine holds the whole prompt now. Returns the shared prefixes to
    /// report to peer gateways.
    pub fn note_prefilled(&mut self, prompt: &Prompt, now: Millis) -> Vec<PrefixId> {
        let prefixes = prompt.prefixes();
        let shared = prefixes.len().saturating_sub(1);
        let mut to_publish = Vec::new();
        for (position, prefix) in prefixes.into_iter().enumerate() {
            let state = self.note(prefix.id, now);
            state.is_prefilled = true;
            let is_published = state
                .published_at
                .is_some_and(|at| now.since(at) <= PUBLISH_INTERVAL);
            let is_long_enough = prefix.tokens > MAX_IGNORED_PREFIX_TOKENS;
            if position < shared && is_long_enough && !is_published {
                state.published_at = Some(now);
                to_publish.push(prefix.id);
            }
        }
        self.evict_old(now);
        to_publish
    }

    /// Records that a peer gateway reported the prefix.
    pub fn note_reported(&mut self, prefix: PrefixId, now: Millis) {
        let state = self.note(prefix, now);
        state.is_prefilled = true;
        state.published_at = Some(now);
        self.evict_old(now);
    }

    /// Prompt tokens that the engine probably holds, or will have prefilled before this
    /// prompt.
    pub fn held_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.bounded_by_lifetime(RESIDENT_LIFETIME);
        self.tokens(prefixes, |state| now.since(state.used_at) <= limit)
    }

    /// Prompt tokens that can be copied from the engine.
    pub fn copyable_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.bounded_by_lifetime(COPYABLE_LIFETIME);
        self.tokens(prefixes, |state| {
            state.is_prefilled && now.since(state.used_at) < limit
        })
    }

    /// Creates an empty estimate; `lifetime` is shared by the engine's group.
    pub(crate) fn with_lifetime(lifetime: Rc<Cell<Option<Millis>>>) -> Self {
        Residency {
            lifetime,
            ..Residency::default()
        }
    }

    /// Uses the `lifetime` of another group, after the engine's role changed.
    pub(crate) fn share_lifetime(&mut self, lifetime: Rc<Cell<Option<Millis>>>) {
        self.lifetime = lifetime;
    }

    fn bounded_by_lifetime(&self, limit: Millis) -> Millis {
        self.lifetime
            .get()
            .map_or(limit, |lifetime| lifetime.min(limit))
    }

    fn tokens(&self, prefixes: &[Prefix], counts: impl Fn(&PrefixState) -> bool) -> u64 {
        let is_held = |prefix: &&Prefix| self.states.get(&prefix.id).is_some_and(&counts);
        let held = prefixes.iter().take_while(is_held);
        held.last().map_or(0, |prefix| prefix.tokens)
    }

    fn note(&mut self, prefix: PrefixId, now: Millis) -> &mut PrefixState {
        let state = self.states.entry(prefix).or_insert(PrefixState {
            used_at: now,
            is_prefilled: false,
            published_at: None,
        });
        state.used_at = now;
        state
    }

    fn evict_old(&mut self, now: Millis) {
        if self.states.len() <= MAX_PREFIXES {
            return;
        }
        let age = |state: &PrefixState| now.since(state.used_at);
        let mut ages: Vec<Millis> = self.states.values().map(age).collect();
        ages.sort_unstable();
        let limit = ages[MAX_PREFIXES / 2];
        self.states.retain(|_, state| age(state) <= limit);
    }
}
