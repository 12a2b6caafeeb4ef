//! What a start reads back and believes is durable from then on.
//!
//! A process is killed at any step, started again and killed again, and now and then the
//! power is lost. No start may fail, and nothing that a process reported as durable, or
//! read back at a start that was completed, may be missing later.

mod believed;
mod cost;
mod disk_log;
mod host;
mod lives;

use garnet_storage::ChangeFate;
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use rstest::rstest;

use crate::host::Host;
use crate::lives::{End, Life, Operation, lives};

/// Number of sequences of lives that the property test plays.
const CASES: u32 = 3000;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(73),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        ..ProptestConfig::with_cases(CASES)
    })]

    #[test]
    fn no_start_fails_and_nothing_believed_is_lost(lives in lives()) {
        play(&lives)?;
    }
}

fn play(lives: &[Life]) -> Result<(), TestCaseError> {
    let mut host = Host::default();
    for life in lives {
        host.live(life)?;
    }
    host.live(&Life::default())
}

fn append(count: u64) -> Operation {
    Operation::Append {
        count,
        commits: true,
    }
}

/// A life that ends by a kill, with `steps` writes and syncs after its start.
fn killed_after(operations: Vec<Operation>, steps: u32) -> Life {
    Life {
        operations,
        steps_after_start: Some(steps),
        ..Life::default()
    }
}

/// A life that ends by a power loss which keeps nothing unsynced.
fn without_power_after(operations: Vec<Operation>) -> Life {
    Life {
        operations,
        end: End::PowerLoss(vec![ChangeFate::Lost]),
        ..Life::default()
    }
}

/// Steps that start a segment: a write, a sync and a sync of the names.
const STEPS_OF_A_NEW_SEGMENT: u32 = 3;
/// Steps of a frame: a write and a sync.
const STEPS_OF_A_FRAME: u32 = 2;

/// The case of review/3: the process that was killed had written the last frame of a
/// segment and not synced it. The fourth frame fills a segment, so that the next one starts
/// another.
#[rstest]
fn the_last_frame_of_a_killed_process_is_kept(
    #[values(1, 2, 3, 4)] frames: usize,
    #[values(1, 2, 3)] further_frames: usize,
) {
    let steps = STEPS_OF_A_NEW_SEGMENT + frames as u32 * STEPS_OF_A_FRAME - 1;
    let lives = [
        killed_after(vec![append(1); frames], steps),
        without_power_after(vec![append(1); further_frames]),
    ];
    play(&lives).expect("a start that finds all entries");
}

/// The process that was killed had started a segment and not synced its name. Frames that
/// follow in it are acknowledged after the restart.
#[rstest]
fn the_name_of_a_segment_of_a_killed_process_is_kept(
    #[values(1, 2)] steps: u32,
    #[values(1, 2)] frames: usize,
) {
    let lives = [
        killed_after(vec![append(1)], steps),
        without_power_after(vec![append(1); frames]),
    ];
    play(&lives).expect("a start that finds all entries");
}

/// A snapshot of the leader was renamed, and the folder not synced, by the process that
/// was killed. Entries that follow it are acknowledged after the restart.
#[test]
fn the_name_of_a_snapshot_of_a_killed_process_is_kept() {
    let received = Operation::ReceiveSnapshot { ahead: 3 };
    let appended = STEPS_OF_A_NEW_SEGMENT + STEPS_OF_A_FRAME;
    for steps in appended..appended + 12 {
        let lives = [
            killed_after(vec![append(2), received.clone()], steps),
            without_power_after(vec![append(1)]),
        ];
        play(&lives).unwrap_or_else(|error| panic!("killed after {steps} steps: {error}"));
    }
}

/// The identity and the value beside it were renamed, and the folder not synced, by the
/// process that was killed at its first start.
#[test]
fn the_names_of_values_of_a_killed_process_are_kept() {
    for steps in 0..12 {
        let killed_at_start = Life {
            steps_of_start: Some(steps),
            ..Life::default()
        };
        let lives = [killed_at_start, without_power_after(vec![])];
        play(&lives).unwrap_or_else(|error| panic!("killed after {steps} steps: {error}"));
    }
}
