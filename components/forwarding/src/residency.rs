//! Which prompt prefixes an engine holds, as far as this gateway knows.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use garnet_types::{Millis, PrefixId};

use crate::work::{MAX_IGNORED_PREFIX_TOKENS, Prefix, Prompt};

/// Beginnings that are remembered of one engine; the oldest go first.
const MAX_PREFIXES: usize = 512;
/// A prefix that was not used for so long may have given way.
const RESIDENT_LIFETIME: Millis = Millis::from_secs(30);
/// A prefix that was not used for so long is not worth asking for a copy.
const COPYABLE_LIFETIME: Millis = Millis::from_secs(10);
/// The other gateways are told again of a prefix after so long.
const PUBLISH_INTERVAL: Millis = Millis::from_secs(5);

/// What is believed of one prefix.
#[derive(Debug, Clone, Copy)]
struct PrefixState {
    used_at: Millis,
    /// Whether it was prefilled to its end; until then it can't be copied.
    is_prefilled: bool,
    /// When a gateway told the others, this one or another.
    published_at: Option<Millis>,
}

/// Beliefs about the prefix cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct Residency {
    states: HashMap<PrefixId, PrefixState>,
    /// How long engines like this one keep what nobody uses, where that is known.
    lifetime: Rc<Cell<Option<Millis>>>,
}

impl Residency {
    /// Notes that the engine is sent the prompt.
    pub fn note_sent(&mut self, prompt: &Prompt, now: Millis) {
        for prefix in prompt.prefixes() {
            self.note(prefix.id, now);
        }
        self.evict_old(now);
    }

    /// Notes that the engine holds the whole prompt now. Gives the shared
    /// prefixes that the other gateways should hear of.
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

    /// Notes what another gateway told.
    pub fn note_reported(&mut self, prefix: PrefixId, now: Millis) {
        let state = self.note(prefix, now);
        state.is_prefilled = true;
        state.published_at = Some(now);
        self.evict_old(now);
    }

    /// Tokens of the prompt with these prefixes that the engine is believed to
    /// hold, or to have read before this prompt's turn comes.
    pub fn held_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.bounded_by_lifetime(RESIDENT_LIFETIME);
        self.tokens(prefixes, |state| now.since(state.used_at) <= limit)
    }

    /// Tokens of the prompt with these prefixes that can be copied from the
    /// engine.
    pub fn copyable_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.bounded_by_lifetime(COPYABLE_LIFETIME);
        self.tokens(prefixes, |state| {
            state.is_prefilled && now.since(state.used_at) < limit
        })
    }

    /// Nothing is known of what the engine holds; `lifetime` is shared with its like.
    pub(crate) fn with_lifetime(lifetime: Rc<Cell<Option<Millis>>>) -> Self {
        Residency {
            lifetime,
            ..Residency::default()
        }
    }

    /// The engine's work is that of others now.
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
