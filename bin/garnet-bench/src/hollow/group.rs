//! Three real replicas of the control group, driven in one thread.
//!
//! What crosses a process border is encoded and decoded as the daemons do it,
//! and the time of both counts. Left out: sockets, HTTP heads and the disk.

use std::collections::VecDeque;

use asynchronous_codec::{BytesMut, Decoder, Encoder};
use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{Effect, EngineRequest, Event, Replica, ReplicaSettings};
use garnet_types::{BackendId, EngineStatus, Millis, OrderAnswer, ReplicaId};
use garnet_wire::{Frame, FrameCodec};

use super::meter::Meter;

/// Replicas of the group.
pub(crate) const REPLICAS: usize = 3;
/// Snapshots are taken as often as the daemon does by default.
const SNAPSHOT_EVERY: u64 = 1000;

/// What one replica used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time.
    pub(crate) meter: Meter,
    /// Messages taken and given.
    pub(crate) messages: u64,
    /// Bytes to and from gateways.
    pub(crate) gateway_bytes: u64,
    /// Bytes to and from replicas.
    pub(crate) peer_bytes: u64,
    /// Bytes to and from engines.
    pub(crate) engine_bytes: u64,
    /// Bytes of the platform's list.
    pub(crate) list_bytes: u64,
    /// Longest time that one event took.
    pub(crate) longest: std::time::Duration,
}

/// Something encoded on its way to a replica.
enum Arriving {
    Frame(BytesMut),
    Status(BackendId, Vec<u8>),
    Order(BackendId, Vec<u8>),
    Machines(Vec<u8>),
    Event(Event),
}

/// A message for something outside of the group.
pub(crate) enum Leaving {
    /// To a gateway.
    Gateway(Frame),
    /// To an engine.
    Engine(BackendId, EngineRequest),
}

/// The group and what is on its way.
pub(crate) struct Group {
    replicas: Vec<Replica>,
    usage: Vec<Usage>,
    queue: VecDeque<(usize, Arriving)>,
    leaving: Vec<Leaving>,
    now: Millis,
}

impl Group {
    /// A group that has no leader yet.
    pub(crate) fn new(now: Millis) -> Result<Self, String> {
        let member = |place: usize| Member {
            peer_address: place.to_string(),
            admin_address: place.to_string(),
            voter: true,
        };
        let id = |place: usize| ReplicaId(place as u64);
        let members = (0..REPLICAS).map(|place| (id(place), member(place)));
        let initial_membership = Membership {
            members: members.collect(),
        };
        let start = |place: usize| {
            let settings = ReplicaSettings {
                snapshot_every: SNAPSHOT_EVERY,
                ..ReplicaSettings::new(Config::new(id(place), 1))
            };
            let restored = Restored {
                initial_membership: initial_membership.clone(),
                ..Restored::default()
            };
            Replica::new(settings, restored, now).map_err(|error| error.to_string())
        };
        Ok(Group {
            replicas: (0..REPLICAS).map(start).collect::<Result<_, _>>()?,
            usage: vec![Usage::default(); REPLICAS],
            queue: VecDeque::new(),
            leaving: Vec::new(),
            now,
        })
    }

    /// The place of the leader, once there is one.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.replicas
            .iter()
            .position(|replica| replica.node().holds_lease(self.now))
    }

    /// The leader's replica.
    pub(crate) fn replica(&self, place: usize) -> &Replica {
        &self.replicas[place]
    }

    /// What a replica used since the last [`Group::reset_usage`].
    pub(crate) fn usage(&self, place: usize) -> Usage {
        self.usage[place]
    }

    /// Starts counting anew.
    pub(crate) fn reset_usage(&mut self) {
        self.usage = vec![Usage::default(); REPLICAS];
    }

    /// Sets the clock and lets every replica look at it.
    pub(crate) fn tick(&mut self, now: Millis) {
        self.now = now;
        for place in 0..REPLICAS {
            self.queue.push_back((place, Arriving::Event(Event::Tick)));
        }
    }

    /// A frame of a gateway arrives. Its encoding is the gateway's cost.
    pub(crate) fn gateway_asks(&mut self, place: usize, frame: Frame) -> usize {
        let bytes = encode(frame);
        let length = bytes.len();
        self.queue.push_back((place, Arriving::Frame(bytes)));
        length
    }

    /// An engine tells its state.
    pub(crate) fn engine_tells(&mut self, place: usize, engine: BackendId, status: &EngineStatus) {
        let bytes = serde_json::to_vec(status).unwrap_or_default();
        self.queue
            .push_back((place, Arriving::Status(engine, bytes)));
    }

    /// An engine answers an order.
    pub(crate) fn order_answered(&mut self, place: usize, engine: BackendId, answer: &OrderAnswer) {
        let bytes = serde_json::to_vec(answer).unwrap_or_default();
        self.queue
            .push_back((place, Arriving::Order(engine, bytes)));
    }

    /// The platform's list arrives, as it was encoded there.
    pub(crate) fn machines(&mut self, place: usize, list: &[u8]) {
        self.queue
            .push_back((place, Arriving::Machines(list.to_vec())));
    }

    /// An event that costs no encoding.
    pub(crate) fn event(&mut self, place: usize, event: Event) {
        self.queue.push_back((place, Arriving::Event(event)));
    }

    /// Works until nothing is on its way; gives what left the group.
    pub(crate) fn run(&mut self) -> Vec<Leaving> {
        while let Some((place, arriving)) = self.queue.pop_front() {
            let mut meter = Meter::default();
            let effects = meter.measure(|| self.handle(place, arriving));
            meter.measure(|| self.give_out(place, effects));
            let usage = &mut self.usage[place];
            usage.longest = usage.longest.max(meter.spent);
            usage.meter.spent += meter.spent;
        }
        std::mem::take(&mut self.leaving)
    }

    fn handle(&mut self, place: usize, arriving: Arriving) -> Vec<Effect> {
        let usage = &mut self.usage[place];
        usage.messages += u64::from(!matches!(arriving, Arriving::Event(_)));
        let event = match arriving {
            Arriving::Frame(bytes) => decode_frame(bytes, usage),
            Arriving::Status(engine, bytes) => {
                usage.engine_bytes += bytes.len() as u64;
                serde_json::from_slice(&bytes)
                    .ok()
                    .map(|status| Event::EngineStatus { engine, status })
            }
            Arriving::Order(engine, bytes) => {
                usage.engine_bytes += bytes.len() as u64;
                serde_json::from_slice(&bytes)
                    .ok()
                    .map(|answer| Event::EngineOrder { engine, answer })
            }
            Arriving::Machines(bytes) => {
                usage.list_bytes += bytes.len() as u64;
                serde_json::from_slice(&bytes).ok().map(Event::Machines)
            }
            Arriving::Event(event) => Some(event),
        };
        let Some(event) = event else {
            return Vec::new();
        };
        let replica = &mut self.replicas[place];
        replica.handle(event, self.now);
        while replica.has_ready() {
            let ready = replica.ready();
            replica.persisted(ready, self.now);
        }
        // The driver would save it; the snapshot itself is part of the cost.
        let _snapshot = replica.take_snapshot();
        replica.take_effects()
    }

    fn give_out(&mut self, place: usize, effects: Vec<Effect>) {
        for effect in effects {
            let usage = &mut self.usage[place];
            match effect {
                Effect::SendPeer(envelope) => {
                    let to = envelope.to.0 as usize;
                    let bytes = encode(Frame::Peer(envelope));
                    usage.messages += 1;
                    usage.peer_bytes += bytes.len() as u64;
                    self.queue.push_back((to, Arriving::Frame(bytes)));
                }
                Effect::ReplyGateway { reply, .. } => {
                    let frame = Frame::Control(reply);
                    let bytes = encode(frame.clone());
                    usage.messages += 1;
                    usage.gateway_bytes += bytes.len() as u64;
                    self.leaving.push(Leaving::Gateway(frame));
                }
                Effect::AskEngine {
                    engine, request, ..
                } => {
                    usage.messages += 1;
                    if let EngineRequest::Order(order) = &request {
                        let bytes = serde_json::to_vec(order).unwrap_or_default();
                        usage.engine_bytes += bytes.len() as u64;
                    }
                    self.leaving.push(Leaving::Engine(engine, request));
                }
                Effect::AnswerOperator { .. }
                | Effect::ForwardJoin { .. }
                | Effect::GroupChanged { .. }
                | Effect::Balanced { .. }
                | Effect::BecameLeader { .. }
                | Effect::LostLeadership { .. } => {}
            }
        }
    }
}

/// A frame as bytes.
pub(crate) fn encode(frame: Frame) -> BytesMut {
    let mut bytes = BytesMut::new();
    // The only error is a frame beyond the longest length: it stays empty.
    let _too_long = FrameCodec.encode(frame, &mut bytes);
    bytes
}

fn decode_frame(mut bytes: BytesMut, usage: &mut Usage) -> Option<Event> {
    let length = bytes.len() as u64;
    match FrameCodec.decode(&mut bytes).ok().flatten()? {
        Frame::Peer(envelope) => {
            usage.peer_bytes += length;
            Some(Event::Peer(envelope))
        }
        Frame::Gateway(request) => {
            usage.gateway_bytes += length;
            // Every hollow gateway shares the reply path of number zero.
            let connection = 0;
            Some(Event::Gateway {
                connection,
                request,
            })
        }
        _ => None,
    }
}
