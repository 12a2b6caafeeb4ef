//! The lives of a process, as the property test draws them.

use garnet_storage::ChangeFate;
use proptest::prelude::*;

/// Writes, syncs, renames and removals after which a process may be killed.
const MAX_STEPS: u32 = 30;

/// One thing that a process does with its data folder.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Appends entries of the current term, and commits the log or not.
    Append { count: u64, commits: bool },
    /// Replaces up to `back` uncommitted entries by one of a new term.
    Replace { back: u64 },
    /// Votes in a new term.
    Vote,
    /// Saves a snapshot `back` entries before the last committed one.
    SaveSnapshot { back: u64 },
    /// Replaces the log with a snapshot `ahead` of what is committed.
    ReceiveSnapshot { ahead: u64 },
    /// Replaces a small value.
    SaveValue,
}

/// How a life ends.
#[derive(Debug, Clone)]
pub enum End {
    /// The process dies; the files stay as they are.
    Kill,
    /// The power is lost; each unsynced change has one of these fates, in turn.
    PowerLoss(Vec<ChangeFate>),
}

/// The life of one process.
#[derive(Debug, Clone)]
pub struct Life {
    /// Steps of its start, before which it dies; `None` if the start is completed.
    pub steps_of_start: Option<u32>,
    pub operations: Vec<Operation>,
    /// Steps after its start, before which it dies; `None` if it does all operations.
    pub steps_after_start: Option<u32>,
    /// Bytes of a write that its death leaves behind.
    pub bytes_of_last_write: usize,
    /// The disk is full at the start, and has space again when the start is retried.
    pub starts_on_full_disk: bool,
    /// The disk is full for the operation at this place, and has space again when it is
    /// retried.
    pub full_at: Option<usize>,
    pub end: End,
}

impl Default for Life {
    fn default() -> Self {
        Life {
            steps_of_start: None,
            operations: Vec::new(),
            steps_after_start: None,
            bytes_of_last_write: 0,
            starts_on_full_disk: false,
            full_at: None,
            end: End::Kill,
        }
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (1..4_u64, any::<bool>())
            .prop_map(|(count, commits)| Operation::Append { count, commits }),
        2 => (0..4_u64).prop_map(|back| Operation::Replace { back }),
        1 => Just(Operation::Vote),
        2 => (0..4_u64).prop_map(|back| Operation::SaveSnapshot { back }),
        1 => (0..4_u64).prop_map(|ahead| Operation::ReceiveSnapshot { ahead }),
        1 => Just(Operation::SaveValue),
    ]
}

fn fate() -> impl Strategy<Value = ChangeFate> {
    prop_oneof![
        Just(ChangeFate::Lost),
        Just(ChangeFate::Kept),
        any::<u8>().prop_map(ChangeFate::Torn),
    ]
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        Just(End::Kill),
        Just(End::PowerLoss(vec![ChangeFate::Lost])),
        prop::collection::vec(fate(), 1..8).prop_map(End::PowerLoss),
    ]
}

fn life() -> impl Strategy<Value = Life> {
    let starts = (
        prop::option::weighted(0.3, 0..MAX_STEPS),
        prop::bool::weighted(0.1),
    );
    let operations = prop::collection::vec(operation(), 0..8);
    let deaths = (prop::option::weighted(0.7, 0..MAX_STEPS), 0..400_usize);
    let full_at = prop::option::weighted(0.2, 0..8_usize);
    (starts, operations, deaths, full_at, end()).prop_map(
        |((steps_of_start, starts_on_full_disk), operations, deaths, full_at, end)| Life {
            steps_of_start,
            operations,
            steps_after_start: deaths.0,
            bytes_of_last_write: deaths.1,
            starts_on_full_disk,
            full_at,
            end,
        },
    )
}

/// Lives of processes on one disk, one after another.
pub fn lives() -> impl Strategy<Value = Vec<Life>> {
    prop::collection::vec(life(), 1..6)
}
