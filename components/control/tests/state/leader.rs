//! A test harness for a replica that leads its own group, driven in virtual time.

use garnet_consensus::{
    Config, Entry, EntryPayload, HardState, Member, Membership, Restored, Snapshot,
};
use garnet_control::{
    Command, CommandEnvelope, ControlReply, Effect, Event, GatewayRequest, Replica,
    ReplicaSettings, encode_entry,
};
use garnet_types::{EncodingVersion, GatewayId, Millis, ReplicaId};

const STEP: Millis = Millis(50);

pub struct Leader {
    pub replica: Replica,
    pub now: Millis,
}

/// A group of the replica and `peers` other members that never start.
pub fn group(id: ReplicaId, peers: u64) -> Membership {
    let member = || Member {
        peer_address: "10.0.0.1:7380".into(),
        admin_address: "10.0.0.1:8144".into(),
        voter: true,
    };
    let members = (0..=peers).map(|offset| (ReplicaId(id.0 + offset), member()));
    Membership {
        members: members.collect(),
    }
}

/// Encodes a command as an entry of a version.
pub fn encoded(command: Command, version: EncodingVersion) -> Vec<u8> {
    let envelope = CommandEnvelope::unnamed(command, Millis(5));
    encode_entry(&envelope, version).expect("a command of the version")
}

fn entry(index: u64, bytes: Vec<u8>) -> Entry {
    Entry {
        index,
        term: 1,
        payload: EntryPayload::Command(bytes),
    }
}

fn in_current_version(commands: Vec<Command>) -> Vec<Vec<u8>> {
    let version = EncodingVersion::CURRENT;
    let entries = commands.into_iter();
    entries.map(|command| encoded(command, version)).collect()
}

impl Leader {
    /// Restarts a replica with these commands in its log, and elects it. The committed
    /// commands are not applied yet.
    pub fn elected(settings: ReplicaSettings, commands: Vec<Command>) -> Self {
        Leader::elected_with_entries(settings, in_current_version(commands))
    }

    /// Does the same as [`Self::elected`] with encoded entries in the log.
    pub fn elected_with_entries(settings: ReplicaSettings, entries: Vec<Vec<u8>>) -> Self {
        let mut leader = Leader::start(settings, entries, 0, 0);
        leader.wait_for_election();
        leader
    }

    /// Restarts a replica from a snapshot alone, and elects it.
    pub fn elected_from(settings: ReplicaSettings, snapshot: Snapshot) -> Self {
        let id = settings.consensus.id;
        let restored = Restored {
            hard_state: HardState {
                term: snapshot.term,
                voted_for: Some(id),
            },
            commit_index: snapshot.index,
            initial_membership: group(id, 0),
            snapshot: Some(snapshot),
            ..Restored::default()
        };
        let now = Millis(1000);
        let replica = Replica::new(settings, restored, now).expect("a healthy disk");
        let mut leader = Leader { replica, now };
        leader.wait_for_election();
        leader
    }

    fn wait_for_election(&mut self) {
        while !self.replica.node().is_leader() {
            self.now = self.now + STEP;
            self.replica.handle(Event::Tick, self.now);
        }
    }

    /// Restarts a replica with these commands in its log, of which those up to
    /// `commit_index` are known to be committed. The two other members of its group never
    /// start.
    pub fn restarted(settings: ReplicaSettings, commands: Vec<Command>, commit_index: u64) -> Self {
        Leader::start(settings, in_current_version(commands), commit_index, 2)
    }

    fn start(
        settings: ReplicaSettings,
        entries: Vec<Vec<u8>>,
        commit_index: u64,
        peers: u64,
    ) -> Self {
        let id = settings.consensus.id;
        let entries = (1..).zip(entries).map(|(index, bytes)| entry(index, bytes));
        let restored = Restored {
            hard_state: HardState {
                term: 1,
                voted_for: Some(id),
            },
            entries: entries.collect(),
            commit_index,
            initial_membership: group(id, peers),
            ..Restored::default()
        };
        let now = Millis(1000);
        let replica = Replica::new(settings, restored, now).expect("a healthy disk");
        Leader { replica, now }
    }

    pub fn settings() -> ReplicaSettings {
        ReplicaSettings::new(Config::new(ReplicaId(1), 1))
    }

    /// The watch request of a gateway that has the configuration at this index and nothing
    /// to report.
    pub fn watch_request(&self, gateway: &str, configuration_index: u64) -> GatewayRequest {
        GatewayRequest::Watch {
            gateway: GatewayId::new(gateway),
            configuration_index,
            sent_at: self.now,
            group_index: u64::MAX,
            mix: Vec::new(),
            backlogs: Vec::new(),
            evidence: Vec::new(),
            copies: Vec::new(),
        }
    }

    /// Persists one batch of pending work.
    pub fn persist_once(&mut self) {
        let ready = self.replica.ready();
        self.replica.persisted(ready, self.now);
    }

    /// Persists all pending work.
    pub fn persist(&mut self) {
        while self.replica.has_ready() {
            self.persist_once();
        }
    }

    /// Handles an event now and returns its immediate effects.
    pub fn handle_event(&mut self, event: Event) -> Vec<Effect> {
        self.replica.handle(event, self.now);
        self.replica.take_effects()
    }

    /// The replies to a gateway's request on a connection, in order.
    pub fn replies(&mut self, connection: u64, request: GatewayRequest) -> Vec<ControlReply> {
        let effects = self.handle_event(Event::Gateway {
            connection,
            request,
        });
        let reply = |effect| match effect {
            Effect::ReplyGateway { reply, .. } => Some(reply),
            _ => None,
        };
        effects.into_iter().filter_map(reply).collect()
    }

    /// Advances the time and returns the effects.
    pub fn run(&mut self, time: Millis) -> Vec<Effect> {
        let until = self.now + time;
        let mut effects = Vec::new();
        while self.now < until {
            self.now = self.now + STEP;
            self.replica.handle(Event::Tick, self.now);
            self.persist();
            effects.extend(self.replica.take_effects());
        }
        effects
    }
}
