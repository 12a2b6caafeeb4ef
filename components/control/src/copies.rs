//! Which engines hold which prefixes of prompts, as gateways tell it.
//!
//! A gateway sees only what it had read itself. Told of the others' copies, it
//! has a prefix copied from an engine that holds it, in place of having it
//! read again. This is a belief: it is never logged, bounded, and a new leader
//! starts without it.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{BackendId, GatewayId, Millis, PrefixId};

use crate::configuration::Configuration;
use crate::load_digest::MembersHash;
use crate::messages::{CopyUpdates, PositionedCopy, PromptCopy};

/// Notes that are kept for gateways that were not told of them yet.
const MOST_NOTES: usize = 4096;
/// Notes that one answer carries at most, at some 7 bytes each.
const MOST_IN_ANSWER: usize = 256;
/// A note older than this is hardly true any more.
const FRESH: Millis = Millis::from_secs(20);

#[derive(Debug)]
struct Note {
    noted_at: Millis,
    by: GatewayId,
    prefix: PrefixId,
    backend: BackendId,
    /// Place of the back end in the configuration.
    place: Option<u16>,
    /// Set where the back end has started again since.
    is_void: bool,
}

/// The latest notes, and how far each gateway has heard them.
///
/// Notes are numbered in the order in which they came, without a gap.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    notes: VecDeque<Note>,
    next_number: u64,
    heard_before: BTreeMap<GatewayId, u64>,
    /// Number of the oldest note when marks of gateways were looked through last.
    looked_through_at: u64,
    places: Places,
}

/// Places of the back ends of a configuration.
#[derive(Debug, Default)]
struct Places {
    index: u64,
    members: MembersHash,
    by_id: BTreeMap<BackendId, u16>,
}

impl Places {
    fn of(configuration: &Configuration) -> Self {
        let ids = configuration.backends.keys();
        let by_id = ids.cloned().zip(0..).collect();
        Places {
            index: configuration.index,
            members: MembersHash::of(configuration.backends.keys()),
            by_id,
        }
    }
}

impl Copies {
    /// Takes the word of a gateway.
    pub(crate) fn record(&mut self, by: &GatewayId, copies: Vec<PromptCopy>, now: Millis) {
        for copy in copies {
            self.notes.push_back(Note {
                noted_at: now,
                by: by.clone(),
                prefix: copy.prefix,
                place: self.places.by_id.get(&copy.backend).copied(),
                backend: copy.backend,
                is_void: false,
            });
            self.next_number += 1;
        }
        self.forget_old(now);
    }

    /// Forgets what an engine held that has started again since. Its notes stay
    /// in their places and tell nothing.
    pub(crate) fn on_restart(&mut self, engine: &BackendId) {
        let is_its = |note: &&mut Note| note.backend == *engine;
        for note in self.notes.iter_mut().filter(is_its) {
            note.is_void = true;
        }
    }

    /// What others told since `gateway` heard of it last, the oldest first.
    pub(crate) fn updates_for(
        &mut self,
        gateway: &GatewayId,
        configuration: &Configuration,
    ) -> CopyUpdates {
        self.place_all(configuration);
        let first = self.first_number();
        let from = self
            .heard_before
            .get(gateway)
            .copied()
            .unwrap_or(0)
            .max(first);
        let mut heard = from;
        let mut copies = Vec::new();
        for note in self.notes.iter().skip((from - first) as usize) {
            if copies.len() == MOST_IN_ANSWER {
                break;
            }
            heard += 1;
            if let Some(place) = note.place.filter(|_| note.by != *gateway && !note.is_void) {
                let prefix = note.prefix;
                copies.push(PositionedCopy { prefix, place });
            }
        }
        self.heard_before.insert(gateway.clone(), heard);
        CopyUpdates {
            members: self.places.members,
            copies,
        }
    }

    /// Places the notes by this configuration.
    fn place_all(&mut self, configuration: &Configuration) {
        if self.places.index == configuration.index {
            return;
        }
        self.places = Places::of(configuration);
        for note in &mut self.notes {
            note.place = self.places.by_id.get(&note.backend).copied();
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Copies::default();
    }

    /// Number of the oldest note that is kept.
    fn first_number(&self) -> u64 {
        self.next_number - self.notes.len() as u64
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |note: &Note| now.since(note.noted_at) > FRESH;
        while self.notes.len() > MOST_NOTES || self.notes.front().is_some_and(is_old) {
            self.notes.pop_front();
        }
        // A gateway that is gone leaves its mark until all notes of then are, and
        // as many after them: to look through the marks of all gateways with each
        // report of one would cost the square of the gateways.
        let first = self.first_number();
        if first >= self.looked_through_at + MOST_NOTES as u64 {
            self.looked_through_at = first;
            self.heard_before.retain(|_, heard| *heard >= first);
        }
    }
}
