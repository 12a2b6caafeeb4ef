//! A control replica with its disk, as a host of the simulation.

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{Effect, Event, Replica, ReplicaSettings};
use garnet_planner::PlannerSettings;
use garnet_storage::{MemoryDirectory, PowerLoss, ReplicaStorage};
use garnet_types::{EncodingVersion, Millis, ReplicaId};

use crate::world::upgrade_settings;

/// A replica takes a snapshot after so few entries that runs have several.
const SNAPSHOT_EVERY: u64 = 60;

/// A running replica.
pub(crate) struct RunningReplica {
    pub(crate) replica: Replica,
    storage: ReplicaStorage<MemoryDirectory>,
}

/// One place for a control replica.
pub(crate) struct ControlHost {
    pub(crate) id: ReplicaId,
    pub(crate) running: Option<RunningReplica>,
    disk: MemoryDirectory,
    initial: Membership,
    seed: u64,
    planner: Option<PlannerSettings>,
    /// Version of the build that its next start is of, or its present one.
    pub(crate) version: EncodingVersion,
    /// Saves of the disk until a planned crash, if one is planned.
    pub(crate) crash_after: Option<u32>,
    starts: u64,
}

/// The group as it begins.
pub(crate) fn initial_membership(size: usize) -> Membership {
    let member = |place: usize| Member {
        peer_address: place.to_string(),
        admin_address: place.to_string(),
        voter: true,
    };
    let members = (0..size).map(|place| (ReplicaId(place as u64 + 1), member(place)));
    Membership {
        members: members.collect(),
    }
}

impl ControlHost {
    pub(crate) fn new(
        place: usize,
        initial: Membership,
        seed: u64,
        planner: Option<PlannerSettings>,
    ) -> Self {
        ControlHost {
            id: ReplicaId(place as u64 + 1),
            running: None,
            disk: MemoryDirectory::default(),
            initial,
            seed,
            planner,
            version: EncodingVersion::CURRENT,
            crash_after: None,
            starts: 0,
        }
    }

    /// The same with a build of this version.
    pub(crate) fn of_version(self, version: EncodingVersion) -> Self {
        Self { version, ..self }
    }

    /// Starts the replica from its disk.
    pub(crate) fn start(&mut self, now: Millis) {
        self.starts += 1;
        let mut disk = self.disk.clone();
        disk.operations_until_failure = self.crash_after.take();
        let opened = ReplicaStorage::open(disk);
        let Ok((storage, recovered)) = opened else {
            // A crash planned for the next save struck while it was opened.
            return;
        };
        let settings = ReplicaSettings {
            snapshot_every: SNAPSHOT_EVERY,
            planner: self.planner,
            upgrade: upgrade_settings(self.version),
            ..ReplicaSettings::new(Config::new(self.id, self.seed))
        };
        let restored = Restored {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
            commit_index: recovered.commit_index,
            initial_membership: self.initial.clone(),
        };
        if let Ok(replica) = Replica::new(settings, restored, now) {
            self.running = Some(RunningReplica { replica, storage });
        }
    }

    /// Number of this start.
    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    /// Ends the process; what was not synced suffers `loss`.
    pub(crate) fn crash(&mut self, loss: PowerLoss) {
        if let Some(running) = self.running.take() {
            self.disk = running.storage.directory().after_power_loss(loss);
        }
    }

    /// Gives the place an empty disk and so a new identity.
    pub(crate) fn replace_disk(&mut self, id: ReplicaId) {
        self.running = None;
        self.disk = MemoryDirectory::default();
        self.initial = Membership::default();
        self.id = id;
    }

    /// Plans a crash in the middle of a later save.
    pub(crate) fn crash_in_save(&mut self, operations: u32) {
        if let Some(running) = &mut self.running {
            running.storage.directory_mut().operations_until_failure = Some(operations);
        }
    }

    /// Takes an event and everything that follows from it on the disk. `None`
    /// when the process ended in the middle of a save.
    pub(crate) fn handle(&mut self, event: Event, now: Millis) -> Option<Vec<Effect>> {
        let running = self.running.as_mut()?;
        running.replica.handle(event, now);
        while running.replica.has_ready() {
            let ready = running.replica.ready();
            running.storage.write(&ready).ok()?;
            running.replica.persisted(ready, now);
        }
        if let Some(snapshot) = running.replica.take_snapshot() {
            running.storage.save_snapshot(&snapshot).ok()?;
        }
        Some(running.replica.take_effects())
    }
}
