//! A replica that leads a group of its own, driven in virtual time.

use garnet_consensus::{Config, Entry, EntryPayload, HardState, Member, Membership, Restored};
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

/// A group of the replica and `others` that never start.
fn group(id: ReplicaId, others: u64) -> Membership {
    let member = || Member {
        peer_address: "10.0.0.1:7380".into(),
        admin_address: "10.0.0.1:8144".into(),
        voter: true,
    };
    let members = (0..=others).map(|other| (ReplicaId(id.0 + other), member()));
    Membership {
        members: members.collect(),
    }
}

/// A command as an entry of a version.
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

fn in_present_version(commands: Vec<Command>) -> Vec<Vec<u8>> {
    let version = EncodingVersion::CURRENT;
    let entries = commands.into_iter();
    entries.map(|command| encoded(command, version)).collect()
}

impl Leader {
    /// Starts again with these commands in its log, and leads from then on.
    /// What it has committed is not applied yet.
    pub fn elected(settings: ReplicaSettings, commands: Vec<Command>) -> Self {
        Leader::elected_after(settings, in_present_version(commands))
    }

    /// The same with these entries in its log.
    pub fn elected_after(settings: ReplicaSettings, entries: Vec<Vec<u8>>) -> Self {
        let mut leader = Leader::start(settings, entries, 0, 0);
        while !leader.replica.node().is_leader() {
            leader.now = leader.now + STEP;
            leader.replica.handle(Event::Tick, leader.now);
        }
        leader
    }

    /// Starts again with these commands in its log, of which it knows
    /// `commit_index` to be committed. The two others of its group never start.
    pub fn restarted(settings: ReplicaSettings, commands: Vec<Command>, commit_index: u64) -> Self {
        Leader::start(settings, in_present_version(commands), commit_index, 2)
    }

    fn start(
        settings: ReplicaSettings,
        entries: Vec<Vec<u8>>,
        commit_index: u64,
        others: u64,
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
            initial_membership: group(id, others),
            ..Restored::default()
        };
        let now = Millis(1000);
        let replica = Replica::new(settings, restored, now).expect("a sound disk");
        Leader { replica, now }
    }

    pub fn settings() -> ReplicaSettings {
        ReplicaSettings::new(Config::new(ReplicaId(1), 1))
    }

    /// The question of a gateway that works by the configuration at this index and
    /// has nothing to tell.
    pub fn watch_of(&self, gateway: &str, configuration_index: u64) -> GatewayRequest {
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

    /// Makes one round of work durable.
    pub fn persist_once(&mut self) {
        let ready = self.replica.ready();
        self.replica.persisted(ready, self.now);
    }

    /// Makes all work durable.
    pub fn persist(&mut self) {
        while self.replica.has_ready() {
            self.persist_once();
        }
    }

    /// Takes an event now and gives what follows from it at once.
    pub fn take(&mut self, event: Event) -> Vec<Effect> {
        self.replica.handle(event, self.now);
        self.replica.take_effects()
    }

    /// What a gateway's request on a connection is answered with, in its order.
    pub fn replies(&mut self, connection: u64, request: GatewayRequest) -> Vec<ControlReply> {
        let effects = self.take(Event::Gateway {
            connection,
            request,
        });
        let reply = |effect| match effect {
            Effect::ReplyGateway { reply, .. } => Some(reply),
            _ => None,
        };
        effects.into_iter().filter_map(reply).collect()
    }

    /// Lets time pass and gives what happened.
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
