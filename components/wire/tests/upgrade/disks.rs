//! Data folders that earlier builds wrote are recovered after an upgrade.

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{
    ClaimAnswer, ClaimCommand, Command, CommandAnswer, CommandEnvelope, ControlState, Effect,
    Event, OperatorAnswer, OperatorRequest, Replica, ReplicaSettings,
};
use garnet_storage::{Directory, MemoryDirectory, ReplicaStorage};
use garnet_types::{
    BackendId, ClaimId, CommandId, EncodingVersion, Fence, GatewayId, IdempotencyKey, MachineState,
    Millis, ReplicaId, RequestId, TenantId,
};
use rstest::rstest;

use crate::recorded::{folder, lines, record};
use crate::samples;

const TICK: Millis = Millis(20);
/// Ticks within which the only voter becomes leader.
const TICKS_TO_LEAD: u64 = 200;

/// A replica that is the only voter of its group, started from a disk.
struct Single {
    replica: Replica,
    storage: ReplicaStorage<MemoryDirectory>,
    now: Millis,
}

impl Single {
    fn start(disk: MemoryDirectory) -> Self {
        Single::start_with(disk, 1000)
    }

    fn start_with(disk: MemoryDirectory, snapshot_every: u64) -> Self {
        let (storage, recovered) = ReplicaStorage::open(disk).expect("an intact data folder");
        let member = Member {
            peer_address: "10.0.0.1:7400".into(),
            admin_address: "10.0.0.1:8100".into(),
            voter: true,
        };
        let restored = Restored {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
            commit_index: recovered.commit_index,
            initial_membership: Membership {
                members: [(ReplicaId(1), member)].into(),
            },
        };
        let settings = ReplicaSettings {
            snapshot_every,
            ..ReplicaSettings::new(Config::new(ReplicaId(1), 1))
        };
        let replica = Replica::new(settings, restored, Millis::ZERO).expect("a state of its own");
        let mut single = Single {
            replica,
            storage,
            now: Millis::ZERO,
        };
        single.run(TICKS_TO_LEAD);
        single
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.replica.handle(Event::Tick, self.now);
            while self.replica.has_ready() {
                let ready = self.replica.ready();
                self.storage.write(&ready).expect("room on the disk");
                self.replica.persisted(ready, self.now);
            }
            if let Some(snapshot) = self.replica.take_snapshot() {
                self.storage
                    .save_snapshot(&snapshot)
                    .expect("room on the disk");
            }
        }
    }

    /// Runs an operator's command, which must be accepted.
    fn command(&mut self, command: Command) {
        let envelope = CommandEnvelope {
            command_id: Some(CommandId::new(format!("operator-1.{}", self.now.0))),
            expected_revision: None,
            at: Millis::ZERO,
            command,
        };
        let wait = false;
        let request = OperatorRequest::Command { envelope, wait };
        let ticket = 1;
        self.replica
            .handle(Event::Operator { ticket, request }, self.now);
        self.run(1);
        let effects = self.replica.take_effects();
        let is_done = |effect: &Effect| match effect {
            Effect::AnswerOperator { answer, .. } => matches!(
                answer,
                OperatorAnswer::Committed {
                    answer: CommandAnswer::Accepted { .. } | CommandAnswer::Claim(_),
                    ..
                }
            ),
            _ => false,
        };
        assert!(effects.iter().any(is_done), "{effects:?}");
    }

    fn state(&self) -> &ControlState {
        self.replica.state()
    }
}

fn claim(key: &str) -> ClaimCommand {
    ClaimCommand {
        tenant: TenantId::new("pharmacy"),
        key: IdempotencyKey::new(key),
        body_hash: 9000,
        claim: ClaimId {
            gateway: GatewayId::new("gateway-9"),
            request: RequestId(1),
        },
    }
}

fn answer_to_claim(state: &ControlState, key: &str) -> CommandAnswer {
    let envelope = CommandEnvelope::unnamed(Command::Claim(claim(key)), Millis::ZERO);
    state.clone().apply(1_000, 50, &envelope).answer
}

/// A replica that skipped what an earlier build wrote would lose routes, claims and orders
/// that were acknowledged.
#[rstest]
fn state_acknowledged_by_an_earlier_build_survives_the_upgrade(
    #[values(11, 12, 15, 16, 17, 18, 19, 20, 21)] protocol: u32,
    #[values("log.folder.hex", "snapshot.folder.hex")] file: &str,
) {
    let single = Single::start(folder(protocol, file));
    let state = single.state();
    assert_eq!(state.routes_version(), Some(7));
    let document = state.routes_document.as_deref().expect("a document");
    assert!(document.contains("\"version\":7"), "{document}");
    assert_eq!(state.configuration.sessions.len(), 1);
    assert!(
        state.configuration.policies["urgent"]
            .document
            .contains("[[rule]]")
    );
    let backends = &state.configuration.backends;
    assert_eq!(backends.len(), 5);
    assert_eq!(
        backends[&BackendId::new("engine-4")].machine,
        MachineState::Leaving
    );
    let order = backends[&BackendId::new("engine-1")].order.as_ref();
    let order = order.expect("an order that is not settled");
    assert!(order.fence > Fence::default());
    let recorded = answer_to_claim(state, "recorded");
    assert!(
        matches!(&recorded, CommandAnswer::Claim(ClaimAnswer::Recorded(response)) if response.body == b"{\"held\":true}"),
        "{recorded:?}"
    );
    let held = CommandAnswer::Claim(ClaimAnswer::Held);
    assert_eq!(answer_to_claim(state, "held"), held);
    let granted = CommandAnswer::Claim(ClaimAnswer::Granted);
    assert_eq!(answer_to_claim(state, "released"), granted);
}

/// A snapshot that this build writes at a level has the same bytes as one written by a
/// build of that level.
#[rstest]
fn a_snapshot_is_encoded_as_recorded_for_its_version(
    #[values(11, 16, 17, 18, 19, 20, 21)] protocol: u32,
) {
    let directory = folder(protocol, "snapshot.folder.hex");
    let (_, recovered) = ReplicaStorage::open(directory).expect("an intact data folder");
    let snapshot = recovered.snapshot.expect("a snapshot");
    let state = ControlState::decode(&snapshot.data).expect("a known format");
    assert_eq!(state.encode().expect("its own format"), *snapshot.data);
}

/// Records the folders of the current version if they are missing and `RECORD_ENCODINGS` is
/// set.
fn record_current() {
    for (file, snapshot_every) in [("log.folder.hex", 1000), ("snapshot.folder.hex", 20)] {
        let mut single = Single::start_with(MemoryDirectory::default(), snapshot_every);
        samples::acknowledged_commands()
            .into_iter()
            .for_each(|command| single.command(command));
        let directory = single.storage.directory();
        let names = directory.list().expect("a disk in memory");
        let read = |name: String| {
            let bytes = directory.read(&name).expect("a disk in memory");
            (name, bytes)
        };
        let files: Vec<_> = names.into_iter().map(read).collect();
        record(EncodingVersion::CURRENT.0, file, &files);
    }
}

#[test]
fn the_current_version_has_recorded_folders() {
    record_current();
    for file in ["log.folder.hex", "snapshot.folder.hex"] {
        assert!(!lines(EncodingVersion::CURRENT.0, file).is_empty());
    }
}
