//! Reserved addresses.

use std::net::TcpListener;

use garnet_test_support::ReservedAddress;

/// The lowest port that Linux draws for sockets bound to port 0.
const FIRST_DRAWN_PORT: u16 = 32_768;

#[test]
fn a_reserved_address_is_not_reserved_twice() {
    let first = ReservedAddress::reserve();
    let second = ReservedAddress::reserve();
    assert_ne!(first.ip(), second.ip());
    assert!(ReservedAddress::at(first.ip()).is_none());
}

#[test]
fn ports_differ_and_are_none_that_the_system_draws() {
    let mut address = ReservedAddress::reserve();
    let first = address.socket();
    let second = address.socket();
    assert_ne!(first, second);
    assert!(first.port() < FIRST_DRAWN_PORT && second.port() < FIRST_DRAWN_PORT);
}

#[test]
fn nothing_was_bound_ahead_at_the_ports() {
    let mut address = ReservedAddress::reserve();
    let socket = address.socket();
    let held = TcpListener::bind(socket).expect("free");
    assert!(TcpListener::bind(held.local_addr().expect("bound")).is_err());
}
