//! One machine: a disk, perhaps a running replica, and what it knows of others.

use std::collections::BTreeSet;

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{
    DutySettings, Effect, Event, GroupSettings, JoinRequest, Replica, ReplicaSettings,
};
use garnet_storage::{MemoryDirectory, PowerLoss, ReplicaStorage};
use garnet_types::{Millis, ReplicaId};

const SNAPSHOT_EVERY: u64 = 40;
const ASK_INTERVAL: Millis = Millis(300);

/// A replica that runs and its open disk.
struct Running {
    replica: Replica,
    storage: ReplicaStorage<MemoryDirectory>,
}

pub struct Machine {
    pub address: String,
    id: ReplicaId,
    disk: MemoryDirectory,
    /// The group that the disk was made for; empty for a stranger.
    first_group: Membership,
    running: Option<Running>,
    pub gone: bool,
    pub frozen: bool,
    asked_at: Millis,
    /// Starts so far: what was asked in a former life is not answered.
    pub starts: u64,
    /// Duties of the replica.
    duties: Option<DutySettings>,
}

/// Identity of a first member that is known by its address.
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
    /// A machine of the first start: a first member, or one that joins.
    pub fn first(address: String, group: &Membership, drawn: u64) -> Self {
        let own = first_identity(&address);
        let is_member = group.members.contains_key(&own);
        Machine {
            id: if is_member { own } else { ReplicaId(drawn) },
            first_group: if is_member {
                group.clone()
            } else {
                Membership::default()
            },
            ..Machine::empty(address, drawn)
        }
    }

    /// A machine with an empty disk, at a later time.
    pub fn empty(address: String, drawn: u64) -> Self {
        Machine {
            address,
            id: ReplicaId(drawn),
            disk: MemoryDirectory::default(),
            first_group: Membership::default(),
            running: None,
            gone: false,
            frozen: false,
            asked_at: Millis::ZERO,
            starts: 0,
            duties: None,
        }
    }

    /// Its replica has these duties from its next start on.
    pub fn give_duties(&mut self, duties: Option<DutySettings>) {
        self.duties = duties;
    }

    pub fn replica(&self) -> Option<&Replica> {
        self.running.as_ref().map(|running| &running.replica)
    }

    pub fn acts(&self) -> bool {
        self.running.is_some() && !self.frozen && !self.gone
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
        let replica = Replica::new(settings, restored, now).expect("a sound disk");
        self.running = Some(Running { replica, storage });
    }

    /// The process ends; the disk keeps what was synced, or all of it.
    pub fn stop(&mut self, loss: PowerLoss) {
        if let Some(running) = self.running.take() {
            self.disk = running.storage.directory().after_power_loss(loss);
        }
    }

    /// The process ends and its disk is lost: a stranger comes back.
    pub fn wipe(&mut self, drawn: u64) {
        let address = self.address.clone();
        *self = Machine {
            starts: self.starts,
            duties: self.duties,
            ..Machine::empty(address, drawn)
        };
    }

    /// Takes an event and everything that follows from it on the disk.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let Some(running) = &mut self.running else {
            return Vec::new();
        };
        running.replica.handle(event, now);
        while running.replica.has_ready() {
            let ready = running.replica.ready();
            running.storage.write(&ready).expect("the disk is sound");
            running.replica.persisted(ready, now);
        }
        if let Some(snapshot) = running.replica.take_snapshot() {
            let saved = running.storage.save_snapshot(&snapshot);
            saved.expect("the disk is sound");
        }
        running.replica.take_effects()
    }

    /// The wish to join and whom to tell it, when it is time to ask.
    pub fn wish(&mut self, seeds: &[String], now: Millis) -> Option<(JoinRequest, Vec<String>)> {
        let replica = self.replica()?;
        let membership = replica.node().membership();
        let is_member = membership.members.contains_key(&self.id);
        let belongs = is_member && replica.node().status().leader.is_some();
        if belongs || now.since(self.asked_at) < ASK_INTERVAL {
            return None;
        }
        let known = membership.members.values();
        let mut targets: BTreeSet<String> = known.map(|m| m.peer_address.clone()).collect();
        targets.extend(seeds.iter().cloned());
        targets.remove(&self.address);
        self.asked_at = now;
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
