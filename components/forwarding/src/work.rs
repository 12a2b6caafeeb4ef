//! Typed facts of a request whose content stays opaque.

use garnet_control::LAST_RANK;
use garnet_routes::WorkKind;
use garnet_types::{Millis, PrefixId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt. Parts are shared between requests; the last one
/// belongs to the request or to its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// A prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Names its content.
    pub id: PrefixId,
    /// Its length.
    pub tokens: u64,
}

/// Shared prefixes up to this many tokens are not worth a place of their own:
/// any prefill engine takes them.
pub(crate) const MAX_IGNORED_PREFIX_TOKENS: u64 = 1_000;

/// What is known of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Its parts in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Most tokens that are wanted.
    pub output_tokens: u64,
    /// Tokens that will probably come out, where anybody has an idea.
    pub likely_output_tokens: Option<u64>,
}

/// Prompts of which fewer tokens are left to be prefilled hold nobody up.
const SHORT_PREFILL: u64 = 512;

impl Work {
    /// Whether a stream that can't be taken up elsewhere probably goes on for
    /// longer than `left`. Its caller waits long enough for the most output;
    /// the likely part of that takes the same part of the time.
    pub fn outlasts(&self, remaining: Millis, left: Millis) -> bool {
        if self.kind.may_repeat() {
            return false;
        }
        let likely_fraction = self.prompt.as_ref().map_or(0.0, Prompt::likely_fraction);
        remaining.0 as f64 * likely_fraction > left.0 as f64
    }

    /// Rank among the work of its service, 0 first: each doubling of the prompt
    /// tokens that are left to be prefilled counts as much as one step of the
    /// route's priority. A short prefill holds nobody up, and a long one that
    /// waits for it is hardly later.
    ///
    /// Deferred work comes last: it would be late anyway, and makes nobody else
    /// late.
    pub fn engine_priority(&self, uncached_tokens: u64) -> u8 {
        if self.is_deferred {
            return LAST_RANK;
        }
        let doublings = (uncached_tokens / SHORT_PREFILL)
            .checked_ilog2()
            .map_or(0, |doublings| doublings as u8 + 1);
        self.priority.saturating_add(doublings).min(LAST_RANK)
    }
}

impl Prompt {
    /// The prefixes that end with a part: the cache of a part counts only
    /// behind all parts before it.
    pub fn prefixes(&self) -> Vec<Prefix> {
        let mut key = 0;
        let mut tokens = 0;
        let mut prefixes = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
            tokens += part.tokens;
            // Half of the hash is enough to tell the prefixes that are in use
            // from one another, and costs half on the wire. A belief about the
            // wrong prefix costs time only.
            let id = PrefixId(key & u64::from(u32::MAX));
            prefixes.push(Prefix { id, tokens });
        }
        prefixes
    }

    /// Tokens that will probably come out.
    pub fn likely_output(&self) -> u64 {
        let likely = self.likely_output_tokens.unwrap_or(self.output_tokens);
        likely.min(self.output_tokens)
    }

    /// The part of the most output that will probably come.
    pub fn likely_fraction(&self) -> f64 {
        self.likely_output() as f64 / self.output_tokens.max(1) as f64
    }

    /// Tokens of KV cache that the request will probably hold at its end.
    pub fn held_tokens(&self) -> u64 {
        self.tokens + self.likely_output()
    }

    /// Tokens of the longest prefix that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let last = self.parts.last().map_or(0, |part| part.tokens);
        let all: u64 = self.parts.iter().map(|part| part.tokens).sum();
        all - last
    }

    /// The longest prefix that other requests may share, or the whole prompt
    /// where it has one part only.
    pub fn shared_prefix(&self) -> PrefixId {
        let prefixes = self.prefixes();
        let shared = prefixes.len().saturating_sub(2);
        prefixes
            .get(shared)
            .map_or(PrefixId::default(), |prefix| prefix.id)
    }
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// What may be done with it.
    pub kind: WorkKind,
    /// Rank: 0 is the most urgent.
    pub priority: u8,
    /// Time within which its answer is useful.
    pub objective: Millis,
    /// Most back ends that it may be sent to.
    pub max_attempts: u32,
    /// Its prompt, for work of engines.
    pub prompt: Option<Prompt>,
    /// Set when its answer can't be in time any more.
    pub is_deferred: bool,
}
