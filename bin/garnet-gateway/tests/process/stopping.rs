//! A planned stop of a gateway whose grace time is known. No test kills the process.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use garnet_types::BackendKind;
use rstest::rstest;

use crate::running::Running;
use crate::surplus_answers::{
    BackEnd, HANG_TIMEOUT, POLL_INTERVAL, load_report, read_request, start_gateway_with,
};

/// Time within which the gateway has to answer once it is stopped.
const GRACE: &str = "grace_ms = 1000\n";
/// Callers wait for longer than that.
const PATIENT: &str = "garnet-deadline-ms: 50000\r\n";
/// What the answers to them name. A deadline that has passed is named otherwise.
const CAUSE: &str = "this gateway stops";
const APPLICATION_CALL: &str = "/services/application/x";
const COMPLETION: &str = r#"{"model":"words-model","prompt":"x","max_tokens":1}"#;

/// Reports the load, and answers nothing else.
fn silent(mut stream: TcpStream, _: &str, runs: &AtomicUsize) -> Option<()> {
    loop {
        let request = read_request(&mut stream)?;
        if request.contains("load") {
            stream.write_all(load_report().as_bytes()).ok()?;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        let mut rest = [0; 1];
        let _closed = stream.read(&mut rest);
        return None;
    }
}

fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(
            began.elapsed() < HANG_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn has_open_request(gateway: &Running) -> bool {
    let page = gateway.send(b"GET /metrics HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n");
    page.lines()
        .any(|line| line.starts_with("garnet_gateway_open_requests") && line.ends_with(" 1"))
}

/// Requests that no back end answered during a stop got no answer: their connections ended with the
/// process.
#[rstest]
#[case::repeatable(
    BackendKind::Application,
    "application",
    "GET",
    APPLICATION_CALL,
    "",
    "504"
)]
#[case::once(
    BackendKind::Application,
    "application",
    "POST",
    APPLICATION_CALL,
    "b",
    "409"
)]
#[case::completion(
    BackendKind::Engine,
    "engine",
    "POST",
    "/v1/completions",
    COMPLETION,
    "504"
)]
fn a_request_that_runs_is_answered_before_the_end_of_a_stop(
    #[case] kind: BackendKind,
    #[case] service: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: &str,
) {
    let back_end = BackEnd::start_with("", silent);
    let gateway = start_gateway_with(kind, service, &back_end, GRACE);
    wait_until("readiness", || is_ready(&gateway));
    let answer = thread::scope(|scope| {
        let asking = scope.spawn(|| gateway.send(&request(method, path, PATIENT, body)));
        wait_until("the run", || back_end.runs() > 0);
        gateway.stop();
        asking.join().expect("an answer")
    });
    let status = format!("HTTP/1.1 {status}");
    assert!(answer.starts_with(&status), "{answer}");
    assert!(answer.contains(CAUSE), "{answer}");
    assert_eq!(back_end.runs(), 1);
}

/// A request that waits for the leader's grant until the end of a stop has not run, and is refused
/// so that its caller may send it to another gateway.
#[test]
fn a_request_that_waits_is_refused_as_not_run_before_the_end_of_a_stop() {
    let back_end = BackEnd::start_with("", silent);
    let kind = BackendKind::Application;
    let gateway = start_gateway_with(kind, "application", &back_end, GRACE);
    wait_until("readiness", || is_ready(&gateway));
    let headers = format!("{PATIENT}idempotency-key: k\r\n");
    let answer = thread::scope(|scope| {
        let asking =
            scope.spawn(|| gateway.send(&request("POST", APPLICATION_CALL, &headers, "b")));
        wait_until("an open request", || has_open_request(&gateway));
        gateway.stop();
        asking.join().expect("an answer")
    });
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains(CAUSE), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after:"), "{answer}");
    assert_eq!(back_end.runs(), 0);
}

fn is_ready(gateway: &Running) -> bool {
    let page = gateway.send(b"GET /readyz HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n");
    page.starts_with("HTTP/1.1 200")
}
