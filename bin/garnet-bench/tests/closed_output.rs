//! A reader that closes its end early, as `head` does.

use std::io::Read;
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_garnet-bench");

/// `garnet-bench simulate | head` ended in a panic ("failed printing to stdout: Broken
/// pipe") and a backtrace.
#[test]
fn closed_output_ends_no_program_in_a_panic() {
    let mut child = Command::new(PROGRAM)
        .args(["simulate", "--seeds", "0", "--faults", "none"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stdout.take());
    let mut complaints = String::new();
    let mut stderr = child.stderr.take().expect("a pipe");
    stderr.read_to_string(&mut complaints).expect("text");
    let status = child.wait().expect("it ends");
    assert!(status.success(), "{status}: {complaints}");
    assert!(!complaints.contains("panicked"), "{complaints}");
}
