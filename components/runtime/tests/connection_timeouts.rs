//! Timeouts of callers' connections that are idle or send a request head slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use garnet_runtime::{ConnectionTimeouts, HttpServer, Limits, Shared, text_response};
use smol::{LocalExecutor, Timer};

const SHORT: Duration = Duration::from_millis(30);
/// Longer than any test.
const LONG: Duration = Duration::from_secs(60);
/// Duration of the handler: longer than the short timeout.
const WORK: Duration = Duration::from_millis(120);

const REQUEST: &[u8] = b"GET /work HTTP/1.1\r\nhost: a\r\n\r\n";

/// Runs `caller` against a server with the timeouts `first`, which change to
/// `later` with the first request.
fn serve<T: Send + 'static>(
    first: ConnectionTimeouts,
    later: ConnectionTimeouts,
    caller: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let executor = Rc::new(LocalExecutor::new());
    let timeouts = Shared::new(first);
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = smol::block_on(HttpServer::bind(any_port, Limits::default())).expect("a port");
    let server = server.with_timeouts(timeouts.clone());
    let address = server.address().expect("an address");
    let (done_in, done) = smol::channel::bounded(1);
    thread::spawn(move || {
        let _received = done_in.send_blocking(caller(address));
    });
    let handler = move |_| {
        timeouts.replace(later);
        async {
            Timer::after(WORK).await;
            text_response(200, "done")
        }
    };
    let serving = server.serve(Rc::clone(&executor), handler, std::future::pending());
    let outcome = async { done.recv().await.expect("the caller ends") };
    let serving = async {
        serving.await;
        unreachable!("nobody stops it")
    };
    smol::block_on(executor.run(smol::future::or(outcome, serving)))
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream
}

/// Reads until the server closes the connection.
fn read_to_close(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a proper end");
    text
}

#[test]
fn a_connection_that_is_idle_too_long_is_closed() {
    let timeouts = ConnectionTimeouts {
        head: LONG,
        idle: SHORT,
    };
    let received = serve(timeouts, timeouts, |address| {
        read_to_close(connect(address))
    });
    assert_eq!(received, "");
}

#[test]
fn a_head_that_arrives_too_slowly_ends_its_connection() {
    let timeouts = ConnectionTimeouts {
        head: SHORT,
        idle: LONG,
    };
    let received = serve(timeouts, timeouts, |address| {
        let mut stream = connect(address);
        stream.write_all(b"GET /work HT").expect("written");
        read_to_close(stream)
    });
    assert_eq!(received, "");
}

#[test]
fn an_answer_may_exceed_both_timeouts_and_the_idle_time_counts_from_its_end() {
    let timeouts = ConnectionTimeouts {
        head: SHORT,
        idle: SHORT,
    };
    let received = serve(timeouts, timeouts, |address| {
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("written");
        read_to_close(stream)
    });
    assert!(
        received.starts_with("HTTP/1.1 200") && received.ends_with("done"),
        "{received}"
    );
}

#[test]
fn changed_timeouts_apply_to_open_connections() {
    let first = ConnectionTimeouts {
        head: LONG,
        idle: LONG,
    };
    let later = ConnectionTimeouts {
        head: LONG,
        idle: SHORT,
    };
    let received = serve(first, later, |address| {
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("written");
        read_to_close(stream)
    });
    assert!(received.ends_with("done"), "{received}");
}
