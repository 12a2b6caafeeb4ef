//! Reservation of loopback addresses and their ports.

use std::net::TcpListener;

use garnet_test_support::ReservedAddress;

/// Start of the ephemeral port range on Linux.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

#[test]
fn a_reserved_address_is_not_reserved_twice() {
    let first = ReservedAddress::reserve();
    let second = ReservedAddress::reserve();
    assert_ne!(first.ip(), second.ip());
    assert!(ReservedAddress::at(first.ip()).is_none());
}

#[test]
fn ports_differ_and_are_not_ephemeral() {
    let mut address = ReservedAddress::reserve();
    let first = address.socket();
    let second = address.socket();
    assert_ne!(first, second);
    assert!(first.port() < FIRST_EPHEMERAL_PORT && second.port() < FIRST_EPHEMERAL_PORT);
}

#[test]
fn ports_are_not_bound_in_advance() {
    let mut address = ReservedAddress::reserve();
    let socket = address.socket();
    let held = TcpListener::bind(socket).expect("free");
    assert!(TcpListener::bind(held.local_addr().expect("bound")).is_err());
}
