//! Which prompt prefixes an engine holds, as far as this gateway knows.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use garnet_types::{Millis, PrefixId};

use crate::work::{Prefix, Prompt, WORTHLESS_SHARED};

/// Beginnings that are remembered of one engine; the oldest go first.
const MOST_PREFIXES: usize = 512;
/// A prefix that was not used for so long may have given way.
const BELIEVED_FOR: Millis = Millis::from_secs(30);
/// A prefix that was not used for so long is not worth asking for a copy.
const COPYABLE_FOR: Millis = Millis::from_secs(10);
/// The other gateways are told again of a prefix after so long.
const TOLD_FOR: Millis = Millis::from_secs(5);

/// What is believed of one prefix.
#[derive(Debug, Clone, Copy)]
struct Belief {
    used_at: Millis,
    /// Whether it was prefilled to its end; until then it can't be copied.
    is_read: bool,
    /// When a gateway told the others, this one or another.
    told_at: Option<Millis>,
}

/// Beliefs about the prefix cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct Residency {
    beliefs: HashMap<PrefixId, Belief>,
    /// How long engines like this one keep what nobody uses, where that is known.
    lifetime: Rc<Cell<Option<Millis>>>,
}

impl Residency {
    /// Notes that the engine is sent the prompt.
    pub fn note_sent(&mut self, prompt: &Prompt, now: Millis) {
        for prefix in prompt.prefixes() {
            self.note(prefix.id, now);
        }
        self.forget_old(now);
    }

    /// Notes that the engine holds the whole prompt now. Gives the shared
    /// prefixes that the other gateways should hear of.
    pub fn note_prefilled(&mut self, prompt: &Prompt, now: Millis) -> Vec<PrefixId> {
        let prefixes = prompt.prefixes();
        let shared = prefixes.len().saturating_sub(1);
        let mut news = Vec::new();
        for (place, prefix) in prefixes.into_iter().enumerate() {
            let belief = self.note(prefix.id, now);
            belief.is_read = true;
            let known = belief.told_at.is_some_and(|at| now.since(at) <= TOLD_FOR);
            let is_worth_it = prefix.tokens > WORTHLESS_SHARED;
            if place < shared && is_worth_it && !known {
                belief.told_at = Some(now);
                news.push(prefix.id);
            }
        }
        self.forget_old(now);
        news
    }

    /// Notes what another gateway told.
    pub fn note_reported(&mut self, prefix: PrefixId, now: Millis) {
        let belief = self.note(prefix, now);
        belief.is_read = true;
        belief.told_at = Some(now);
        self.forget_old(now);
    }

    /// Tokens of the prompt with these prefixes that the engine is believed to
    /// hold, or to have read before this prompt's turn comes.
    pub fn held_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.at_most(BELIEVED_FOR);
        self.tokens(prefixes, |belief| now.since(belief.used_at) <= limit)
    }

    /// Tokens of the prompt with these prefixes that can be copied from the
    /// engine.
    pub fn copyable_tokens(&self, prefixes: &[Prefix], now: Millis) -> u64 {
        let limit = self.at_most(COPYABLE_FOR);
        self.tokens(prefixes, |belief| {
            belief.is_read && now.since(belief.used_at) < limit
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

    fn at_most(&self, limit: Millis) -> Millis {
        self.lifetime
            .get()
            .map_or(limit, |lifetime| lifetime.min(limit))
    }

    fn tokens(&self, prefixes: &[Prefix], counts: impl Fn(&Belief) -> bool) -> u64 {
        let believed = |prefix: &&Prefix| self.beliefs.get(&prefix.id).is_some_and(&counts);
        let held = prefixes.iter().take_while(believed);
        held.last().map_or(0, |prefix| prefix.tokens)
    }

    fn note(&mut self, prefix: PrefixId, now: Millis) -> &mut Belief {
        let belief = self.beliefs.entry(prefix).or_insert(Belief {
            used_at: now,
            is_read: false,
            told_at: None,
        });
        belief.used_at = now;
        belief
    }

    fn forget_old(&mut self, now: Millis) {
        if self.beliefs.len() <= MOST_PREFIXES {
            return;
        }
        let age = |belief: &Belief| now.since(belief.used_at);
        let mut ages: Vec<Millis> = self.beliefs.values().map(age).collect();
        ages.sort_unstable();
        let limit = ages[MOST_PREFIXES / 2];
        self.beliefs.retain(|_, belief| age(belief) <= limit);
    }
}
