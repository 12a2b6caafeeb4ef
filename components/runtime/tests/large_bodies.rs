//! Bodies that are longer than what a connection may receive without progress, taken by readers
//! that are slower than their senders.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use garnet_runtime::server::read_body;
use garnet_runtime::{
    ConnectionPool, HttpServer, Limits, PoolSettings, RequestBody, text_response,
};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use rstest::rstest;
use smol::{LocalExecutor, Timer};

const BODY_BYTES: usize = 8 * 1024 * 1024;
const SMALL_BODY_BYTES: usize = 1024 * 1024;
/// Number of parts after which a reader pauses.
const PARTS_BETWEEN_PAUSES: usize = 16;
const PAUSE: Duration = Duration::from_millis(1);

/// Answers one request with a head and a body.
fn start_server(head: &'static str, part: &'static str, count: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n{}", part.repeat(count));
        stream.write_all(answer.as_bytes()).expect("written");
        if head.contains("chunked") {
            stream.write_all(b"0\r\n\r\n").expect("written");
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        received.push(byte[0]);
    }
}

#[rstest]
#[case::length("content-length: 8388608\r\n", "x", BODY_BYTES)]
#[case::until_close("", "x", BODY_BYTES)]
#[case::small_chunks("transfer-encoding: chunked\r\n", "1\r\nx\r\n", SMALL_BODY_BYTES)]
fn a_slow_reader_receives_a_whole_answer(
    #[case] head: &'static str,
    #[case] part: &'static str,
    #[case] bytes: usize,
) {
    let address = start_server(head, part, bytes);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let reading = async {
        let request = Request::builder().uri("/").header("host", "a");
        let request = request.body(Full::<Bytes>::default()).expect("a request");
        let mut answer = pool.send(&address, request).await.expect("a head");
        let mut received = 0;
        let mut parts = 0;
        while let Some(part) = answer.next().await.expect("no error") {
            received += part.len();
            parts += 1;
            if parts % PARTS_BETWEEN_PAUSES == 0 && parts < 100 * PARTS_BETWEEN_PAUSES {
                Timer::after(PAUSE).await;
            }
        }
        received
    };
    assert_eq!(smol::block_on(executor.run(reading)), bytes);
}

#[rstest]
#[case::length("content-length: 8388608\r\n", "x", BODY_BYTES)]
#[case::small_chunks("transfer-encoding: chunked\r\n", "1\r\nx\r\n", SMALL_BODY_BYTES)]
fn a_server_receives_a_whole_request(
    #[case] head: &'static str,
    #[case] part: &'static str,
    #[case] bytes: usize,
) {
    let executor = Rc::new(LocalExecutor::new());
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = smol::block_on(HttpServer::bind(any_port, Limits::default())).expect("a port");
    let address = server.address().expect("an address");
    let (done_in, done) = smol::channel::bounded(1);
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let begin = format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{head}\r\n");
        stream.write_all(begin.as_bytes()).expect("written");
        let body = part.repeat(bytes);
        stream.write_all(body.as_bytes()).expect("written");
        if head.contains("chunked") {
            stream.write_all(b"0\r\n\r\n").expect("written");
        }
        let mut answer = String::new();
        let _cut = stream.read_to_string(&mut answer);
        let _received = done_in.send_blocking(answer);
    });
    let limits = Limits {
        body_bytes: BODY_BYTES,
        body_time: Duration::from_secs(60),
        ..Limits::default()
    };
    let handler = move |request: Request<RequestBody>| async move {
        Timer::after(PAUSE).await;
        let body = read_body(request.into_body(), &limits).await;
        text_response(200, format!("{:?}", body.map(|body| body.len())))
    };
    let serving = server.serve(Rc::clone(&executor), handler, std::future::pending());
    let serving = async {
        serving.await;
        unreachable!("nobody stops it")
    };
    let answered = async { done.recv().await.expect("an answer") };
    let answer = smol::block_on(executor.run(smol::future::or(answered, serving)));
    assert!(answer.ends_with(&format!("Ok({bytes})")), "{answer}");
}
