//! Generated text as a function of the prompt.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "amber", "basket", "clinic", "dosage", "ember", "forest", "garnet", "harbour", "island",
    "jacket", "kettle", "lantern", "meadow", "notary", "orchard", "pharmacy",
];

/// Builds of stand-in engines, each of which writes another answer to a prompt. The first one is the
/// default.
pub const BUILDS: [&str; 2] = ["1", "2"];

/// The build that replaces `build`.
pub fn other_build(build: &str) -> &'static str {
    let [one, other] = BUILDS;
    if build == one { other } else { one }
}

/// The token at `index` in the answer of a build to `prompt`.
pub fn token(build: &str, prompt: &str, index: u64) -> String {
    let seed = if build == BUILDS[0] {
        index
    } else {
        index ^ xxh3_64(build.as_bytes())
    };
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!(" {word}{}", hash / 16 % 100)
}

/// The complete answer of a build to `prompt`, of `tokens` tokens.
pub fn expected_text(build: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token(build, prompt, index))
        .collect()
}

/// Whether a text is the complete answer of one build to `prompt`.
pub fn is_expected_text(text: &str, prompt: &str, tokens: u64) -> bool {
    let mut builds = BUILDS.iter();
    builds.any(|build| text == expected_text(build, prompt, tokens))
}
