//! One machine: a disk, a replica that may run, and the members that it knows.

use std::collections::BTreeSet;

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{
    DutySettings, Effect, Event, GroupSettings, JoinRequest, Replica, ReplicaSettings,
};
use garnet_storage::{MemoryDirectory, PowerLoss, ReplicaStorage};
use garnet_types::{Millis, ReplicaId};

const SNAPSHOT_EVERY: u64 = 40;
const JOIN_REQUEST_INTERVAL: Millis = Millis(300);

/// A running replica and its open disk.
struct Running {
    replica: Replica,
    storage: ReplicaStorage<MemoryDirectory>,
}

pub struct Machine {
    pub address: String,
    id: ReplicaId,
    disk: MemoryDirectory,
    /// The group for which the disk was initialized; empty on a machine that has to join.
    first_group: Membership,
    running: Option<Running>,
    pub removed: bool,
    pub frozen: bool,
    last_request_at: Millis,
    /// Count of starts so far; answers to calls of an earlier start are dropped.
    pub starts: u64,
    /// Duties of the replica.
    duties: Option<DutySettings>,
}

/// Identity of an initial member, derived from its address.
fn first_identity(address: &str) -> ReplicaId {
    ReplicaId(1000 + address.bytes().map(u64::from).sum::<u64>())
}

pub fn first_group(addresses: &[String]) -> Membership {
    let member = |address: &String| {
        let member = Member {
            peer_address: address.clone(),
            admin_address: address.clone(),
            voter: true,
        };
        (first_identity(address), member)
    };
    Membership {
        members: addresses.iter().map(member).collect(),
    }
}

impl Machine {
    /// A machine of the group's first start: an initial member, or one that joins.
    pub fn initial(address: String, group: &Membership, drawn_identity: u64) -> Self {
        let own = first_identity(&address);
        let is_member = group.members.contains_key(&own);
        Machine {
            id: if is_member {
                own
            } else {
                ReplicaId(drawn_identity)
            },
            first_group: if is_member {
                group.clone()
            } else {
                Membership::default()
            },
            ..Machine::empty(address, drawn_identity)
        }
    }

    /// A machine with an empty disk, which has to join.
    pub fn empty(address: String, drawn_identity: u64) -> Self {
        Machine {
            address,
            id: ReplicaId(drawn_identity),
            disk: MemoryDirectory::default(),
            first_group: Membership::default(),
            running: None,
            removed: false,
            frozen: false,
            last_request_at: Millis::ZERO,
            starts: 0,
            duties: None,
        }
    }

    /// Sets the duties of the replica from its next start on.
    pub fn set_duties(&mut self, duties: Option<DutySettings>) {
        self.duties = duties;
    }

    pub fn replica(&self) -> Option<&Replica> {
        self.running.as_ref().map(|running| &running.replica)
    }

    pub fn is_active(&self) -> bool {
        self.running.is_some() && !self.frozen && !self.removed
    }

    pub fn start(&mut self, now: Millis, seed: u64) {
        self.starts += 1;
        let opened = ReplicaStorage::open(self.disk.clone());
        let (storage, recovered) = opened.expect("only what was synced is read");
        let consensus = Config {
            election_timeout: Millis(500),
            heartbeat_interval: Millis(100),
            lease_duration: Millis(300),
            ..Config::new(self.id, seed + self.starts)
        };
        let settings = ReplicaSettings {
            snapshot_every: SNAPSHOT_EVERY,
            group: Some(GroupSettings { voters: 5 }),
            duties: self.duties,
            ..ReplicaSettings::new(consensus)
        };
        let restored = Restored {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
            commit_index: recovered.commit_index,
            initial_membership: self.first_group.clone(),
        };
        let replica = Replica::new(settings, restored, now).expect("a healthy disk");
        self.running = Some(Running { replica, storage });
    }

    /// Ends the process; the disk keeps what was synced, or all writes, depending on
    /// `loss`.
    pub fn stop(&mut self, loss: PowerLoss) {
        if let Some(running) = self.running.take() {
            self.disk = running.storage.directory().after_power_loss(loss);
        }
    }

    /// Ends the process and loses its disk: the machine returns with a new identity.
    pub fn wipe(&mut self, drawn_identity: u64) {
        let address = self.address.clone();
        *self = Machine {
            starts: self.starts,
            duties: self.duties,
            ..Machine::empty(address, drawn_identity)
        };
    }

    /// Handles an event and all the disk writes that follow from it.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let Some(running) = &mut self.running else {
            return Vec::new();
        };
        running.replica.handle(event, now);
        while running.replica.has_ready() {
            let ready = running.replica.ready();
            running.storage.write(&ready).expect("the disk is healthy");
            running.replica.persisted(ready, now);
        }
        if let Some(snapshot) = running.replica.take_snapshot() {
            let saved = running.storage.save_snapshot(&snapshot);
            saved.expect("the disk is healthy");
        }
        running.replica.take_effects()
    }

    /// The request to join and its targets, if a request is due.
    pub fn join_request(
        &mut self,
        seeds: &[String],
        now: Millis,
    ) -> Option<(JoinRequest, Vec<String>)> {
        let replica = self.replica()?;
        let membership = replica.node().membership();
        let is_member = membership.members.contains_key(&self.id);
        let has_joined = is_member && replica.node().status().leader.is_some();
        if has_joined || now.since(self.last_request_at) < JOIN_REQUEST_INTERVAL {
            return None;
        }
        let known = membership.members.values();
        let mut targets: BTreeSet<String> = known.map(|m| m.peer_address.clone()).collect();
        targets.extend(seeds.iter().cloned());
        targets.remove(&self.address);
        self.last_request_at = now;
        let request = JoinRequest {
            id: self.id,
            peer_address: self.address.clone(),
            admin_address: self.address.clone(),
        };
        Some((request, targets.into_iter().collect()))
    }

    pub fn id(&self) -> ReplicaId {
        self.id
    }
}
