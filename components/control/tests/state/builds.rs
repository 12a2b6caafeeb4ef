//! Builds of engines, and of streams, as the leader passes them on.

use garnet_control::{
    BuildUpdate, ControlReply, Event, GatewayRequest, MachineEntry, StreamKey, StreamNote,
};
use garnet_types::{BuildId, MachineState, Millis, ServiceId};

use crate::leader::Leader;
use crate::machine_list::{entry, leader};

/// Engines in one update, at most.
const MAX_ENGINES: usize = 512;

fn engine(number: usize, build: &str) -> MachineEntry {
    MachineEntry {
        build: BuildId::new(build),
        ..entry(number, MachineState::Live)
    }
}

/// The update that a gateway gets with its next watch.
fn update(leader: &mut Leader, connection: u64) -> Option<BuildUpdate> {
    let request = leader.watch_request("gateway-1", 0);
    let replies = leader.replies(connection, request);
    replies.into_iter().find_map(|reply| match reply {
        ControlReply::Builds(update) => Some(update),
        _ => None,
    })
}

fn build_of(leader: &mut Leader, request: &str) -> Option<BuildId> {
    let stream = StreamKey::of(request);
    let replies = leader.replies(1, GatewayRequest::FindStream(stream));
    replies
        .into_iter()
        .find_map(|reply| match reply {
            ControlReply::StreamBuild { stream: of, build } if of == stream => Some(build),
            _ => None,
        })
        .expect("an answer")
}

fn note(leader: &mut Leader, request: &str, build: &str) {
    let note = StreamNote {
        stream: StreamKey::of(request),
        build: BuildId::new(build),
    };
    leader.replies(1, GatewayRequest::NoteStreams(vec![note]));
}

#[test]
fn a_gateway_is_sent_each_build_once_on_a_connection() {
    let mut leader = leader();
    leader.handle_event(Event::Machines(vec![engine(1, "v1"), engine(2, "v1")]));
    let first = update(&mut leader, 1).expect("news");
    assert_eq!(first.engines.len(), 2);
    assert_eq!(first.mixed, []);
    assert_eq!(update(&mut leader, 1), None);
    leader.handle_event(Event::Machines(vec![engine(1, "v1"), engine(2, "v2")]));
    let second = update(&mut leader, 1).expect("news");
    assert_eq!(second.engines.len(), 1);
    assert_eq!(second.mixed, [ServiceId::new("words")]);
    assert_eq!(update(&mut leader, 2).expect("all").engines.len(), 2);
}

/// The last engine of a build may have ended while clients still take up streams of it.
#[test]
fn a_service_counts_as_mixed_while_streams_of_two_builds_may_live() {
    let mut leader = leader();
    leader.handle_event(Event::Machines(vec![engine(1, "v1"), engine(2, "v2")]));
    leader.handle_event(Event::Machines(vec![engine(2, "v2")]));
    let mixed = |leader: &mut Leader| update(leader, 1).map(|update| update.mixed);
    assert_eq!(mixed(&mut leader), Some(vec![ServiceId::new("words")]));
    leader.run(Millis(61_000));
    assert_eq!(mixed(&mut leader), Some(Vec::new()));
}

#[test]
fn builds_of_a_large_fleet_are_sent_in_pages() {
    let mut leader = leader();
    let engines = (0..MAX_ENGINES + 1).map(|number| engine(number, "v1"));
    leader.handle_event(Event::Machines(engines.collect()));
    assert_eq!(
        update(&mut leader, 1).map(|u| u.engines.len()),
        Some(MAX_ENGINES)
    );
    assert_eq!(update(&mut leader, 1).map(|u| u.engines.len()), Some(1));
    assert_eq!(update(&mut leader, 1), None);
}

#[test]
fn the_build_of_a_stream_is_known_for_its_lifetime() {
    let mut leader = leader();
    assert_eq!(build_of(&mut leader, "one"), None);
    note(&mut leader, "one", "v1");
    leader.run(Millis(30_000));
    note(&mut leader, "two", "v2");
    assert_eq!(build_of(&mut leader, "one"), Some(BuildId::new("v1")));
    leader.run(Millis(31_000));
    assert_eq!(build_of(&mut leader, "one"), None);
    assert_eq!(build_of(&mut leader, "two"), Some(BuildId::new("v2")));
}
