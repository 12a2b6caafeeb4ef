//! Updates of the configuration: a gateway is sent each change once.

use std::sync::Arc;

use garnet_control::{
    BackendRegistration, Command, CommandEnvelope, ConfigurationChange, ControlReply, Event,
    OperatorRequest, Shared, UNKNOWN_START, WatchUpdate,
};
use garnet_routes::RouteTable;
use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::leader::Leader;

fn put(version: u64) -> Command {
    Command::PutRoutes {
        table: Arc::new(RouteTable {
            version,
            ..RouteTable::default()
        }),
        document: String::new(),
    }
}

fn change(leader: &mut Leader, version: u64) {
    let envelope = CommandEnvelope::unnamed(put(version), leader.now);
    let wait = false;
    let request = OperatorRequest::Command { envelope, wait };
    leader.handle_event(Event::Operator { ticket: 1, request });
    leader.persist();
    let _answers = leader.replica.take_effects();
}

/// The update for a gateway that reports `index` as the index of its configuration.
fn update(leader: &mut Leader, connection: u64, index: u64) -> WatchUpdate {
    let request = leader.watch_request("gateway-1", index);
    match leader.replies(connection, request).into_iter().next() {
        Some(ControlReply::Watch { update, .. }) => update,
        other => panic!("{other:?}"),
    }
}

fn leader() -> Leader {
    let mut leader = Leader::elected(Leader::settings(), vec![put(7)]);
    leader.run(Millis(500));
    leader
}

#[test]
fn an_update_in_flight_is_not_sent_again() {
    let mut leader = leader();
    let first = update(&mut leader, 1, 0);
    let WatchUpdate::Snapshot(configuration) = first else {
        panic!("{first:?}");
    };
    leader.run(Millis(400));
    assert_eq!(update(&mut leader, 1, 0), WatchUpdate::UnderWay);
    // The update has arrived.
    let arrived = update(&mut leader, 1, configuration.index);
    assert_eq!(arrived, WatchUpdate::Current);
}

#[test]
fn further_changes_apply_to_the_update_in_flight() {
    let mut leader = leader();
    let WatchUpdate::Snapshot(sent) = update(&mut leader, 1, 0) else {
        panic!("no snapshot");
    };
    change(&mut leader, 8);
    let WatchUpdate::Changes { from, to, changes } = update(&mut leader, 1, 0) else {
        panic!("no changes");
    };
    assert_eq!((from, changes.len()), (sent.index, 1));
    assert_eq!(update(&mut leader, 1, sent.index), WatchUpdate::UnderWay);
    assert_eq!(update(&mut leader, 1, to), WatchUpdate::Current);
}

/// Updates sent on a broken connection may never arrive.
#[test]
fn a_new_connection_is_sent_the_full_update() {
    let mut leader = leader();
    update(&mut leader, 1, 0);
    assert!(matches!(
        update(&mut leader, 2, 0),
        WatchUpdate::Snapshot(_)
    ));
}

#[test]
fn a_lost_update_is_sent_again() {
    let mut leader = leader();
    update(&mut leader, 1, 0);
    leader.run(Millis(600));
    assert!(matches!(
        update(&mut leader, 1, 0),
        WatchUpdate::Snapshot(_)
    ));
}

/// Of several changes of one back end a gateway is sent only the newest.
#[test]
fn a_gateway_is_sent_only_the_newest_change_of_a_back_end() {
    let mut leader = leader();
    let WatchUpdate::Snapshot(sent) = update(&mut leader, 1, 0) else {
        panic!("no snapshot");
    };
    for zone in ["a", "b", "c"] {
        put_backend(&mut leader, zone);
    }
    let WatchUpdate::Changes { changes, .. } = update(&mut leader, 1, sent.index) else {
        panic!("no changes");
    };
    let [(_, ConfigurationChange::BackendPut(record))] = changes.as_slice() else {
        panic!("{changes:?}");
    };
    assert_eq!(record.registration.zone, "c");
}

fn put_backend(leader: &mut Leader, zone: &str) {
    let registration = BackendRegistration {
        id: BackendId::new("engine-1"),
        kind: BackendKind::Engine,
        service: ServiceId::new("words"),
        address: "10.0.0.1:80".into(),
        zone: zone.into(),
        start: UNKNOWN_START,
    };
    let envelope = CommandEnvelope::unnamed(Command::PutBackend(registration), leader.now);
    let wait = false;
    let request = OperatorRequest::Command { envelope, wait };
    leader.handle_event(Event::Operator { ticket: 1, request });
    leader.persist();
    let _answers = leader.replica.take_effects();
}

/// A value that is encoded once for many receivers is decoded unchanged, and truncated
/// bytes are an error.
#[test]
fn a_shared_value_is_decoded_unchanged() {
    let value = Shared::from(vec![(3_u64, "a".to_owned()), (9, "b".to_owned())]);
    let standard = bincode::config::standard();
    let first = bincode::serde::encode_to_vec(&value, standard).expect("plain data");
    let again = bincode::serde::encode_to_vec(&value, standard).expect("plain data");
    assert_eq!(first, again);
    let read = bincode::serde::decode_from_slice(&first, standard);
    let (read, _): (Shared<Vec<(u64, String)>>, usize) = read.expect("own bytes");
    assert_eq!(read, value);
    type Read = Result<(Shared<Vec<(u64, String)>>, usize), bincode::error::DecodeError>;
    let cut: Read = bincode::serde::decode_from_slice(&first[..first.len() - 1], standard);
    assert!(cut.is_err(), "cut bytes are read");
}
