//! The prefix index: repeated events, gaps, restarts and its bound.

use garnet_routing::prefix_index::{BLOCK_TOKENS, MAX_BLOCKS, MAX_BLOCKS_PER_ENGINE};
use garnet_routing::{CacheEvent, PrefixIndex, block_hashes};
use garnet_types::BackendId;

fn prompt(words: usize) -> String {
    (0..words).map(|number| format!("w{number} ")).collect()
}

fn stored(blocks: &[u64], first_sequence: u64) -> Vec<CacheEvent> {
    let numbered = blocks.iter().zip(first_sequence..);
    numbered
        .map(|(block, sequence)| CacheEvent {
            sequence,
            block: *block,
            stored: true,
        })
        .collect()
}

fn engine(number: usize) -> BackendId {
    BackendId::new(format!("engine-{number}"))
}

#[test]
fn a_block_hash_covers_the_whole_prefix() {
    let long = block_hashes(&prompt(3 * BLOCK_TOKENS + 5));
    let short = block_hashes(&prompt(2 * BLOCK_TOKENS));
    assert_eq!(long.len(), 3);
    assert_eq!(long[..2], short[..]);
    let other = block_hashes(&format!("other {}", prompt(2 * BLOCK_TOKENS)));
    assert!(other.iter().all(|block| !long.contains(block)));
}

#[test]
fn a_prefix_ends_at_its_first_missing_block() {
    let blocks = block_hashes(&prompt(4 * BLOCK_TOKENS));
    let mut index = PrefixIndex::default();
    index.observe(
        &engine(0),
        1,
        &stored(&[blocks[0], blocks[1], blocks[3]], 0),
    );
    assert_eq!(
        index.cached_tokens(&engine(0), &blocks),
        2 * BLOCK_TOKENS as u64
    );
    assert_eq!(index.cached_tokens(&engine(1), &blocks), 0);
}

#[test]
fn repeated_events_are_ignored() {
    let blocks = block_hashes(&prompt(2 * BLOCK_TOKENS));
    let mut index = PrefixIndex::default();
    let events = stored(&blocks, 0);
    index.observe(&engine(0), 1, &events);
    let evicted = CacheEvent {
        stored: false,
        sequence: 2,
        block: blocks[1],
    };
    index.observe(&engine(0), 1, &[evicted]);
    index.observe(&engine(0), 1, &events);
    assert_eq!(
        index.cached_tokens(&engine(0), &blocks),
        BLOCK_TOKENS as u64
    );
}

#[test]
fn a_gap_or_a_restart_drops_all_blocks() {
    let blocks = block_hashes(&prompt(2 * BLOCK_TOKENS));
    let mut index = PrefixIndex::default();
    index.observe(&engine(0), 1, &stored(&blocks[..1], 0));
    index.observe(&engine(0), 1, &stored(&blocks[1..], 5));
    assert_eq!(index.cached_tokens(&engine(0), &blocks), 0);
    assert_eq!(index.gaps, 1);
    index.observe(&engine(0), 1, &stored(&blocks[..1], 6));
    assert!(index.cached_tokens(&engine(0), &blocks) > 0);
    index.observe(&engine(0), 2, &[]);
    assert_eq!(index.cached_tokens(&engine(0), &blocks), 0);
}

/// The index of a large fleet stays within its bound, which the engines share evenly.
#[test]
fn the_index_is_bounded_over_all_engines() {
    let mut index = PrefixIndex::default();
    let blocks: Vec<u64> = (0..MAX_BLOCKS_PER_ENGINE as u64 + 100).collect();
    for number in 0..100 {
        index.observe(&engine(number), 1, &stored(&blocks, 0));
    }
    assert!(index.len() > MAX_BLOCKS / 2);
    for number in 0..100 {
        index.observe(&engine(number), 1, &[]);
    }
    assert!(index.len() <= MAX_BLOCKS, "{}", index.len());
}

#[test]
fn the_newest_blocks_of_an_engine_are_kept() {
    let mut index = PrefixIndex::default();
    let blocks: Vec<u64> = (0..MAX_BLOCKS_PER_ENGINE as u64 + 1).collect();
    index.observe(&engine(0), 1, &stored(&blocks, 0));
    assert_eq!(index.len(), MAX_BLOCKS_PER_ENGINE);
    assert_eq!(index.cached_tokens(&engine(0), &[0]), 0, "the oldest");
    assert!(index.cached_tokens(&engine(0), &[1]) > 0);
}
