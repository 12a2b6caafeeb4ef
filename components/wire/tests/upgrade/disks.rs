//! What is on a disk of an earlier build stands after the upgrade.

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{
    ClaimAnswer, ClaimCommand, Command, CommandAnswer, CommandEnvelope, ControlState, Event,
    Replica, ReplicaSettings,
};
use garnet_storage::{MemoryDirectory, ReplicaStorage};
use garnet_types::{
    BackendId, ClaimId, Fence, GatewayId, IdempotencyKey, MachineState, Millis, ReplicaId,
    RequestId, TenantId,
};
use rstest::rstest;

use crate::recorded::folder;

const TICK: Millis = Millis(20);
/// Ticks within which the only voter leads.
const TICKS_TO_LEAD: u64 = 200;

/// The only voter of a group, started from a disk.
struct Single {
    replica: Replica,
    storage: ReplicaStorage<MemoryDirectory>,
    now: Millis,
}

impl Single {
    fn start(disk: MemoryDirectory) -> Self {
        let (storage, recovered) = ReplicaStorage::open(disk).expect("a sound disk");
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
        let settings = ReplicaSettings::new(Config::new(ReplicaId(1), 1));
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
        }
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

/// A replica that skips what an earlier build wrote forgets routes, claims and orders that were acknowledged.
#[rstest]
fn what_an_earlier_build_acknowledged_is_there_after_the_upgrade(
    #[values(11, 16)] protocol: u32,
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
