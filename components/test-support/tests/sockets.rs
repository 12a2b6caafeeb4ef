//! The process at the other end of a connection.

use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio, id};

use garnet_test_support::connected_process;

struct OtherProcess(Child);

impl OtherProcess {
    fn start() -> Self {
        let mut command = Command::new("cat");
        command.stdin(Stdio::piped()).stdout(Stdio::null());
        OtherProcess(command.spawn().expect("the program starts"))
    }
}

impl Drop for OtherProcess {
    fn drop(&mut self) {
        let _gone = self.0.kill();
        let _gone = self.0.wait();
    }
}

fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).expect("a connection");
    let (accepted, _) = listener.accept().expect("a connection");
    (client, accepted)
}

#[test]
fn the_process_that_has_connected_is_found_among_others() {
    let other = OtherProcess::start();
    let (client, accepted) = connected();
    let processes = [other.0.id(), id()];
    assert_eq!(connected_process(&accepted, &processes), Some(id()));
    assert_eq!(connected_process(&client, &processes), Some(id()));
    assert_eq!(connected_process(&accepted, &[other.0.id()]), None);
    assert_eq!(connected_process(&accepted, &[]), None);
}

#[test]
fn a_connection_whose_other_end_is_closed_belongs_to_no_process() {
    let (client, accepted) = connected();
    drop(client);
    assert_eq!(connected_process(&accepted, &[id()]), None);
}

/// The number of connections between the same two addresses does not matter.
#[test]
fn each_of_many_connections_is_found() {
    let all: Vec<_> = (0..100).map(|_| connected()).collect();
    for (_, accepted) in &all {
        assert_eq!(connected_process(accepted, &[id()]), Some(id()));
    }
}
