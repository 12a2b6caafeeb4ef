//! A replica on a slow link, while large changes are made.

use std::collections::BTreeMap;

use garnet_consensus::{Config, Envelope, Message, Restored};
use garnet_control::{
    Command, CommandEnvelope, Effect, Event, OperatorRequest, Replica, ReplicaSettings,
};
use garnet_types::{Millis, ReplicaId};

use crate::leader::group;
use crate::retained_bytes::put_large_table;

const STEP: Millis = Millis(10);
const FAST_DELAY: Millis = Millis(10);
/// One way; an answer takes twice as long.
const SLOW_DELAY: Millis = Millis(400);
const SLOW: ReplicaId = ReplicaId(3);
/// So small that a snapshot takes longer on the slow link than the next one takes to become
/// due.
const SNAPSHOT_CHUNK_BYTES: usize = 32 * 1024;
const CHANGE_INTERVAL: Millis = Millis(200);

struct Group {
    replicas: BTreeMap<ReplicaId, Replica>,
    in_flight: Vec<(Millis, Envelope)>,
    is_cut: bool,
    /// Bytes of snapshots sent to the slow replica.
    snapshot_bytes: usize,
    version: u64,
    now: Millis,
}

impl Group {
    fn new() -> Self {
        let start = |id: u64| {
            let config = Config {
                snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
                ..Config::new(ReplicaId(id), 1)
            };
            let restored = Restored {
                initial_membership: group(ReplicaId(1), 2),
                ..Restored::default()
            };
            let settings = ReplicaSettings::new(config);
            let replica = Replica::new(settings, restored, Millis::ZERO).expect("an empty disk");
            (ReplicaId(id), replica)
        };
        Group {
            replicas: (1..=3).map(start).collect(),
            in_flight: Vec::new(),
            is_cut: true,
            snapshot_bytes: 0,
            version: 0,
            now: Millis::ZERO,
        }
    }

    fn leader(&self) -> Option<ReplicaId> {
        let mut all = self.replicas.iter();
        all.find(|(_, replica)| replica.node().is_leader())
            .map(|(id, _)| *id)
    }

    fn applied(&self, id: ReplicaId) -> u64 {
        self.replicas[&id].node().status().applied_index
    }

    fn handle(&mut self, id: ReplicaId, event: Event) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("a member");
        replica.handle(event, now);
        while replica.has_ready() {
            let ready = replica.ready();
            replica.persisted(ready, now);
        }
        let _saved = replica.take_snapshot();
        for effect in replica.take_effects() {
            if let Effect::SendPeer(envelope) = effect {
                self.send(envelope);
            }
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let is_slow = envelope.to == SLOW || envelope.from == SLOW;
        if is_slow && self.is_cut {
            return;
        }
        if let Message::SnapshotChunk { data, .. } = &envelope.message {
            self.snapshot_bytes += data.len();
        }
        let delay = if is_slow { SLOW_DELAY } else { FAST_DELAY };
        self.in_flight.push((self.now + delay, envelope));
    }

    fn run(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            let now = self.now;
            let (arrived, pending) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition::<Vec<_>, _>(|(due, _)| *due <= now);
            self.in_flight = pending;
            for (_, envelope) in arrived {
                self.handle(envelope.to, Event::Peer(envelope));
            }
            for id in [1, 2, 3].map(ReplicaId) {
                self.handle(id, Event::Tick);
            }
        }
    }

    fn change(&mut self, command: Command) {
        let leader = self.leader().expect("a leader");
        let envelope = CommandEnvelope::unnamed(command, self.now);
        let wait = false;
        let request = OperatorRequest::Command { envelope, wait };
        self.handle(leader, Event::Operator { ticket: 1, request });
    }

    fn change_for(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.version += 1;
            self.change(put_large_table(self.version));
            self.run(CHANGE_INTERVAL);
        }
    }
}

/// Guards against a replica that is sent one snapshot after the other: each was replaced by a
/// newer one before it had arrived, or the log no longer held what follows it.
#[test]
fn a_replica_on_a_slow_link_catches_up_by_one_snapshot() {
    const MAX_BEHIND: u64 = 30;
    let mut group = Group::new();
    while group.leader().is_none() {
        group.run(Millis(100));
    }
    group.run(Millis(1000));
    group.change_for(Millis::from_secs(12));
    let leader = group.leader().expect("a leader");
    let snapshot_index = group.replicas[&leader].node().snapshot_index();
    assert!(snapshot_index > 0, "the log is complete");
    group.is_cut = false;
    group.change_for(Millis::from_secs(35));
    assert_eq!(group.leader(), Some(leader));
    let (ahead, behind) = (group.applied(leader), group.applied(SLOW));
    let snapshot_bytes = group.snapshot_bytes;
    assert!(
        behind + MAX_BEHIND >= ahead,
        "{behind} of {ahead} applied after {snapshot_bytes} bytes of snapshots"
    );
    let size = group.replicas[&leader]
        .state()
        .encode()
        .expect("its own format")
        .len();
    assert!(
        snapshot_bytes <= 2 * size,
        "{snapshot_bytes} bytes of snapshots of {size} bytes"
    );
}
