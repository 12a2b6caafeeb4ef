//! The digest in encoding version 11, which has an entry for every back end, also for
//! idle ones.

use garnet_types::Millis;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::{BackendListHash, BackendState, Entry, GatewayDigest, LoadDigest};
use crate::encoding::{decoded, encoded};

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct DenseEntry {
    marks: u16,
    requests: u64,
    held_units: u64,
    uncached_units: Vec<u64>,
}

impl From<Entry> for DenseEntry {
    fn from(entry: Entry) -> Self {
        DenseEntry {
            marks: entry.marks,
            requests: entry.requests,
            held_units: entry.held_units,
            uncached_units: entry.uncached_units,
        }
    }
}

impl From<DenseEntry> for BackendState {
    fn from(entry: DenseEntry) -> Self {
        BackendState::from(Entry {
            skipped: 0,
            marks: entry.marks,
            requests: entry.requests,
            held_units: entry.held_units,
            uncached_units: entry.uncached_units,
        })
    }
}

/// A digest as sent to one gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct V11Digest {
    members: BackendListHash,
    entries: ByteBuf,
    counted: Option<Millis>,
}

impl V11Digest {
    /// Converts the digest; `None` if its entries can't be decoded.
    pub(crate) fn of(sent: &GatewayDigest) -> Option<Self> {
        let entries: Vec<Entry> = decoded(&sent.digest.entries).ok()?;
        let idle = |count: u32| std::iter::repeat_n(DenseEntry::default(), count as usize);
        let mut dense = Vec::new();
        for entry in entries {
            dense.extend(idle(entry.skipped));
            dense.push(DenseEntry::from(entry));
        }
        dense.extend(idle(sent.digest.idle_at_end));
        Some(V11Digest {
            members: sent.digest.members,
            entries: ByteBuf::from(encoded(&dense)),
            counted: sent.counted,
        })
    }
}

impl TryFrom<V11Digest> for GatewayDigest {
    type Error = String;

    fn try_from(digest: V11Digest) -> Result<Self, String> {
        let dense: Vec<DenseEntry> = decoded(&digest.entries)?;
        let states = dense.into_iter().map(BackendState::from);
        Ok(GatewayDigest {
            digest: LoadDigest::encode(digest.members, states),
            counted: digest.counted,
        })
    }
}
