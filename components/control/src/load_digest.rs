//! Load and health of all back ends, as the leader tells it to every gateway.
//!
//! Contract: a digest is made and encoded once, and the same bytes go to all
//! gateways; each takes its own part off, see [`LoadDigest::counted`]. Back ends
//! are told by their place in the configuration, not by name: a digest can be
//! read only by who knows the same back ends, and is left aside by others.
//!
//! Only back ends that have work or are failing are told: a digest grows with the
//! work under way, not with the fleet. An entry takes 5 to 14 bytes: tokens are told in
//! steps of [`TOKENS_PER_UNIT`].

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use garnet_types::{BackendId, Millis};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::Xxh3;

use crate::priority_counts::PriorityCounts;

mod v11;

pub(crate) use v11::V11Digest;

/// Tokens are told in steps of so many, which an engine prefills in less time than
/// a digest is old. They are rounded down: a gateway takes its own work off, and
/// what is left must not be taken for work of others.
const TOKENS_PER_UNIT: u64 = 64;
/// Set in [`Entry::marks`] where the back end is failing. The lower bits tell
/// the ranks of [`Entry::uncached_units`].
const FAILING: u16 = 1 << 15;

/// Names a set of back ends in its order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersHash(u64);

impl MembersHash {
    /// The hash of these back ends.
    pub fn of<'a>(ids: impl Iterator<Item = &'a BackendId>) -> Self {
        let mut hash = Xxh3::new();
        for id in ids {
            hash.update(id.as_str().as_bytes());
            hash.update(&[0]);
        }
        MembersHash(hash.digest())
    }
}

impl fmt::Display for MembersHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for MembersHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(MembersHash)
    }
}

/// What is under way at one back end, and whether it is sound.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendState {
    /// Requests under way.
    pub requests: u64,
    /// Prompt tokens that it has yet to prefill.
    pub uncached: PriorityCounts,
    /// Tokens of KV cache that these requests hold, or will hold.
    pub held_tokens: u64,
    /// Whether requests of several gateways failed there.
    pub is_failing: bool,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    /// Back ends left out since the entry before.
    skipped: u32,
    marks: u16,
    requests: u64,
    held_units: u64,
    uncached_units: Vec<u64>,
}

impl Entry {
    fn new(skipped: u32, state: &BackendState) -> Self {
        let mut marks = if state.is_failing { FAILING } else { 0 };
        let mut uncached_units = Vec::new();
        for (rank, tokens) in state.uncached.iter() {
            let units = tokens / TOKENS_PER_UNIT;
            if units > 0 {
                marks |= 1 << rank;
                uncached_units.push(units);
            }
        }
        Entry {
            skipped,
            marks,
            requests: state.requests,
            held_units: state.held_tokens / TOKENS_PER_UNIT,
            uncached_units,
        }
    }
}

impl From<Entry> for BackendState {
    fn from(entry: Entry) -> Self {
        let mut uncached = PriorityCounts::default();
        let ranks = PriorityCounts::priorities().filter(|rank| entry.marks & (1 << rank) != 0);
        for (rank, units) in ranks.zip(entry.uncached_units) {
            uncached.add(rank, units * TOKENS_PER_UNIT);
        }
        BackendState {
            requests: entry.requests,
            uncached,
            held_tokens: entry.held_units * TOKENS_PER_UNIT,
            is_failing: entry.marks & FAILING != 0,
        }
    }
}

/// A back end that is told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionedState {
    /// Its place among the back ends.
    pub position: usize,
    /// What is under way there.
    pub state: BackendState,
}

/// One digest, encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    members: MembersHash,
    entries: Arc<ByteBuf>,
    /// Idle back ends after the last entry; known where the digest was made.
    #[serde(skip)]
    idle_at_end: u32,
}

impl LoadDigest {
    /// Encodes the states of all back ends, in their order.
    pub fn encode(members: MembersHash, states: impl IntoIterator<Item = BackendState>) -> Self {
        let mut skipped = 0;
        let mut entries = Vec::new();
        for state in states {
            if state == BackendState::default() {
                skipped += 1;
            } else {
                entries.push(Entry::new(skipped, &state));
                skipped = 0;
            }
        }
        let bytes = bincode::serde::encode_to_vec(&entries, bincode::config::standard());
        LoadDigest {
            members,
            // Plain numbers can always be encoded.
            entries: Arc::new(ByteBuf::from(bytes.unwrap_or_default())),
            idle_at_end: skipped,
        }
    }

    /// Length of the encoded entries.
    pub fn len_bytes(&self) -> usize {
        self.entries.len()
    }

    /// Whether this is a digest of these back ends.
    pub(crate) fn is_of(&self, members: MembersHash) -> bool {
        self.members == members
    }

    /// The back ends that have work or are failing, in their order; `None` where the
    /// digest is of others, or can't be read.
    pub fn states(&self, members: MembersHash) -> Option<Vec<PositionedState>> {
        if !self.is_of(members) {
            return None;
        }
        let decoded: Result<(Vec<Entry>, usize), _> =
            bincode::serde::decode_from_slice(&self.entries, bincode::config::standard());
        let (entries, _) = decoded.ok()?;
        let mut next = 0;
        let placed = |entry: Entry| {
            let position = next + entry.skipped as usize;
            next = position + 1;
            let state = BackendState::from(entry);
            PositionedState { position, state }
        };
        Some(entries.into_iter().map(placed).collect())
    }
}

/// A digest for one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDigest {
    /// The same for all.
    pub digest: LoadDigest,
    /// When the gateway sent the report that is counted in it, by its own
    /// clock; `None` where none is.
    pub counted: Option<Millis>,
}
