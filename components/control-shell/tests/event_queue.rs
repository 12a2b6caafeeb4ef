//! Requests for the builds of streams are answered while the log is written.

use std::cell::RefCell;
use std::future::Future;

use garnet_consensus::{Config, Member, Membership, Restored};
use garnet_control::{
    BackendRegistration, ControlReply, Effect, EngineObservation, Event, GatewayRequest,
    MachineEntry, Replica, ReplicaSettings, StreamKey, StreamNote, UNKNOWN_START,
};
use garnet_control_shell::EventQueue;
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineRole, GatewayId, MachineState, Millis,
    ModelId, ReplicaId, ServiceId,
};
use smol::channel::{Sender, unbounded};
use smol::future::poll_once;

const STEP: Millis = Millis(50);
/// Longer than a leader's lease.
const LONG_WRITE: Millis = Millis(10_000);
/// The connection of the gateway that asks.
const CONNECTION: u64 = 7;

/// A replica that leads a group of its own.
struct Leader {
    replica: Replica,
    now: Millis,
}

impl Leader {
    fn elected() -> Self {
        let member = Member {
            peer_address: "10.0.0.1:7380".into(),
            admin_address: "10.0.0.1:8144".into(),
            voter: true,
        };
        let id = ReplicaId(1);
        let restored = Restored {
            initial_membership: Membership {
                members: [(id, member)].into(),
            },
            ..Restored::default()
        };
        let settings = ReplicaSettings::new(Config::new(id, 1));
        let now = Millis(1_000);
        let replica = Replica::new(settings, restored, now).expect("a healthy disk");
        let mut leader = Leader { replica, now };
        while !leader.replica.node().holds_lease(leader.now) {
            leader.now = leader.now + STEP;
            leader.replica.handle(Event::Tick, leader.now);
            leader.persist();
        }
        leader.replica.take_effects();
        leader
    }

    fn persist(&mut self) {
        while self.replica.has_ready() {
            let ready = self.replica.ready();
            self.replica.persisted(ready, self.now);
        }
    }
}

fn send(events: &Sender<Event>, request: GatewayRequest) {
    let event = Event::Gateway {
        connection: CONNECTION,
        request,
    };
    events.try_send(event).expect("an open channel");
}

fn stream() -> StreamKey {
    StreamKey::of("t1")
}

fn note() -> GatewayRequest {
    GatewayRequest::NoteStreams(vec![StreamNote {
        stream: stream(),
        build: BuildId::new("v2"),
    }])
}

fn question() -> GatewayRequest {
    GatewayRequest::FindStreamOf {
        stream: stream(),
        service: ServiceId::new("words"),
    }
}

fn watch(gateway: &str) -> GatewayRequest {
    GatewayRequest::Watch {
        gateway: GatewayId::new(gateway),
        configuration_index: 0,
        sent_at: Millis::ZERO,
        group_index: u64::MAX,
        mix: Vec::new(),
        backlogs: Vec::new(),
        evidence: Vec::new(),
        copies: Vec::new(),
    }
}

/// A live engine of a build.
fn engine(number: u8, build: &str) -> MachineEntry {
    MachineEntry {
        is_preemptible: false,
        build: BuildId::new(build),
        registration: BackendRegistration {
            id: BackendId::new(format!("engine-{number}")),
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: format!("10.1.0.{number}:8080"),
            zone: "zone-1".to_owned(),
            start: UNKNOWN_START,
        },
        state: MachineState::Live,
        observed: Some(EngineObservation {
            incarnation: u64::from(number),
            assignment: EngineAssignment {
                role: EngineRole::Prefill,
                model: ModelId::new("m"),
            },
        }),
    }
}

/// The replies during a write that does not end, `after` its begin.
fn replies_while_writing(
    leader: &mut Leader,
    queue: &EventQueue,
    after: Millis,
) -> Vec<ControlReply> {
    let replies = RefCell::new(Vec::new());
    let now = leader.now + after;
    let carry_out = |effect| match effect {
        Effect::ReplyGateway { connection, reply } => {
            assert_eq!(connection, CONNECTION);
            replies.borrow_mut().push(reply);
        }
        other => panic!("not a reply: {other:?}"),
    };
    let endless = std::future::pending::<()>();
    let writing = queue.handle_while_writing(endless, &mut leader.replica, || now, carry_out);
    assert_eq!(poll(writing), None);
    replies.into_inner()
}

fn poll<T>(future: impl Future<Output = T>) -> Option<T> {
    smol::block_on(poll_once(future))
}

fn next_request(queue: &EventQueue) -> Option<GatewayRequest> {
    match queue.try_next()? {
        Event::Gateway { request, .. } => Some(request),
        other => panic!("not a request: {other:?}"),
    }
}

/// The question waited for the end of the write, and the stream was refused after 250 ms.
#[test]
fn the_build_of_a_stream_is_named_while_the_log_is_written() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    send(&events, note());
    send(&events, question());
    let expected = ControlReply::StreamBuild {
        stream: stream(),
        build: Some(BuildId::new("v2")),
    };
    let replies = replies_while_writing(&mut leader, &queue, Millis::ZERO);
    assert_eq!(replies, [expected]);
    assert!(queue.try_next().is_none(), "it is handled twice");
}

#[test]
fn other_events_are_handled_in_order_after_the_write() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    send(&events, watch("gateway-1"));
    send(&events, question());
    send(&events, watch("gateway-2"));
    let replies = replies_while_writing(&mut leader, &queue, Millis::ZERO);
    assert_eq!(replies.len(), 1);
    send(&events, question());
    assert_eq!(next_request(&queue), Some(watch("gateway-1")));
    assert_eq!(next_request(&queue), Some(watch("gateway-2")));
    assert_eq!(next_request(&queue), Some(question()));
    assert_eq!(next_request(&queue), None);
}

/// Another replica may lead by then.
#[test]
fn nothing_is_answered_after_the_lease() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    send(&events, note());
    send(&events, question());
    assert_eq!(replies_while_writing(&mut leader, &queue, LONG_WRITE), []);
    assert_eq!(next_request(&queue), Some(note()));
    assert_eq!(next_request(&queue), Some(question()));
}

/// The question overtook a list that names another build, and the stream of a gateway that had not
/// noted it was continued by the wrong one.
#[test]
fn a_question_waits_for_a_list_of_engines_that_came_before_it() {
    let mut leader = Leader::elected();
    let list =
        |builds: [&str; 2]| Event::Machines(vec![engine(1, builds[0]), engine(2, builds[1])]);
    leader.replica.handle(list(["v1", "v1"]), leader.now);
    leader.persist();
    leader.replica.take_effects();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    let sent = events.try_send(list(["v2", "v1"]));
    sent.expect("an open channel");
    send(&events, question());
    assert_eq!(replies_while_writing(&mut leader, &queue, Millis::ZERO), []);
    assert!(matches!(queue.try_next(), Some(Event::Machines(_))));
    assert_eq!(next_request(&queue), Some(question()));
}

/// What is noted of a stream does not depend on the list.
#[test]
fn a_question_for_a_noted_stream_waits_for_no_list() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    send(&events, note());
    let sent = events.try_send(Event::Machines(vec![engine(1, "v1")]));
    sent.expect("an open channel");
    send(&events, question());
    let replies = replies_while_writing(&mut leader, &queue, Millis::ZERO);
    assert_eq!(replies.len(), 1);
}

/// A note that came after the lease of an earlier write still waits when the next one begins.
#[test]
fn a_question_does_not_overtake_a_note_that_waits() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    send(&events, note());
    assert_eq!(replies_while_writing(&mut leader, &queue, LONG_WRITE), []);
    send(&events, question());
    assert_eq!(replies_while_writing(&mut leader, &queue, Millis::ZERO), []);
    assert_eq!(next_request(&queue), Some(note()));
    assert_eq!(next_request(&queue), Some(question()));
}

#[test]
fn effects_of_earlier_events_wait_for_the_write() {
    let mut leader = Leader::elected();
    let (events, arriving) = unbounded();
    let queue = EventQueue::new(arriving);
    let earlier = Event::Gateway {
        connection: 9,
        request: watch("gateway-1"),
    };
    leader.replica.handle(earlier, leader.now);
    send(&events, question());
    assert_eq!(
        replies_while_writing(&mut leader, &queue, Millis::ZERO).len(),
        1
    );
    let is_earlier = |effect: &Effect| matches!(effect, Effect::ReplyGateway { connection: 9, .. });
    assert!(leader.replica.take_effects().iter().any(is_earlier));
}
