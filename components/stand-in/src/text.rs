//! Generated text as a function of the prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "amber", "basket", "clinic", "dosage", "ember", "forest", "garnet", "harbour", "island",
    "jacket", "kettle", "lantern", "meadow", "notary", "orchard", "pharmacy",
];

/// The token at `index` in the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!(" {word}{}", hash / 16 % 100)
}

/// The complete answer to `prompt`, of `tokens` tokens.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}
