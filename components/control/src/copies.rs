//! Which engines hold which prefixes of prompts, as gateways tell it.
//!
//! A gateway sees only what it had read itself. Told of the others' copies, it
//! has a prefix copied from an engine that holds it, in place of having it
//! read again. This is a belief: it is never logged, bounded, and a new leader
//! starts without it.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{GatewayId, Millis};

use crate::messages::PromptCopy;

/// Notes that are kept for gateways that were not told of them yet.
const MOST_NOTES: usize = 4096;
/// Notes that one answer carries at most.
const MOST_IN_ANSWER: usize = 64;
/// A note older than this is hardly true any more.
const FRESH: Millis = Millis::from_secs(20);

#[derive(Debug)]
struct Note {
    noted_at: Millis,
    by: GatewayId,
    copy: PromptCopy,
}

/// The latest notes, and how far each gateway has heard them.
///
/// Notes are numbered in the order in which they came, without a gap.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    notes: VecDeque<Note>,
    next_number: u64,
    heard_before: BTreeMap<GatewayId, u64>,
}

impl Copies {
    /// Takes the word of a gateway.
    pub(crate) fn note(&mut self, by: &GatewayId, copies: Vec<PromptCopy>, now: Millis) {
        for copy in copies {
            self.notes.push_back(Note {
                noted_at: now,
                by: by.clone(),
                copy,
            });
            self.next_number += 1;
        }
        self.forget_old(now);
    }

    /// What others told since `gateway` heard of it last, the oldest first.
    pub(crate) fn news_for(&mut self, gateway: &GatewayId) -> Vec<PromptCopy> {
        let first = self.first_number();
        let from = self
            .heard_before
            .get(gateway)
            .copied()
            .unwrap_or(0)
            .max(first);
        let mut heard = from;
        let mut news = Vec::new();
        for note in self.notes.iter().skip((from - first) as usize) {
            if news.len() == MOST_IN_ANSWER {
                break;
            }
            heard += 1;
            if note.by != *gateway {
                news.push(note.copy.clone());
            }
        }
        self.heard_before.insert(gateway.clone(), heard);
        news
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
        let first = self.first_number();
        // A gateway that is gone leaves its mark until all notes of then are.
        self.heard_before.retain(|_, heard| *heard >= first);
    }
}
