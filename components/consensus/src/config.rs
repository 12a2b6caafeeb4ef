//! Timing and batching of a node.

use garnet_types::{Millis, ReplicaId};

/// Clocks drift apart by less than this part of a lease while it runs.
const LEASE_PER_DRIFT: u64 = 10;

/// Settings of one node. All replicas of a group must use the same timing.
#[derive(Debug, Clone)]
pub struct Config {
    /// This replica.
    pub id: ReplicaId,
    /// A follower that hears no leader for this long, plus a random part of
    /// the same length, starts a pre-vote. Votes are refused for this long
    /// after a leader was heard.
    pub election_timeout: Millis,
    /// How often a leader sends when it has nothing new.
    pub heartbeat_interval: Millis,
    /// How long a lease lasts from the moment its heartbeat was sent. It must
    /// be shorter than `election_timeout` by more than the clocks can drift
    /// apart in that span.
    pub lease_duration: Millis,
    /// Most entries in one message.
    pub max_batch_entries: usize,
    /// Most bytes of entries in one message, unless one entry alone has more.
    pub max_batch_bytes: usize,
    /// Most messages with entries under way to one follower.
    pub max_inflight: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

impl Config {
    /// The lease with an allowance for clocks that run at different speeds.
    pub(crate) fn lease_with_drift(&self) -> Millis {
        self.lease_duration + Millis(self.lease_duration.0 / LEASE_PER_DRIFT)
    }

    /// Timing for replicas a few milliseconds apart.
    pub fn new(id: ReplicaId, seed: u64) -> Self {
        Config {
            id,
            election_timeout: Millis(1000),
            heartbeat_interval: Millis(150),
            lease_duration: Millis(700),
            max_batch_entries: 256,
            max_batch_bytes: 256 * 1024,
            max_inflight: 8,
            snapshot_chunk_bytes: 128 * 1024,
            seed,
        }
    }
}
