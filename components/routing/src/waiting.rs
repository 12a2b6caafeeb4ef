//! The bounded queue of requests that wait at a gateway, ordered by class.

use std::collections::VecDeque;

use garnet_types::{Class, Millis};

/// A waiting request.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<T> {
    /// The request.
    pub item: T,
    /// Class of the request.
    pub class: Class,
    /// When the request began to wait.
    pub since: Millis,
    /// Latest time at which sending the request to an engine is useful.
    pub latest_start: Millis,
}

/// Waiting time after which a request is treated as one of the next higher class, so that requests
/// of a lower class don't starve.
const PROMOTE_AFTER: Millis = Millis::from_secs(20);

/// The queue of waiting requests.
#[derive(Debug, Clone)]
pub struct WaitingQueue<T> {
    entries: VecDeque<Waiting<T>>,
    capacity: usize,
}

impl<T> WaitingQueue<T> {
    /// Creates an empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        WaitingQueue {
            entries: VecDeque::new(),
            capacity,
        }
    }

    /// Adds a request at the end.
    ///
    /// # Errors
    /// If the queue is full; returns the request.
    pub fn push(&mut self, waiting: Waiting<T>) -> Result<(), Waiting<T>> {
        if self.entries.len() >= self.capacity {
            return Err(waiting);
        }
        self.entries.push_back(waiting);
        Ok(())
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns the requests whose latest start has passed.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Waiting<T>> {
        let mut expired = Vec::new();
        let mut kept = VecDeque::new();
        for waiting in self.entries.drain(..) {
            if waiting.latest_start < now {
                expired.push(waiting);
            } else {
                kept.push_back(waiting);
            }
        }
        self.entries = kept;
        expired
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self, now: Millis) -> Option<Waiting<T>> {
        let position = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(position, waiting)| (promoted_class(waiting, now), *position))
            .map(|(position, _)| position)?;
        self.entries.remove(position)
    }

    /// Returns a request to the front of its class.
    pub fn return_to_front(&mut self, waiting: Waiting<T>) {
        self.entries.push_front(waiting);
    }

    /// Removes and returns the first request that `matches`.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<Waiting<T>> {
        let position = self
            .entries
            .iter()
            .position(|waiting| matches(&waiting.item))?;
        self.entries.remove(position)
    }
}

/// The class by which a request is served: its own, raised by one for each promotion.
fn promoted_class<T>(waiting: &Waiting<T>, now: Millis) -> u64 {
    let promotions = now.since(waiting.since).0 / PROMOTE_AFTER.0;
    (waiting.class as u64).saturating_sub(promotions)
}
