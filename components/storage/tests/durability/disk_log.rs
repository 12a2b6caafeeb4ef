//! The state of a replica's log as its storage recovers it, and the effect of operations.

use std::sync::Arc;

use garnet_consensus::{Entry, EntryPayload, HardState, Membership, Ready, Snapshot};
use garnet_storage::Recovered;
use garnet_types::ReplicaId;

use crate::lives::Operation;

/// Bytes of the payload of an entry.
const PAYLOAD_BYTES: usize = 40;

/// Index and term of an entry or of a snapshot.
pub type Position = (u64, u64);

/// The state of one log. Entries of a term are never replaced by others of that term, so
/// that index and term stand for the entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DiskLog {
    pub hard_state: HardState,
    pub snapshot: Position,
    pub entries: Vec<Position>,
    pub commit_index: u64,
}

/// A call of the storage.
#[derive(Debug)]
pub enum Call {
    Write(Ready),
    SaveSnapshot(Snapshot),
}

/// A call, the state after it, and the states that it may leave if it does not return.
#[derive(Debug)]
pub struct Transition {
    pub call: Call,
    pub after: DiskLog,
    pub unfinished: Vec<DiskLog>,
}

impl DiskLog {
    pub fn of(recovered: &Recovered) -> Self {
        let snapshot = recovered.snapshot.as_ref();
        let snapshot = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let positions = recovered.entries.iter().map(|e| (e.index, e.term));
        DiskLog {
            hard_state: recovered.hard_state,
            snapshot,
            entries: positions.collect(),
            commit_index: recovered.commit_index.max(snapshot.0),
        }
    }

    /// The effect of an operation on the log, or `None` where it does not apply.
    pub fn transition(&self, operation: &Operation) -> Option<Transition> {
        match operation {
            Operation::Append { count, commits } => Some(self.append(*count, *commits)),
            Operation::Replace { back } => Some(self.replace(*back)),
            Operation::Vote => Some(self.vote()),
            Operation::SaveSnapshot { back } => self.save_snapshot(*back),
            Operation::ReceiveSnapshot { ahead } => Some(self.receive_snapshot(*ahead)),
            Operation::SaveValue => None,
        }
    }

    fn last(&self) -> Position {
        self.entries.last().copied().unwrap_or(self.snapshot)
    }

    fn next_term(&self) -> HardState {
        HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(ReplicaId(self.hard_state.term % 3)),
        }
    }

    /// A new term takes effect by itself where its frame starts a segment.
    fn with_hard_state(&self, hard_state: HardState) -> Self {
        DiskLog {
            hard_state,
            ..self.clone()
        }
    }

    fn append(&self, count: u64, commits: bool) -> Transition {
        let mut after = self.clone();
        let first = self.last().0 + 1;
        let term = self.hard_state.term;
        let entries = first..first + count;
        after
            .entries
            .extend(entries.clone().map(|index| (index, term)));
        let mut ready = Ready {
            entries: entries.map(|index| entry((index, term))).collect(),
            ..Ready::default()
        };
        if commits {
            after.commit_index = after.last().0;
            ready.committed = vec![entry(after.last())];
        }
        Transition {
            call: Call::Write(ready),
            after,
            unfinished: Vec::new(),
        }
    }

    /// A leader of a new term replaces entries that are not committed.
    fn replace(&self, back: u64) -> Transition {
        let hard_state = self.next_term();
        let earliest = self.commit_index.max(self.snapshot.0) + 1;
        let index = (self.last().0 + 1).saturating_sub(back).max(earliest);
        let mut after = self.with_hard_state(hard_state);
        after.entries.retain(|(earlier, _)| *earlier < index);
        after.entries.push((index, hard_state.term));
        let ready = Ready {
            entries: vec![entry((index, hard_state.term))],
            hard_state: Some(hard_state),
            ..Ready::default()
        };
        Transition {
            call: Call::Write(ready),
            after,
            unfinished: vec![self.with_hard_state(hard_state)],
        }
    }

    fn vote(&self) -> Transition {
        let hard_state = self.next_term();
        let ready = Ready {
            hard_state: Some(hard_state),
            ..Ready::default()
        };
        Transition {
            call: Call::Write(ready),
            after: self.with_hard_state(hard_state),
            unfinished: Vec::new(),
        }
    }

    /// A snapshot of what is committed, or `None` if there is nothing new.
    fn save_snapshot(&self, back: u64) -> Option<Transition> {
        let new = self.snapshot.0 + 1;
        let index = self.commit_index.saturating_sub(back).max(new);
        let position = *self.entries.iter().find(|(found, _)| *found == index)?;
        if index > self.commit_index {
            return None;
        }
        Some(Transition {
            call: Call::SaveSnapshot(snapshot(position)),
            after: self.with_snapshot(position),
            unfinished: Vec::new(),
        })
    }

    fn with_snapshot(&self, position: Position) -> Self {
        let mut after = self.clone();
        after.snapshot = position;
        after.commit_index = after.commit_index.max(position.0);
        after.entries.retain(|(index, _)| *index > position.0);
        after
    }

    /// A leader replaces the log with a snapshot.
    fn receive_snapshot(&self, ahead: u64) -> Transition {
        let position = (self.commit_index + 1 + ahead, self.hard_state.term);
        // The snapshot is saved before the record that resets the log.
        let mut saved = self.with_snapshot(position);
        let is_superseded = saved.entries.first().is_some_and(|(_, t)| *t < position.1);
        if is_superseded {
            saved.entries.clear();
        }
        let mut after = saved.clone();
        after.entries.clear();
        let ready = Ready {
            snapshot: Some(snapshot(position)),
            ..Ready::default()
        };
        Transition {
            call: Call::Write(ready),
            after,
            unfinished: vec![saved],
        }
    }
}

fn entry((index, term): Position) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![index as u8; PAYLOAD_BYTES]),
    }
}

fn snapshot((index, term): Position) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: Membership::default(),
        data: Arc::new(vec![7; PAYLOAD_BYTES]),
    }
}
