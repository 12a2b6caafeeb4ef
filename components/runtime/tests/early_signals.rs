//! A process that has just been started got a signal before it watched for
//! any, and was ended by it: of 20 gateways that were told to reload 1 ms after
//! their start 19 were gone, and a replica that waits for room on its disk
//! could be ended so at any time. Here the test's own process is signalled
//! before its loop runs; unwatched, either signal would end it.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Signal, getpid, kill_process};

use garnet_runtime::Shell;

/// A signal that takes so long is lost.
const HANGS: Duration = Duration::from_secs(60);

#[test]
fn signals_before_the_loop_runs_are_kept_or_do_no_harm() {
    let shell = Shell::new();
    kill_process(getpid(), Signal::HUP).expect("it runs");
    assert!(!shell.stop_was_requested(), "nobody asked for a stop");
    kill_process(getpid(), Signal::TERM).expect("it runs");
    // Another thread of the process may be the one that gets the signal.
    let told = Instant::now();
    while !shell.stop_was_requested() {
        assert!(told.elapsed() < HANGS, "the stop is not kept");
        thread::yield_now();
    }
    // Ends because the stop was asked for before.
    shell
        .run(Vec::new(), std::future::ready(()))
        .expect("a planned stop");
}
