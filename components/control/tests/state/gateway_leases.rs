//! Counting the gateways that hold a lease.
//!
//! Every answer to a gateway contains their number. Regression: the leader counted all
//! leases for each answer, so a thousand gateways that ask four times a second each made it
//! examine four million leases a second.

use garnet_control::{CONFIGURATION_LEASE, GatewayLeases};
use garnet_types::{GatewayId, Millis};

const INTERVAL: Millis = Millis(250);

fn gateway(number: u64) -> GatewayId {
    GatewayId::new(format!("gateway-{number}"))
}

/// Each of the gateways asks four times a second for ten seconds. Returns the number of
/// leases that were examined.
fn examined_by(gateways: u64) -> u64 {
    let mut leases = GatewayLeases::default();
    for round in 0..40 {
        for number in 0..gateways {
            let now = Millis(round * INTERVAL.0 + number * INTERVAL.0 / gateways);
            leases.grant(gateway(number), 1, now);
            let known = if round == 0 { number + 1 } else { gateways };
            assert_eq!(leases.count(now), known);
        }
    }
    leases.leases_examined()
}

#[test]
fn the_cost_of_counting_grows_linearly_with_the_gateways() {
    let (small, large) = (examined_by(100), examined_by(200));
    assert!(
        large <= small * 5 / 2,
        "{small} leases examined for 100 gateways, {large} for 200"
    );
    assert!(
        small <= 100 * 10,
        "{small} leases examined for 100 gateways"
    );
}

#[test]
fn a_silent_gateway_is_no_longer_counted() {
    let mut leases = GatewayLeases::default();
    for number in 0..3 {
        leases.grant(gateway(number), 1, Millis(1000));
    }
    assert_eq!(leases.count(Millis(1000)), 3);
    let later = Millis(2000);
    leases.grant(gateway(0), 1, later);
    let after_expiry = Millis(1000) + CONFIGURATION_LEASE + CONFIGURATION_LEASE;
    assert_eq!(leases.count(after_expiry), 0);
    leases.grant(gateway(1), 1, after_expiry);
    assert_eq!(leases.count(after_expiry), 1);
}

#[test]
fn leases_expire_one_by_one() {
    let mut leases = GatewayLeases::default();
    leases.grant(gateway(0), 1, Millis(1000));
    leases.grant(gateway(1), 1, Millis(2000));
    assert_eq!(leases.count(Millis(3000)), 2);
    assert_eq!(leases.count(Millis(4000)), 1);
    assert_eq!(leases.count(Millis(5000)), 0);
}
