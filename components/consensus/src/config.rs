//! Timing and batching parameters of a node.

use garnet_types::{Millis, ReplicaId};

/// Allowance for clock drift during a lease, as the divisor of the lease duration.
const LEASE_DRIFT_DIVISOR: u64 = 10;

/// Settings of one node. All replicas of a group must use the same timing.
#[derive(Debug, Clone)]
pub struct Config {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// A follower that receives nothing from a leader for this long, plus a
    /// random delay of up to the same length, starts a pre-vote. A replica
    /// refuses votes for this long after a message from a leader.
    pub election_timeout: Millis,
    /// Interval of heartbeats to a follower that is sent nothing else.
    pub heartbeat_interval: Millis,
    /// Duration of a lease, counted from when its heartbeat was sent. It must be
    /// shorter than `election_timeout` by more than the clocks can drift apart
    /// in that time.
    pub lease_duration: Millis,
    /// Maximum count of entries in one message.
    pub max_batch_entries: usize,
    /// Maximum bytes of entries in one message; a single larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum count of messages with entries in flight to one follower.
    pub max_inflight: usize,
    /// Maximum bytes of entries in flight to one follower; a single message is sent however
    /// large it is.
    pub max_inflight_bytes: usize,
    /// Maximum bytes of entries that a leader keeps after a snapshot that covers them, for
    /// followers that are behind.
    pub max_retained_bytes: usize,
    /// Size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

impl Config {
    /// The lease duration plus an allowance for clock drift.
    pub(crate) fn lease_with_drift(&self) -> Millis {
        self.lease_duration + Millis(self.lease_duration.0 / LEASE_DRIFT_DIVISOR)
    }

    /// Default parameters, for replicas with a round trip of a few milliseconds.
    pub fn new(id: ReplicaId, seed: u64) -> Self {
        Config {
            id,
            election_timeout: Millis(1000),
            heartbeat_interval: Millis(150),
            lease_duration: Millis(700),
            max_batch_entries: 256,
            max_batch_bytes: 256 * 1024,
            max_inflight: 8,
            max_inflight_bytes: 4 * 1024 * 1024,
            max_retained_bytes: 48 * 1024 * 1024,
            snapshot_chunk_bytes: 128 * 1024,
            seed,
        }
    }
}
