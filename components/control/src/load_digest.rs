//! Digest of the load and health of all back ends, which the leader sends to every
//! gateway.
//!
//! Contract: a digest is computed and encoded once, and the same bytes go to all
//! gateways; each subtracts its own load, see [`GatewayDigest::counted`]. Back ends are
//! identified by their position in the configuration, not by name. A gateway ignores a
//! digest that was made for another list of back ends.
//!
//! A digest holds only back ends that have work or are failing, so it grows with the
//! work in flight and not with the fleet. An entry takes 5 to 14 bytes; tokens are
//! encoded in units of [`TOKENS_PER_UNIT`].

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

/// Tokens are encoded in units of this size. An engine prefills a unit in less time than
/// a digest is old. Counts are rounded down: a gateway subtracts its own work, and the
/// rest must not count as work of its peers.
const TOKENS_PER_UNIT: u64 = 64;
/// Set in [`Entry::marks`] if the back end is failing. The lower bits give the
/// engine priorities of [`Entry::uncached_units`].
const FAILING: u16 = 1 << 15;

/// Identifies an ordered list of back ends, such as those of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendListHash(u64);

impl BackendListHash {
    /// Hashes the ids of the back ends in order.
    pub fn of<'a>(ids: impl Iterator<Item = &'a BackendId>) -> Self {
        let mut hash = Xxh3::new();
        for id in ids {
            hash.update(id.as_str().as_bytes());
            hash.update(&[0]);
        }
        BackendListHash(hash.digest())
    }
}

impl fmt::Display for BackendListHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for BackendListHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(BackendListHash)
    }
}

/// Load of one back end, and whether it is failing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendState {
    /// Requests in flight.
    pub requests: u64,
    /// Prompt tokens that are not prefilled yet.
    pub uncached: PriorityCounts,
    /// KV cache tokens that these requests hold or will hold.
    pub held_tokens: u64,
    /// Whether requests of several gateways failed there.
    pub is_failing: bool,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    /// Number of back ends left out since the previous entry.
    skipped: u32,
    /// [`FAILING`], and a bit for each priority that has a count in `uncached_units`.
    marks: u16,
    requests: u64,
    held_units: u64,
    uncached_units: Vec<u64>,
}

impl Entry {
    fn new(skipped: u32, state: &BackendState) -> Self {
        let mut marks = if state.is_failing { FAILING } else { 0 };
        let mut uncached_units = Vec::new();
        for (priority, tokens) in state.uncached.iter() {
            let units = tokens / TOKENS_PER_UNIT;
            if units > 0 {
                marks |= 1 << priority;
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
        let priorities =
            PriorityCounts::priorities().filter(|priority| entry.marks & (1 << priority) != 0);
        for (priority, units) in priorities.zip(entry.uncached_units) {
            uncached.add(priority, units * TOKENS_PER_UNIT);
        }
        BackendState {
            requests: entry.requests,
            uncached,
            held_tokens: entry.held_units * TOKENS_PER_UNIT,
            is_failing: entry.marks & FAILING != 0,
        }
    }
}

/// State of a back end in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionedState {
    /// Position among the back ends.
    pub position: usize,
    /// Load and health of the back end.
    pub state: BackendState,
}

/// An encoded digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    members: BackendListHash,
    entries: Arc<ByteBuf>,
    /// Number of idle back ends after the last entry. It is not sent: only the process
    /// that made the digest knows it.
    #[serde(skip)]
    idle_at_end: u32,
}

impl LoadDigest {
    /// Encodes the states of all back ends, in their order.
    pub fn encode(
        members: BackendListHash,
        states: impl IntoIterator<Item = BackendState>,
    ) -> Self {
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
            // Encoding integers can't fail.
            entries: Arc::new(ByteBuf::from(bytes.unwrap_or_default())),
            idle_at_end: skipped,
        }
    }

    /// Length of the encoded entries, in bytes.
    pub fn len_bytes(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the digest was made for this list of back ends.
    pub(crate) fn is_of(&self, members: BackendListHash) -> bool {
        self.members == members
    }

    /// The back ends that have work or are failing, in order; `None` if the digest was
    /// made for another list of back ends or can't be decoded.
    pub fn states(&self, members: BackendListHash) -> Option<Vec<PositionedState>> {
        if !self.is_of(members) {
            return None;
        }
        let decoded: Result<(Vec<Entry>, usize), _> =
            bincode::serde::decode_from_slice(&self.entries, bincode::config::standard());
        let (entries, _) = decoded.ok()?;
        let mut next = 0;
        let positioned = |entry: Entry| {
            let position = next + entry.skipped as usize;
            next = position + 1;
            let state = BackendState::from(entry);
            PositionedState { position, state }
        };
        Some(entries.into_iter().map(positioned).collect())
    }
}

/// A digest as sent to one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDigest {
    /// The digest, which is the same for all gateways.
    pub digest: LoadDigest,
    /// When the gateway sent the report that the digest includes, by the gateway's
    /// clock; `None` if it includes no report of this gateway.
    pub counted: Option<Millis>,
}
