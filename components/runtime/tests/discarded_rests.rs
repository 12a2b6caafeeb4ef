//! Answers of which only the head is needed: their connections are reused if the rest ends in
//! time, and closed otherwise.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use garnet_runtime::{ConnectionPool, PoolSettings};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use rstest::rstest;
use smol::LocalExecutor;

const MAX_BYTES: usize = 100;
const TOO_LONG: &str = "content-length: 101\r\n\r\n\
    01234567890123456789012345678901234567890123456789\
    01234567890123456789012345678901234567890123456789.";
const SHORT: Duration = Duration::from_millis(30);
/// Longer than any test.
const LONG: Duration = Duration::from_secs(60);

/// Answers each request with this text.
fn start_server(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_all(stream, answer));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream, answer: &str) {
    let mut received = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|count| count == 1) {
        received.push(byte[0]);
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/").header("host", "a");
    request.body(Full::default()).expect("a request")
}

#[rstest]
#[case::ends("content-length: 4\r\n\r\nrest", LONG, true)]
#[case::empty("content-length: 0\r\n\r\n", LONG, true)]
#[case::does_not_end("content-length: 5\r\n\r\nrest", SHORT, false)]
#[case::too_long(TOO_LONG, LONG, false)]
fn the_connection_is_reused_if_the_rest_ends(
    #[case] rest: &str,
    #[case] max_time: Duration,
    #[case] is_reused: bool,
) {
    let answer = format!("HTTP/1.1 503 Service Unavailable\r\n{rest}");
    let address = start_server(answer.leak());
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let exchanges = async {
        let first = pool.send(&address, request()).await.expect("a head");
        first.discard_rest(MAX_BYTES, max_time).await;
        pool.send(&address, request()).await.expect("a head").fresh
    };
    let is_fresh = smol::block_on(executor.run(exchanges));
    assert_eq!(is_fresh, !is_reused);
}
