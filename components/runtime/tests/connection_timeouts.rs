//! Connections of callers that rest, or send a head slowly, as the limits in
//! force say.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use garnet_runtime::{ConnectionTimeouts, HttpServer, Limits, Shared, text_response};
use smol::{LocalExecutor, Timer};

const SHORT: Duration = Duration::from_millis(30);
/// Nothing here takes so long.
const LONG: Duration = Duration::from_secs(60);
/// What the handler takes: longer than every short limit.
const WORK: Duration = Duration::from_millis(120);

const REQUEST: &[u8] = b"GET /work HTTP/1.1\r\nhost: a\r\n\r\n";

/// Serves with these limits, which change to `later` with the first request,
/// while `caller` runs.
fn serve<T: Send + 'static>(
    first: ConnectionTimeouts,
    later: ConnectionTimeouts,
    caller: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let executor = Rc::new(LocalExecutor::new());
    let times = Shared::new(first);
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = smol::block_on(HttpServer::bind(any_port, Limits::default())).expect("a port");
    let server = server.with_timeouts(times.clone());
    let address = server.address().expect("an address");
    let (done_in, done) = smol::channel::bounded(1);
    thread::spawn(move || {
        let _received = done_in.send_blocking(caller(address));
    });
    let handler = move |_| {
        times.replace(later);
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

/// Reads until the other end closes.
fn rest_of(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a proper end");
    text
}

#[test]
fn a_connection_that_rests_too_long_is_closed() {
    let times = ConnectionTimeouts {
        head: LONG,
        idle: SHORT,
    };
    let heard = serve(times, times, |address| rest_of(connect(address)));
    assert_eq!(heard, "");
}

#[test]
fn a_head_that_comes_too_slowly_ends_its_connection() {
    let times = ConnectionTimeouts {
        head: SHORT,
        idle: LONG,
    };
    let heard = serve(times, times, |address| {
        let mut stream = connect(address);
        stream.write_all(b"GET /work HT").expect("written");
        rest_of(stream)
    });
    assert_eq!(heard, "");
}

#[test]
fn an_answer_may_take_longer_than_both_and_the_rest_counts_from_its_end() {
    let times = ConnectionTimeouts {
        head: SHORT,
        idle: SHORT,
    };
    let heard = serve(times, times, |address| {
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("written");
        rest_of(stream)
    });
    assert!(
        heard.starts_with("HTTP/1.1 200") && heard.ends_with("done"),
        "{heard}"
    );
}

#[test]
fn limits_that_change_hold_for_connections_that_are_open() {
    let first = ConnectionTimeouts {
        head: LONG,
        idle: LONG,
    };
    let later = ConnectionTimeouts {
        head: LONG,
        idle: SHORT,
    };
    let heard = serve(first, later, |address| {
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("written");
        rest_of(stream)
    });
    assert!(heard.ends_with("done"), "{heard}");
}
