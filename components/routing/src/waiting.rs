//! Requests that wait at a gateway for room, bounded, urgent ones first.

use std::collections::VecDeque;

use garnet_types::{Class, Millis};

/// A waiting request.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<T> {
    /// The request.
    pub item: T,
    /// Its class.
    pub class: Class,
    /// When it began to wait.
    pub since: Millis,
    /// Latest useful moment to be sent to an engine.
    pub latest_start: Millis,
}

/// After so long, a request is served as if it were of the next class above:
/// work that yields is not starved without bound.
const PROMOTE_AFTER: Millis = Millis::from_secs(20);

/// The queue of a gateway.
#[derive(Debug, Clone)]
pub struct WaitingQueue<T> {
    entries: VecDeque<Waiting<T>>,
    capacity: usize,
}

impl<T> WaitingQueue<T> {
    /// An empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        WaitingQueue {
            entries: VecDeque::new(),
            capacity,
        }
    }

    /// Adds a request at the end.
    ///
    /// # Errors
    /// Gives it back when the queue is full.
    pub fn push(&mut self, waiting: Waiting<T>) -> Result<(), Waiting<T>> {
        if self.entries.len() >= self.capacity {
            return Err(waiting);
        }
        self.entries.push_back(waiting);
        Ok(())
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes out every request whose latest start has passed.
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

    /// Takes out the request to serve next.
    pub fn pop(&mut self, now: Millis) -> Option<Waiting<T>> {
        let position = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(position, waiting)| (rank(waiting, now), *position))
            .map(|(position, _)| position)?;
        self.entries.remove(position)
    }

    /// Puts a request back to the front of its class.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        self.entries.push_front(waiting);
    }

    /// Takes out the first request that `matches`.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<Waiting<T>> {
        let position = self
            .entries
            .iter()
            .position(|waiting| matches(&waiting.item))?;
        self.entries.remove(position)
    }
}

/// Rank of service: the class, less one for each promotion.
fn rank<T>(waiting: &Waiting<T>, now: Millis) -> u64 {
    let promotions = now.since(waiting.since).0 / PROMOTE_AFTER.0;
    (waiting.class as u64).saturating_sub(promotions)
}
