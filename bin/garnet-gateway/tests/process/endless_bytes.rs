//! Engines that send without end.
//!
//! A line of a stream that never ended was kept in memory, beside any budget, and all of it was
//! searched again with each chunk: the event loop was busy with it until the deadline.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use garnet_test_support::peak_memory_bytes;
use garnet_types::BackendKind;
use rstest::rstest;

use crate::surplus_answers::{
    BackEnd, HANG_TIMEOUT, call, load_report, read_request, start_gateway,
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
