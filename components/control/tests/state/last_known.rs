//! What a replica that has just started answers gateways before there is a leader.

use std::sync::Arc;

use garnet_control::{Command, Configuration, ControlReply, Shared};
use garnet_routes::RouteTable;
use garnet_types::Millis;
use rstest::rstest;

use crate::leader::Leader;

fn put(version: u64) -> Command {
    let table = RouteTable {
        version,
        ..RouteTable::default()
    };
    Command::PutRoutes {
        table: Arc::new(table),
        document: format!("version {version}"),
    }
}

/// The answer to a gateway whose configuration has the index `configuration_index`.
fn ask(replica: &mut Leader, configuration_index: u64) -> Option<Shared<Configuration>> {
    let request = replica.watch_request("g", configuration_index);
    let mut replies = replica.replies(1, request).into_iter();
    let received = replies.find_map(|reply| match reply {
        ControlReply::NotLeader { last_known, .. } => Some(last_known),
        _ => None,
    });
    received.expect("it is no leader")
}

fn restarted(commit_index: u64) -> Leader {
    let commands = vec![put(7), put(9)];
    let mut replica = Leader::restarted(Leader::settings(), commands, commit_index);
    replica.persist();
    replica
}

#[test]
fn a_gateway_without_a_configuration_is_sent_the_committed_one() {
    let received = ask(&mut restarted(2), 0).expect("all of the log is committed");
    assert_eq!(received.routes.as_ref().map(|table| table.version), Some(9));
    assert_eq!(received.index, 2);
}

/// Two of three voters are missing, so no leader is elected.
#[test]
fn a_replica_without_a_leader_stops_sending_its_configuration() {
    let commands = vec![put(7)];
    let mut replica = Leader::restarted(Leader::settings(), commands, 1);
    replica.persist();
    assert!(ask(&mut replica, 0).is_some());
    replica.run(Millis::from_secs(6));
    assert_eq!(ask(&mut replica, 0), None);
}

#[rstest]
#[case::the_newest_entry_may_have_been_accepted(1, 0)]
#[case::nothing_is_known_of_commits(0, 0)]
#[case::the_gateway_knows_a_configuration(2, 1)]
fn otherwise_it_is_sent_nothing(#[case] commit_index: u64, #[case] configuration_index: u64) {
    assert_eq!(ask(&mut restarted(commit_index), configuration_index), None);
}
