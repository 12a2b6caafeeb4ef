//! The route table in the replicated state, and when operators can read it.

use std::sync::Arc;

use crate::fleet::Log;
use crate::leader::Leader;
use garnet_control::{
    Command, CommandAnswer, CommandEnvelope, ControlReply, ControlState, Effect, Event,
    OperatorAnswer, OperatorRequest, WatchUpdate,
};
use garnet_routes::RouteTable;

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
    let restored = ControlState::decode(&log.state.encode().expect("its own format"))
        .expect("a complete snapshot");
    assert_eq!(restored.routes_document.as_deref(), Some("nine"));
    assert_eq!(restored.routes_version(), Some(9));
}

fn read(leader: &mut Leader) -> OperatorAnswer {
    let request = OperatorRequest::Routes;
    let effects = leader.handle_event(Event::Operator { ticket: 1, request });
    let answer = effects.into_iter().find_map(|effect| {
        let Effect::AnswerOperator { answer, .. } = effect else {
            return None;
        };
        Some(answer)
    });
    answer.expect("an answer")
}

#[test]
fn a_new_leader_answers_no_read_before_it_has_applied_an_entry_of_its_term() {
    let mut leader = Leader::elected(Leader::settings(), vec![put(7, "seven")]);
    let mut rounds = 0;
    loop {
        match read(&mut leader) {
            OperatorAnswer::Routes(document) => {
                assert_eq!(document.as_deref(), Some("seven"), "after {rounds} rounds");
                break;
            }
            OperatorAnswer::NotLeader(_) => {}
            other => panic!("{other:?}"),
        }
        leader.persist_once();
        rounds += 1;
        assert!(rounds < 10, "it never answers");
    }
}

#[test]
fn a_gateway_is_sent_only_the_newest_of_several_tables() {
    let mut leader = Leader::elected(Leader::settings(), vec![put(7, "seven")]);
    for version in 8..12 {
        let envelope = CommandEnvelope::unnamed(put(version, "later"), leader.now);
        let wait = false;
        let request = OperatorRequest::Command { envelope, wait };
        leader.handle_event(Event::Operator { ticket: 1, request });
    }
    leader.persist();
    let _answers = leader.replica.take_effects();
    let request = leader.watch_request("gateway-1", 1);
    let connection = 1;
    let effects = leader.handle_event(Event::Gateway {
        connection,
        request,
    });
    // A gateway on a new connection is also sent the limits of engines.
    let [
        Effect::ReplyGateway { reply, .. },
        Effect::ReplyGateway {
            reply: ControlReply::Limits(limits),
            ..
        },
    ] = effects.as_slice()
    else {
        panic!("{effects:?}");
    };
    assert!(limits.limits.is_empty());
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
