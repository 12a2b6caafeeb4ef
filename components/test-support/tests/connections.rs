//! Connections of processes, as the kernel lists them.

use std::net::{TcpListener, TcpStream};

use garnet_test_support::Connections;

/// The connections of a process are those that it has opened, in the direction in which it has.
#[test]
fn the_connections_of_a_process_are_found_by_both_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listening = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(listening).expect("a connection");
    let own = stream.local_addr().expect("an address");
    let connections = Connections::of(&[std::process::id()]);
    assert!(connections.has(own, listening));
    let ports = connections.local_ports();
    assert!(ports.contains(&own.port()) && ports.contains(&listening.port()));
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    assert!(!connections.has(own, other.local_addr().expect("an address")));
    assert!(!Connections::of(&[]).has(own, listening));
}

/// A connection that is opened after the connections were read is not among them.
#[test]
fn later_connections_are_not_found() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listening = listener.local_addr().expect("an address");
    let connections = Connections::of(&[std::process::id()]);
    let stream = TcpStream::connect(listening).expect("a connection");
    let own = stream.local_addr().expect("an address");
    assert!(!connections.has(own, listening));
}
