//! Counting the gateways that hold a lease.
//!
//! Every answer to a gateway tells how many there are. Counting them anew for each
//! made a thousand gateways, which ask four times a second each, cost the leader
//! four million looks a second.

use garnet_control::{CONFIGURATION_LEASE, GatewayLeases};
use garnet_types::{GatewayId, Millis};

const INTERVAL: Millis = Millis(250);

fn gateway(number: u64) -> GatewayId {
    GatewayId::new(format!("gateway-{number}"))
}

/// Each of so many gateways asks four times a second for ten seconds. Gives the
/// leases that were looked at.
fn looked_at(gateways: u64) -> u64 {
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
fn counting_gateways_grows_with_the_gateways() {
    let (small, large) = (looked_at(100), looked_at(200));
    assert!(
        large <= small * 5 / 2,
        "{small} looks for 100 gateways, {large} for 200"
    );
    assert!(small <= 100 * 10, "{small} looks for 100 gateways");
}

#[test]
fn a_gateway_that_falls_silent_is_counted_no_longer() {
    let mut leases = GatewayLeases::default();
    for number in 0..3 {
        leases.grant(gateway(number), 1, Millis(1000));
    }
    assert_eq!(leases.count(Millis(1000)), 3);
    let later = Millis(2000);
    leases.grant(gateway(0), 1, later);
    let first_are_over = Millis(1000) + CONFIGURATION_LEASE + CONFIGURATION_LEASE;
    assert_eq!(leases.count(first_are_over), 0);
    leases.grant(gateway(1), 1, first_are_over);
    assert_eq!(leases.count(first_are_over), 1);
}

#[test]
fn one_of_several_leases_ends() {
    let mut leases = GatewayLeases::default();
    leases.grant(gateway(0), 1, Millis(1000));
    leases.grant(gateway(1), 1, Millis(2000));
    assert_eq!(leases.count(Millis(3000)), 2);
    assert_eq!(leases.count(Millis(4000)), 1);
    assert_eq!(leases.count(Millis(5000)), 0);
}
