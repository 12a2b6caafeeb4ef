//! Engines that send without end.
//!
//! A line of a stream that never ended was kept in memory, beside any budget, and all of it was
//! searched again with each chunk: the event loop was busy with it until the deadline.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use garnet_test_support::peak_memory_bytes;
use garnet_types::BackendKind;
use rstest::rstest;

use crate::running::Running;
use crate::surplus_answers::{
    BackEnd, HANG_TIMEOUT, POLL_INTERVAL, call, load_report, read_request, start_gateway,
    start_reporting_gateway,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
/// Most that an engine writes, far more than a gateway keeps.
const FLOOD_BYTES: usize = 256_000_000;
const WRITE_BYTES: usize = 64 * 1024;
/// More than the budget of the gateway, 64 MiB, and what it has besides.
const MEMORY_BYTES: u64 = 160_000_000;

/// Writes a stream of this part, until the gateway closes the connection.
fn serve(mut stream: TcpStream, part: &str, runs: &AtomicUsize) -> Option<()> {
    loop {
        let request = read_request(&mut stream)?;
        if request.starts_with("GET ") {
            stream.write_all(load_report().as_bytes()).ok()?;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        stream.write_all(HEAD.as_bytes()).ok()?;
        let block = part.repeat(WRITE_BYTES.div_ceil(part.len()));
        for _ in 0..FLOOD_BYTES / block.len() {
            stream.write_all(block.as_bytes()).ok()?;
        }
        return None;
    }
}

/// The gateway breaks the attempt off.
#[rstest]
#[case::line("x")]
#[case::data("data: 0123456789")]
fn a_line_without_end_ends_its_attempt(#[case] part: &'static str) {
    let engine = BackEnd::start_with(part, serve);
    let gateway = start_gateway(BackendKind::Engine, "engine", &engine);
    let began = Instant::now();
    // Until the first load report, no engine takes work.
    let answer = loop {
        let answer = call(&gateway, BackendKind::Engine, "flood");
        if engine.runs() > 0 {
            break answer;
        }
        assert!(began.elapsed() < HANG_TIMEOUT, "no call reached the engine");
    };
    // Not 504, which ends a call that is held until its deadline.
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let peak = peak_memory_bytes(gateway.process_id());
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
}

/// Text of a call whose connection the back end closes before it answers.
const CRASHES: &str = "crashes";
/// Text of a call whose answer does not end.
const FLOODS: &str = "floods";

/// Writes this text without an end, or closes the connection as a crash does.
fn flood_or_crash(mut stream: TcpStream, text: &str, runs: &AtomicUsize) -> Option<()> {
    loop {
        let request = read_request(&mut stream)?;
        if request.starts_with("GET ") {
            stream.write_all(load_report().as_bytes()).ok()?;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        if request.contains(CRASHES) {
            return None;
        }
        let (head, part) = text.split_once('|').unwrap_or(("", text));
        stream.write_all(head.as_bytes()).ok()?;
        let block = part.repeat(WRITE_BYTES.div_ceil(part.len()));
        for _ in 0..FLOOD_BYTES / block.len() {
            stream.write_all(block.as_bytes()).ok()?;
        }
        return None;
    }
}

/// Calls until the back end was sent the call.
fn call_until_run(gateway: &Running, back_end: &BackEnd, kind: BackendKind, text: &str) {
    let began = Instant::now();
    let runs = back_end.runs();
    while back_end.runs() == runs {
        call(gateway, kind, text);
        assert!(
            began.elapsed() < HANG_TIMEOUT,
            "no call reached the back end"
        );
    }
}

/// An answer without an end was reported as a crash, and three of them had the call refused.
#[rstest]
fn a_call_whose_answer_does_not_end_is_not_reported_as_a_crash(
    #[values(
        (BackendKind::Application, "application"),
        (BackendKind::Engine, "engine")
    )]
    kind: (BackendKind, &'static str),
    #[values(
        "HTTP/1.1 200 OK\r\n|x-more: 1\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
        "garbage ",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n|0",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n|x-more: 1\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n|x",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n|data: {}\n\n"
    )]
    text: &'static str,
) {
    let (kind, service) = kind;
    let back_end = BackEnd::start_with(text, flood_or_crash);
    let (gateway, reported) = start_reporting_gateway(kind, service, &back_end);
    call_until_run(&gateway, &back_end, kind, FLOODS);
    call_until_run(&gateway, &back_end, kind, CRASHES);
    let began = Instant::now();
    let crashed = loop {
        let reported = reported.lock().expect("no panic").clone();
        if let Some(last) = reported.last() {
            break last.fingerprint;
        }
        assert!(began.elapsed() < HANG_TIMEOUT, "no crash is reported");
        thread::sleep(POLL_INTERVAL);
    };
    let reported = reported.lock().expect("no panic").clone();
    let all_are_equal = reported.iter().all(|run| run.fingerprint == crashed);
    assert!(all_are_equal, "{reported:?}");
}

/// More than a gateway takes that reads load reports.
const REPORTS_MEMORY_BYTES: u64 = 24_000_000;
/// Number of load reports of a test.
const REPORTS: usize = 5;

/// Writes load reports without an end.
fn flood_reports(mut stream: TcpStream, text: &str, reports: &AtomicUsize) -> Option<()> {
    read_request(&mut stream)?;
    stream.write_all(HEAD.as_bytes()).ok()?;
    reports.fetch_add(1, Ordering::Relaxed);
    let block = text.repeat(WRITE_BYTES.div_ceil(text.len()));
    for _ in 0..FLOOD_BYTES / block.len() {
        stream.write_all(block.as_bytes()).ok()?;
    }
    None
}

/// Each load report could take half of the buffer budget, until its time was over.
#[test]
fn a_load_report_without_end_takes_no_memory() {
    let engine = BackEnd::start_with(" ", flood_reports);
    let gateway = start_gateway(BackendKind::Engine, "engine", &engine);
    let began = Instant::now();
    while engine.runs() < REPORTS {
        assert!(began.elapsed() < HANG_TIMEOUT, "no report was asked for");
        thread::sleep(POLL_INTERVAL);
    }
    let peak = peak_memory_bytes(gateway.process_id());
    assert!(peak < REPORTS_MEMORY_BYTES, "{peak} bytes");
}
