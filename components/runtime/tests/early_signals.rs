//! Guards against signals that end a process before it watches for them: of 20
//! gateways that got SIGHUP 1 ms after their start, 19 ended. A replica that
//! waits for disk space could be ended in the same way at any time. The test
//! signals its own process before its event loop runs; unwatched, either signal
//! would end it.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Signal, getpid, kill_process};

use garnet_runtime::Shell;

/// A signal that takes longer than this is lost.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn signals_before_the_event_loop_runs_are_kept_or_ignored() {
    let shell = Shell::new();
    kill_process(getpid(), Signal::HUP).expect("it runs");
    assert!(!shell.stop_was_requested(), "no stop was requested");
    kill_process(getpid(), Signal::TERM).expect("it runs");
    // Another thread of the process may receive the signal.
    let sent_at = Instant::now();
    while !shell.stop_was_requested() {
        assert!(
            sent_at.elapsed() < SIGNAL_TIMEOUT,
            "the stop request is lost"
        );
        thread::yield_now();
    }
    // Ends because the stop was requested before.
    shell
        .run(Vec::new(), std::future::ready(()))
        .expect("a planned stop");
}
