//! Lists of relays, which the leader sends to gateways that report.

use std::net::SocketAddr;

use garnet_control::{ControlReply, GatewayRequest, Relay, RelayReport};
use garnet_types::{GatewayId, Millis, ServiceId};

use crate::leader::Leader;

/// Maximum number of relays on one list.
const MAX_LISTED: usize = 10;

fn leader() -> Leader {
    let mut leader = Leader::elected(Leader::settings(), Vec::new());
    leader.persist();
    leader
}

fn address(zone: u8, number: u8) -> SocketAddr {
    format!("10.{zone}.0.{number}:7380")
        .parse()
        .expect("an address")
}

fn report(zone: u8, number: u8) -> RelayReport {
    RelayReport {
        gateway: GatewayId::new(format!("gateway-{zone}-{number}")),
        zone: format!("zone-{zone}"),
        address: Some(address(zone, number)),
        unreached: Vec::new(),
    }
}

fn send(leader: &mut Leader, report: RelayReport) -> Vec<Relay> {
    let replies = leader.replies(1, GatewayRequest::Relay(report));
    let mut lists = replies.into_iter().filter_map(|reply| match reply {
        ControlReply::Relays(list) => Some(list),
        _ => None,
    });
    lists.next().expect("a list")
}

#[test]
fn a_gateway_is_sent_its_peers_nearest_first_and_not_itself() {
    let mut leader = leader();
    for (zone, number) in [(1, 1), (1, 2), (2, 1), (3, 1)] {
        send(&mut leader, report(zone, number));
    }
    let list = send(&mut leader, report(1, 1));
    let addresses: Vec<SocketAddr> = list.iter().map(|relay| relay.address).collect();
    assert_eq!(addresses, [address(1, 2), address(2, 1), address(3, 1)]);
}

#[test]
fn gateways_that_reach_all_services_come_before_those_that_do_not() {
    let mut leader = leader();
    for number in 1..=4 {
        let unreached = (number < 4).then(|| ServiceId::new("till"));
        let report = RelayReport {
            unreached: unreached.into_iter().collect(),
            ..report(1, number)
        };
        send(&mut leader, report);
    }
    let list = send(&mut leader, report(1, 9));
    assert_eq!(list[0].address, address(1, 4));
    assert!(list[1..].iter().all(|relay| relay.unreached.len() == 1));
}

/// A gateway that stops, or that is silent, relays nothing.
#[test]
fn gateways_that_stop_or_are_silent_are_not_listed() {
    let mut leader = leader();
    send(&mut leader, report(1, 1));
    send(&mut leader, report(1, 2));
    let stopping = RelayReport {
        address: None,
        ..report(1, 2)
    };
    send(&mut leader, stopping);
    let list = send(&mut leader, report(1, 3));
    assert_eq!(list.len(), 1);
    leader.run(Millis(3_100));
    assert_eq!(send(&mut leader, report(1, 3)), []);
}

/// The lists of a large fleet stay short and cover all gateways, none of them much more often
/// than the others.
#[test]
fn lists_of_a_large_fleet_are_bounded_and_even() {
    const ZONES: u8 = 11;
    const IN_ZONE: u8 = 90;
    let mut leader = leader();
    let all = || (1..=ZONES).flat_map(|zone| (1..=IN_ZONE).map(move |number| (zone, number)));
    for (zone, number) in all() {
        send(&mut leader, report(zone, number));
    }
    let mut listed = std::collections::BTreeMap::new();
    for (zone, number) in all() {
        let list = send(&mut leader, report(zone, number));
        assert_eq!(list.len(), MAX_LISTED);
        for relay in list {
            *listed.entry(relay.address).or_insert(0) += 1;
        }
    }
    let most = listed.values().max().copied().unwrap_or_default();
    let gateways = usize::from(ZONES) * usize::from(IN_ZONE);
    assert!(
        listed.len() * 10 > gateways * 9,
        "{} of {gateways}",
        listed.len()
    );
    assert!(most < 10 * MAX_LISTED, "{most}");
}
