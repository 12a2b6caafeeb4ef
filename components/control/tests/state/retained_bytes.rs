//! Memory that a replica retains while a large configuration is changed many times.

use std::sync::{Arc, Weak};

use garnet_control::{
    Command, CommandEnvelope, ConfigurationChange, ControlReply, Event, OperatorRequest,
    WatchUpdate,
};
use garnet_routes::{Route, RouteTable, WeightedService, WorkKind};
use garnet_types::{EncodingVersion, Millis, ServiceId};

use crate::leader::{Leader, encoded};

const ROUTES: u64 = 1_400;
const CHANGES: u64 = 340;
/// Half of the memory of a process of the core.
const MAX_RETAINED_BYTES: usize = 128 * 1024 * 1024;
/// Length of a route in an operator's document.
const DOCUMENT_BYTES_PER_ROUTE: usize = 250;
const CONNECTION: u64 = 1;

fn route(number: u64) -> Route {
    Route {
        name: format!("route-{number:06}"),
        host: format!("shop-{number:06}.internal.example"),
        path_prefix: format!("/v1/orders/{number:06}/"),
        kind: WorkKind::Repeatable,
        timeout_ms: Millis(10_000),
        objective_ms: Millis(900),
        pause_objective_ms: None,
        priority: 0,
        max_attempts: 3,
        public: false,
        services: vec![WeightedService {
            service: ServiceId::new("orders"),
            weight: 1,
        }],
    }
}

/// Replaces the route table by one of [`ROUTES`] routes.
pub fn put_large_table(version: u64) -> Command {
    let table = RouteTable {
        version,
        routes: (0..ROUTES).map(route).collect(),
        ..RouteTable::default()
    };
    Command::PutRoutes {
        table: Arc::new(table),
        document: "x".repeat(ROUTES as usize * DOCUMENT_BYTES_PER_ROUTE),
    }
}

/// Bytes of a table in memory.
fn table_bytes(table: &RouteTable) -> usize {
    let of_route = |route: &Route| {
        let texts = route.name.len() + route.host.len() + route.path_prefix.len();
        let services = route.services.len() * size_of::<WeightedService>();
        size_of::<Route>() + texts + services
    };
    table.routes.iter().map(of_route).sum()
}

fn change(leader: &mut Leader, command: Command) {
    let envelope = CommandEnvelope::unnamed(command, leader.now);
    let wait = false;
    let request = OperatorRequest::Command { envelope, wait };
    leader.handle_event(Event::Operator { ticket: 1, request });
    leader.persist();
    let _answers = leader.replica.take_effects();
}

/// Bytes of the log entries after the latest snapshot, if each has `entry_bytes`.
fn log_bytes(leader: &Leader, entry_bytes: usize) -> usize {
    let node = leader.replica.node();
    let entries = node.status().last_index - node.snapshot_index();
    entries as usize * entry_bytes
}

/// Guards against a group that is lost for good: 340 changes of a configuration with 1,400
/// routes exceeded the memory of each process of the core, also at its next start.
#[test]
fn many_changes_of_a_large_configuration_use_bounded_memory() {
    let entry_bytes = encoded(put_large_table(1), EncodingVersion::CURRENT).len();
    let mut leader = Leader::elected(Leader::settings(), vec![put_large_table(1)]);
    leader.run(Millis(500));
    let mut tables: Vec<Weak<RouteTable>> = Vec::new();
    let mut largest = (0, 0);
    for version in 2..2 + CHANGES {
        change(&mut leader, put_large_table(version));
        let _snapshot = leader.replica.take_snapshot();
        let newest = leader.replica.state().configuration.routes.as_ref();
        tables.extend(newest.map(Arc::downgrade));
        tables.retain(|table| table.strong_count() > 0);
        let retained = tables.iter().filter_map(Weak::upgrade);
        let in_tables: usize = retained.map(|table| table_bytes(&table)).sum();
        let in_log = log_bytes(&leader, entry_bytes);
        if in_log + in_tables > largest.0 + largest.1 {
            largest = (in_log, in_tables);
        }
    }
    let (in_log, in_tables) = largest;
    assert!(
        in_log + in_tables <= MAX_RETAINED_BYTES,
        "{in_log} bytes in the log, {in_tables} bytes in route tables"
    );
}

/// Only the newest route table is ever sent, so that earlier ones need not be retained. A
/// gateway that is any number of changes behind is still sent the changes.
#[test]
fn replaced_route_tables_are_not_retained() {
    const TABLES: usize = 2;
    let mut leader = Leader::elected(Leader::settings(), vec![put_large_table(1)]);
    leader.run(Millis(500));
    let first_index = leader.replica.state().configuration.index;
    let mut tables: Vec<Weak<RouteTable>> = Vec::new();
    for version in 2..20 {
        change(&mut leader, put_large_table(version));
        let newest = leader.replica.state().configuration.routes.as_ref();
        tables.extend(newest.map(Arc::downgrade));
    }
    // The log's entries hold their tables encoded.
    tables.retain(|table| table.strong_count() > 0);
    assert!(tables.len() <= TABLES, "{} tables", tables.len());
    let request = leader.watch_request("gateway-1", first_index);
    let replies = leader.replies(CONNECTION, request);
    let Some(ControlReply::Watch { update, .. }) = replies.into_iter().next() else {
        panic!("no update");
    };
    let WatchUpdate::Changes { changes, .. } = update else {
        panic!("{update:?}");
    };
    let [(_, ConfigurationChange::RoutesPut(table))] = changes.as_slice() else {
        panic!("{} changes", changes.len());
    };
    assert_eq!(table.version, 19);
}
