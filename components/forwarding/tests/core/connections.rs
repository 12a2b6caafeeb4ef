//! Connections to back ends: each gateway has an even share of the bound in the route
//! table.

use garnet_control::WatchUpdate;
use garnet_forwarding::{ConnectionShare, Forwarder, Placement, Work};
use garnet_routes::{RouteTable, ServiceSettings, WorkKind};
use garnet_types::{BackendId, Millis, ServiceId};
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::{NOW, configuration, empty_forwarder, id, instances, table, work};

fn till() -> ServiceId {
    ServiceId::new("till")
}

fn call() -> Work {
    work(WorkKind::Repeatable, None)
}

fn bounded_table(version: u64, max_connections: u64) -> RouteTable {
    let service = ServiceSettings {
        name: till(),
        max_connections,
        engine: None,
        buying: None,
    };
    RouteTable {
        services: vec![service],
        ..table(version, &[("till", 1)])
    }
}

/// A gateway before two instances of a service with this bound.
fn gateway(max_connections: u64) -> Forwarder {
    let mut gateway = empty_forwarder();
    let configuration = configuration(5, bounded_table(1, max_connections), &instances()[..2]);
    gateway.update(WatchUpdate::Snapshot(configuration.into()));
    gateway
}

fn place(gateway: &mut Forwarder, tried: &[BackendId]) -> Option<BackendId> {
    match gateway.place(&till(), &call(), tried, false, NOW)? {
        Placement::One(backend) => Some(backend),
        Placement::Handover { .. } => None,
    }
}

#[rstest]
#[case::one_gateway(9, 1, 7, 7)]
#[case::several(100, 7, 12, 12)]
#[case::many(460, 66, 6, 6)]
#[case::one_each(460, 400, 1, 1)]
#[case::less_than_one_each(460, 985, 1, 0)]
#[case::hardly_any(1, 1, 1, 0)]
fn a_share_is_even(
    #[case] bound: u64,
    #[case] gateways: u64,
    #[case] in_use: u64,
    #[case] idle: usize,
) {
    let share = ConnectionShare { in_use, idle };
    assert_eq!(ConnectionShare::new(bound, gateways), share);
}

proptest! {
    #[test]
    fn shares_stay_within_the_bound(bound in 0_u64..10_000, gateways in 1_u64..2_000) {
        let share = ConnectionShare::new(bound, gateways);
        if share.idle > 0 {
            prop_assert!(share.in_use * gateways <= bound);
            prop_assert_eq!(share.idle as u64, share.in_use);
        }
    }
}

/// Guards against a gateway that opens as many connections as it has requests in flight.
#[test]
fn requests_wait_when_no_connection_is_free() {
    let mut gateway = gateway(9);
    let all = [id("till-a"), id("till-b")];
    for _ in 0..14 {
        let backend = place(&mut gateway, &[]).expect("a free connection");
        gateway.sent(&backend, None, None, 1, NOW);
    }
    assert_eq!(place(&mut gateway, &[]), None);
    assert!(gateway.awaits_connection(&till(), &call(), &[], NOW));
    // A request that has tried all back ends waits for no connection.
    assert!(!gateway.awaits_connection(&till(), &call(), &all, NOW));
    gateway.ended(&all[1], 1, None);
    assert_eq!(place(&mut gateway, &[]), Some(all[1].clone()));
}

#[test]
fn a_lower_bound_holds_for_the_next_request() {
    let mut gateway = gateway(100);
    for backend in ["till-a", "till-b"].repeat(3) {
        gateway.sent(&id(backend), None, None, 1, NOW);
    }
    assert!(place(&mut gateway, &[]).is_some());
    let configuration = configuration(6, bounded_table(2, 5), &instances()[..2]);
    gateway.update(WatchUpdate::Snapshot(configuration.into()));
    assert_eq!(place(&mut gateway, &[]), None);
}

/// Connections of a suspended gateway stay open after its lease has expired.
#[test]
fn a_gateway_that_left_still_counts_for_a_while() {
    let mut gateway = gateway(100);
    let in_use = |gateway: &Forwarder| gateway.connection_share(&id("till-a")).in_use;
    gateway.share_connections_among(4, NOW);
    assert_eq!(in_use(&gateway), 22);
    gateway.share_connections_among(3, NOW + Millis(3_000));
    assert_eq!(in_use(&gateway), 22);
    gateway.share_connections_among(8, NOW + Millis(6_000));
    assert_eq!(in_use(&gateway), 11);
    gateway.share_connections_among(3, NOW + Millis(70_000));
    assert_eq!(in_use(&gateway), 29);
}

/// While no leader reports the number of gateways, there may be many.
#[test]
fn an_unconfirmed_configuration_is_shared_among_many() {
    let mut gateway = empty_forwarder();
    let configuration = configuration(5, bounded_table(1, 360), &instances()[..2]);
    gateway.take_unconfirmed(configuration.into(), NOW);
    assert_eq!(gateway.connection_share(&id("till-a")).in_use, 4);
    gateway.update(WatchUpdate::Current);
    gateway.share_connections_among(1, NOW);
    assert_eq!(gateway.connection_share(&id("till-a")).in_use, 315);
}
