//! Builds of engines, and of streams, as the leader passes them on.

use garnet_control::{
    BuildUpdate, Command, ControlReply, Event, GatewayRequest, MachineEntry, MachineUpdate,
    ReplicaSettings, StreamKey, StreamNote,
};
use garnet_types::{BackendId, BuildId, MachineState, Millis, ServiceId};

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
    answered_build(leader, stream, GatewayRequest::FindStream(stream))
}

/// The build that may continue a stream of the service `words` without a record.
fn only_build(leader: &mut Leader) -> Option<BuildId> {
    let stream = StreamKey::of("never-reported");
    let service = ServiceId::new("words");
    answered_build(
        leader,
        stream,
        GatewayRequest::FindStreamOf { stream, service },
    )
}

fn answered_build(
    leader: &mut Leader,
    stream: StreamKey,
    request: GatewayRequest,
) -> Option<BuildId> {
    let replies = leader.replies(1, request);
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
    read_for(
        &mut leader,
        Millis(1_000),
        &[engine(1, "v1"), engine(2, "v2")],
    );
    // The engine is in service for some seconds more.
    read_for(&mut leader, Millis(12_000), &[engine(2, "v2")]);
    let mixed = |leader: &mut Leader| update(leader, 1).map(|update| update.mixed);
    assert_eq!(mixed(&mut leader), Some(vec![ServiceId::new("words")]));
    read_for(&mut leader, Millis(61_000), &[engine(2, "v2")]);
    assert_eq!(mixed(&mut leader), Some(Vec::new()));
}

/// Has the leader read this list once a second.
fn read_for(leader: &mut Leader, time: Millis, list: &[MachineEntry]) {
    let until = leader.now + time;
    while leader.now < until {
        leader.handle_event(Event::Machines(list.to_vec()));
        leader.persist();
        leader.run(Millis(1_000));
    }
    leader.handle_event(Event::Machines(list.to_vec()));
}

#[test]
fn the_only_build_of_a_new_group_is_known_at_once() {
    let mut leader = leader();
    assert_eq!(only_build(&mut leader), None);
    leader.handle_event(Event::Machines(vec![engine(1, "v1"), engine(2, "v1")]));
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v1")));
    let unknown = GatewayRequest::FindStreamOf {
        stream: StreamKey::of("one"),
        service: ServiceId::new("other"),
    };
    let stream = StreamKey::of("one");
    assert_eq!(answered_build(&mut leader, stream, unknown), None);
}

#[test]
fn a_reported_stream_has_its_build_whatever_serves() {
    let mut leader = leader();
    leader.handle_event(Event::Machines(vec![engine(2, "v2")]));
    note(&mut leader, "never-reported", "v1");
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v1")));
}

/// All engines of one build left in the list in which those of the other came, and streams of the
/// first were continued by the second.
#[test]
fn no_build_is_the_only_one_after_a_replacement_in_one_list() {
    let mut leader = leader();
    read_for(&mut leader, Millis(5_000), &[engine(1, "v1")]);
    read_for(&mut leader, Millis(60_000), &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), None);
    assert_eq!(
        update(&mut leader, 1).map(|update| update.mixed),
        Some(vec![ServiceId::new("words")])
    );
    read_for(&mut leader, Millis(15_000), &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v2")));
}

#[test]
fn no_build_is_the_only_one_after_an_engine_has_restarted_with_another() {
    let mut leader = leader();
    read_for(&mut leader, Millis(1_000), &[engine(1, "v1")]);
    read_for(&mut leader, Millis(59_000), &[engine(1, "v2")]);
    assert_eq!(only_build(&mut leader), None);
    read_for(&mut leader, Millis(3_000), &[engine(1, "v2")]);
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v2")));
}

fn put(numbers: &[usize]) -> Command {
    let update = |number: &usize| {
        let entry = engine(*number, "v1");
        MachineUpdate {
            registration: entry.registration,
            state: entry.state,
            observed: entry.observed,
        }
    };
    Command::NoteMachines(numbers.iter().map(update).collect())
}

fn remove(number: usize) -> Command {
    Command::ForgetMachines(vec![BackendId::new(format!("engine-{number}"))])
}

/// A leader that was elected with these commands in its log, and has read a list.
fn elected(commands: Vec<Command>, list: &[MachineEntry]) -> Leader {
    let mut leader = Leader::elected(Leader::settings(), commands);
    leader.persist();
    leader.handle_event(Event::Machines(list.to_vec()));
    leader
}

/// The new leader has read of one build alone, and named it for streams of an engine that was gone.
#[test]
fn a_new_leader_names_no_build_while_streams_of_removed_engines_may_live() {
    let mut leader = elected(vec![put(&[1, 2]), remove(1)], &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), None);
    read_for(&mut leader, Millis(60_000), &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), None);
    read_for(&mut leader, Millis(12_000), &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v2")));
}

#[test]
fn a_new_leader_names_no_build_while_an_engine_is_missing_in_the_list() {
    let mut leader = elected(vec![put(&[1, 2])], &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), None);
    leader.handle_event(Event::Machines(vec![engine(1, "v2"), engine(2, "v2")]));
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v2")));
}

#[test]
fn a_new_leader_names_the_build_of_all_engines_in_the_log() {
    let mut leader = elected(vec![put(&[1, 2])], &[engine(1, "v1"), engine(2, "v1")]);
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v1")));
}

/// A snapshot does not hold which engines were removed before it.
#[test]
fn a_new_leader_names_no_build_soon_after_a_snapshot() {
    let settings = ReplicaSettings {
        snapshot_every: 2,
        ..Leader::settings()
    };
    let mut before = Leader::elected(settings, vec![put(&[1, 2]), remove(1)]);
    before.persist();
    let snapshot = before.replica.take_snapshot().expect("a snapshot");
    let mut leader = Leader::elected_from(Leader::settings(), snapshot);
    leader.persist();
    leader.handle_event(Event::Machines(vec![engine(2, "v2")]));
    assert_eq!(only_build(&mut leader), None);
    read_for(&mut leader, Millis(72_000), &[engine(2, "v2")]);
    assert_eq!(only_build(&mut leader), Some(BuildId::new("v2")));
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
