//! A simulated network of nodes in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use garnet_consensus::{
    Config, Entry, EntryPayload, Envelope, Member, Membership, Message, Node, Restored,
};
use garnet_types::{Millis, ReplicaId};

const STEP: Millis = Millis(5);

pub struct Network {
    nodes: BTreeMap<ReplicaId, Node>,
    applied: BTreeMap<ReplicaId, Vec<Entry>>,
    isolated: BTreeSet<ReplicaId>,
    /// Messages in flight with their arrival times.
    in_flight: Vec<(Millis, Envelope)>,
    /// Delay of messages to a replica, one step by default.
    delays: BTreeMap<ReplicaId, Millis>,
    /// Bytes of entries sent to each replica.
    entry_bytes: BTreeMap<ReplicaId, usize>,
    largest_message: usize,
    now: Millis,
    seed: u64,
}

fn config(id: ReplicaId, seed: u64) -> Config {
    Config {
        snapshot_chunk_bytes: 100,
        ..Config::new(id, seed)
    }
}

impl Network {
    pub fn new(size: u64) -> Self {
        Network::with_seed(size, 1)
    }

    pub fn with_seed(size: u64, seed: u64) -> Self {
        let member = |id: u64| Member {
            peer_address: id.to_string(),
            admin_address: id.to_string(),
            voter: true,
        };
        let members = (1..=size).map(|id| (ReplicaId(id), member(id))).collect();
        let membership = Membership { members };
        let mut network = Network {
            nodes: BTreeMap::new(),
            applied: BTreeMap::new(),
            isolated: BTreeSet::new(),
            in_flight: Vec::new(),
            delays: BTreeMap::new(),
            entry_bytes: BTreeMap::new(),
            largest_message: 0,
            now: Millis(1000),
            seed,
        };
        for id in membership.members.keys() {
            network.start(*id, membership.clone());
        }
        network
    }

    fn start(&mut self, id: ReplicaId, initial_membership: Membership) {
        let restored = Restored {
            initial_membership,
            ..Restored::default()
        };
        let node = Node::new(config(id, self.seed), restored, self.now);
        self.nodes.insert(id, node);
        self.applied.insert(id, Vec::new());
    }

    pub fn join(&mut self, id: ReplicaId) {
        self.start(id, Membership::default());
    }

    pub fn lose_disk(&mut self, id: ReplicaId, new_id: ReplicaId) {
        self.nodes.remove(&id);
        self.start(new_id, Membership::default());
    }

    /// All replicas but one, in order.
    pub fn others(&self, than: ReplicaId) -> Vec<ReplicaId> {
        let all = self.ids().into_iter();
        all.filter(|id| *id != than).collect()
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn node(&self, id: ReplicaId) -> &Node {
        &self.nodes[&id]
    }

    pub fn node_mut(&mut self, id: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a known replica")
    }

    pub fn isolate(&mut self, id: ReplicaId) {
        self.isolated.insert(id);
    }

    pub fn reconnect(&mut self, id: ReplicaId) {
        self.isolated.remove(&id);
    }

    pub fn heal(&mut self) {
        self.isolated.clear();
    }

    pub fn leader_among(&self, matches: impl Fn(ReplicaId) -> bool) -> Option<ReplicaId> {
        let leads = |id: &&ReplicaId| matches(**id) && self.nodes[*id].is_leader();
        self.nodes.keys().find(leads).copied()
    }

    pub fn elect(&mut self) -> ReplicaId {
        for _ in 0..10_000 {
            self.run(STEP);
            if let Some(leader) = self.leader_among(|_| true) {
                self.run(Millis(300));
                return leader;
            }
        }
        panic!("no leader");
    }

    pub fn propose(&mut self, id: ReplicaId, command: &[u8]) {
        self.node_mut(id)
            .propose(command.to_vec())
            .expect("it leads");
    }

    pub fn applied(&self, id: ReplicaId) -> &[Entry] {
        &self.applied[&id]
    }

    pub fn commands(&self, id: ReplicaId) -> Vec<Vec<u8>> {
        let command = |entry: &Entry| match &entry.payload {
            EntryPayload::Command(bytes) => Some(bytes.clone()),
            _ => None,
        };
        self.applied[&id].iter().filter_map(command).collect()
    }

    pub fn compact(&mut self, id: ReplicaId) {
        let index = self.nodes[&id].status().applied_index;
        let data = serialize(&self.applied[&id]);
        self.node_mut(id).compact(index, data).expect("compacted");
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            let (arrived, pending) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(due, _)| *due <= now);
            self.in_flight = pending;
            let arrived: Vec<(Millis, Envelope)> = arrived;
            for (_, message) in arrived {
                let cut =
                    self.isolated.contains(&message.from) || self.isolated.contains(&message.to);
                if !cut && let Some(node) = self.nodes.get_mut(&message.to) {
                    node.step(message, self.now);
                }
            }
            for id in self.ids() {
                let now = self.now;
                self.node_mut(id).tick(now);
                self.process_ready(id);
            }
        }
    }

    fn send(&mut self, message: Envelope) {
        if let Message::Append { entries, .. } = &message.message {
            let bytes: usize = entries.iter().map(entry_bytes).sum();
            *self.entry_bytes.entry(message.to).or_default() += bytes;
            self.largest_message = self.largest_message.max(bytes);
        }
        let delay = self.delays.get(&message.to).copied().unwrap_or(STEP);
        self.in_flight.push((self.now + delay, message));
    }

    /// Sets the delay of messages to a replica.
    pub fn delay(&mut self, id: ReplicaId, delay: Millis) {
        self.delays.insert(id, delay);
    }

    /// Bytes of entries sent to a replica so far.
    pub fn entry_bytes_sent_to(&self, id: ReplicaId) -> usize {
        self.entry_bytes.get(&id).copied().unwrap_or_default()
    }

    /// Bytes of entries in the largest message so far.
    pub fn largest_message(&self) -> usize {
        self.largest_message
    }

    fn process_ready(&mut self, id: ReplicaId) {
        while self.nodes[&id].has_ready() {
            let node = self.node_mut(id);
            let ready = node.ready();
            node.advance(&ready);
            if let Some(snapshot) = &ready.snapshot {
                self.applied.insert(id, deserialize(&snapshot.data));
            }
            if let Some(applied) = self.applied.get_mut(&id) {
                applied.extend(ready.committed);
            }
            ready
                .messages
                .into_iter()
                .for_each(|message| self.send(message));
        }
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len(),
        _ => 0,
    }
}

/// Encodes the state machine of these tests: each command after its length.
fn serialize(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for entry in entries {
        if let EntryPayload::Command(command) = &entry.payload {
            bytes.push(command.len() as u8);
            bytes.extend_from_slice(command);
        }
    }
    bytes
}

fn deserialize(mut bytes: &[u8]) -> Vec<Entry> {
    let mut entries = Vec::new();
    while let Some((length, rest)) = bytes.split_first() {
        let (command, rest) = rest.split_at(usize::from(*length));
        entries.push(Entry {
            index: 0,
            term: 0,
            payload: EntryPayload::Command(command.to_vec()),
        });
        bytes = rest;
    }
    entries
}
