//! Back ends that close a connection inside the head of an answer.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use garnet_types::BackendKind;
use rstest::rstest;

use crate::surplus_answers::{
    ANSWER, BackEnd, HANG_TIMEOUT, POLL_INTERVAL, STREAM, call, is_served, load_report,
    read_request, start_gateway,
};

/// Heads are cut after each multiple of this many bytes.
const STEP_BYTES: usize = 7;

/// Writes the first bytes of the answer and closes the connection. A request names their number after
/// `cut-`.
fn serve(mut stream: TcpStream, answer: &str, runs: &AtomicUsize) -> Option<()> {
    loop {
        let request = read_request(&mut stream)?;
        if request.starts_with("GET ") {
            stream.write_all(load_report().as_bytes()).ok()?;
            continue;
        }
        let (_, after) = request.split_once("cut-")?;
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let len: usize = digits.parse().ok()?;
        runs.fetch_add(1, Ordering::Relaxed);
        stream.write_all(&answer.as_bytes()[..len]).ok()?;
        return None;
    }
}

/// A caller must not receive a success for an answer whose head never ended.
#[rstest]
#[case(BackendKind::Application, "application", ANSWER)]
#[case(BackendKind::Engine, "engine", STREAM)]
fn an_answer_whose_head_is_cut_is_no_success(
    #[case] kind: BackendKind,
    #[case] service: &str,
    #[case] answer: &'static str,
) {
    let back_end = BackEnd::start_with(answer, serve);
    let gateway = start_gateway(kind, service, &back_end);
    let end = answer.find("\r\n\r\n").expect("an end") + 3;
    for len in (0..=end).rev().step_by(STEP_BYTES) {
        let before = back_end.runs();
        let began = Instant::now();
        // After a failure the back end is left out for a while.
        for number in 0.. {
            let answer = call(&gateway, kind, &format!("cut-{len}-{number}"));
            assert!(!is_served(&answer), "{len} bytes: {answer}");
            if back_end.runs() > before {
                break;
            }
            assert!(began.elapsed() < HANG_TIMEOUT, "no call reached it");
            thread::sleep(POLL_INTERVAL);
        }
    }
}
