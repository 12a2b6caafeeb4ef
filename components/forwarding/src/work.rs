//! Typed facts of a request whose content stays opaque.

use garnet_control::LOWEST_PRIORITY;
use garnet_routes::WorkKind;
use garnet_types::{BuildId, Millis, PrefixId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt. Parts are shared between requests; the last one belongs to the
/// request or to its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prefix of a prompt that ends with one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Identifies the content.
    pub id: PrefixId,
    /// Length in tokens.
    pub tokens: u64,
}

/// Shared prefixes up to this length are not assigned to owner engines, since caching them
/// saves little: any prefill engine takes them.
pub(crate) const MAX_IGNORED_PREFIX_TOKENS: u64 = 1_000;

/// The known facts of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Its parts in order.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Likely number of output tokens, if a guess is available.
    pub likely_output_tokens: Option<u64>,
}

/// Prompts with fewer uncached tokens don't delay others noticeably.
const SHORT_PREFILL: u64 = 512;

impl Work {
    /// Whether the whole answer probably takes longer than `available`. The caller waits for
    /// `remaining`, and most such requests of the route are answered within `usual`, if that is
    /// known.
    pub fn outlasts(&self, remaining: Millis, available: Millis, usual: Option<Millis>) -> bool {
        available == Millis::ZERO || self.likely_time(remaining, usual) > available
    }

    fn likely_time(&self, remaining: Millis, usual: Option<Millis>) -> Millis {
        let likely = usual.unwrap_or_else(|| self.longest_time(remaining));
        likely.min(remaining)
    }

    /// Assumes that the maximum output takes all of the caller's `remaining` time, and the likely
    /// fraction of the output that fraction of the time.
    fn longest_time(&self, remaining: Millis) -> Millis {
        // A stream that is cut can be taken up elsewhere.
        if self.kind == WorkKind::ResumableStream {
            return self.objective;
        }
        let likely_fraction = self.prompt.as_ref().map_or(1.0, Prompt::likely_fraction);
        Millis((remaining.0 as f64 * likely_fraction) as u64)
    }

    /// Priority of the request at an engine of its service, 0 first. Each doubling of the
    /// uncached tokens counts as much as one step of the route's priority: a short
    /// prefill delays no other request, and a long one is hardly later if it waits for a
    /// short one.
    ///
    /// Deferred work has the lowest priority: it would be late anyway, and must not delay
    /// others.
    pub fn engine_priority(&self, uncached_tokens: u64) -> u8 {
        if self.is_deferred {
            return LOWEST_PRIORITY;
        }
        let doublings = (uncached_tokens / SHORT_PREFILL)
            .checked_ilog2()
            .map_or(0, |doublings| doublings as u8 + 1);
        self.priority.saturating_add(doublings).min(LOWEST_PRIORITY)
    }
}

impl Prompt {
    /// Returns the prefixes that end with a part. The cache of a part can be used only
    /// behind all parts before it.
    pub fn prefixes(&self) -> Vec<Prefix> {
        let mut key = 0;
        let mut tokens = 0;
        let mut prefixes = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
            tokens += part.tokens;
            // Half of the hash is enough to distinguish the prefixes in use, and halves
            // the size on the wire. A wrong match costs time only.
            let id = PrefixId(key & u64::from(u32::MAX));
            prefixes.push(Prefix { id, tokens });
        }
        prefixes
    }

    /// Likely number of output tokens.
    pub fn likely_output(&self) -> u64 {
        let likely = self.likely_output_tokens.unwrap_or(self.output_tokens);
        likely.min(self.output_tokens)
    }

    /// Likely output as a fraction of the maximum output.
    pub fn likely_fraction(&self) -> f64 {
        self.likely_output() as f64 / self.output_tokens.max(1) as f64
    }

    /// Tokens of KV cache that the request will probably hold at its end.
    pub fn held_tokens(&self) -> u64 {
        self.tokens + self.likely_output()
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Length of the longest prefix that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The longest prefix that other requests may share, or the whole prompt if it has
    /// only one part.
    pub fn shared_prefix(&self) -> PrefixId {
        let prefixes = self.prefixes();
        let shared = prefixes.len().saturating_sub(2);
        prefixes
            .get(shared)
            .map_or(PrefixId::default(), |prefix| prefix.id)
    }
}

/// The known facts of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// What may be done with it, such as whether it may be repeated.
    pub kind: WorkKind,
    /// Priority of its route; 0 is the most urgent.
    pub priority: u8,
    /// Time within which its answer is useful.
    pub objective: Millis,
    /// Maximum number of back ends that it may be sent to.
    pub max_attempts: u32,
    /// Its prompt, if it is work for engines.
    pub prompt: Option<Prompt>,
    /// Set when its answer can't be in time any more.
    pub is_deferred: bool,
    /// The build of the engine that began a stream; no other build continues it.
    pub build: Option<BuildId>,
}
