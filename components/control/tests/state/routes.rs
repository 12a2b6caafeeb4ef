//! The route table in the replicated state, and who may read it.

use std::sync::Arc;

use crate::fleet::Log;
use garnet_consensus::{Config, Entry, EntryPayload, HardState, Member, Membership, Restored};
use garnet_control::{
    Command, CommandAnswer, CommandEnvelope, ControlState, Effect, Event, OperatorAnswer,
    OperatorRequest, Replica, ReplicaSettings, WatchUpdate,
};
use garnet_routes::RouteTable;
use garnet_types::{Millis, ReplicaId};

fn put(version: u64, document: &str) -> Command {
    let table = RouteTable {
        version,
        ..RouteTable::default()
    };
    Command::PutRoutes {
        table: Arc::new(table),
        document: document.to_owned(),
    }
}

#[test]
fn the_highest_version_is_held_and_a_lower_or_equal_one_is_acknowledged() {
    let mut log = Log::default();
    let held = log.apply(put(7, "seven"));
    assert_eq!(held, CommandAnswer::Accepted { revision: 1 });
    for late in [put(7, "another seven"), put(3, "three")] {
        assert_eq!(log.apply(late), CommandAnswer::Accepted { revision: 1 });
        assert_eq!(log.state.routes_document.as_deref(), Some("seven"));
        assert_eq!(log.state.routes_version(), Some(7));
    }
    log.apply(put(9, "nine"));
    let restored = ControlState::decode(&log.state.encode()).expect("a whole snapshot");
    assert_eq!(restored.routes_document.as_deref(), Some("nine"));
    assert_eq!(restored.routes_version(), Some(9));
}

fn only_member(id: ReplicaId) -> Membership {
    let member = Member {
        peer_address: "10.0.0.1:7380".into(),
        admin_address: "10.0.0.1:8144".into(),
        voter: true,
    };
    Membership {
        members: [(id, member)].into(),
    }
}

/// A replica that starts again with a table in its log, and leads from then on.
fn restarted_leader() -> (Replica, Millis) {
    let id = ReplicaId(1);
    let envelope = CommandEnvelope::unnamed(put(7, "seven"), Millis(5));
    let bytes = bincode::serde::encode_to_vec(&envelope, bincode::config::standard());
    let entry = Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Command(bytes.expect("plain data")),
    };
    let restored = Restored {
        hard_state: HardState {
            term: 1,
            voted_for: Some(id),
        },
        entries: vec![entry],
        initial_membership: only_member(id),
        ..Restored::default()
    };
    let settings = ReplicaSettings::new(Config::new(id, 1));
    let mut replica = Replica::new(settings, restored, Millis(1000)).expect("a sound disk");
    let mut now = Millis(1000);
    while !replica.node().is_leader() {
        now = now + Millis(50);
        replica.handle(Event::Tick, now);
    }
    (replica, now)
}

fn read(replica: &mut Replica, now: Millis) -> OperatorAnswer {
    let request = OperatorRequest::Routes;
    replica.handle(Event::Operator { ticket: 1, request }, now);
    let answer = replica.take_effects().into_iter().find_map(|effect| {
        let Effect::AnswerOperator { answer, .. } = effect else {
            return None;
        };
        Some(answer)
    });
    answer.expect("an answer")
}

#[test]
fn a_new_leader_reads_nothing_out_before_it_has_applied_its_own_term() {
    let (mut replica, now) = restarted_leader();
    let mut rounds = 0;
    loop {
        match read(&mut replica, now) {
            OperatorAnswer::Routes(document) => {
                assert_eq!(document.as_deref(), Some("seven"), "after {rounds} rounds");
                break;
            }
            OperatorAnswer::NotLeader(_) => {}
            other => panic!("{other:?}"),
        }
        let ready = replica.ready();
        replica.persisted(ready, now);
        rounds += 1;
        assert!(rounds < 10, "it never answers");
    }
}

#[test]
fn a_gateway_hears_only_the_newest_of_several_tables() {
    use garnet_control::{ControlReply, GatewayRequest};
    let (mut replica, now) = restarted_leader();
    for version in 8..12 {
        let envelope = CommandEnvelope::unnamed(put(version, "later"), now);
        let wait = false;
        let request = OperatorRequest::Command { envelope, wait };
        replica.handle(Event::Operator { ticket: 1, request }, now);
    }
    while replica.has_ready() {
        let ready = replica.ready();
        replica.persisted(ready, now);
    }
    let _answers = replica.take_effects();
    let request = GatewayRequest::Watch {
        gateway: garnet_types::GatewayId::new("gateway-1"),
        configuration_index: 1,
        sent_at: now,
        group_index: u64::MAX,
        mix: Vec::new(),
        backlogs: Vec::new(),
    };
    let connection = 1;
    let event = Event::Gateway {
        connection,
        request,
    };
    replica.handle(event, now);
    let effects = replica.take_effects();
    let [Effect::ReplyGateway { reply, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    let ControlReply::Watch { update, group, .. } = reply else {
        panic!("{reply:?}");
    };
    let WatchUpdate::Changes { changes, .. } = update else {
        panic!("{update:?}");
    };
    assert_eq!(changes.len(), 1);
    let addresses = group.as_ref().map(|group| group.addresses.clone());
    assert_eq!(addresses, Some(vec!["10.0.0.1:7380".to_owned()]));
}
