//! What is known of streams that began lately.

use std::collections::{HashMap, VecDeque};

use garnet_types::Millis;

use crate::builds::STREAM_LIFETIME;
use crate::messages::StreamKey;

/// Values of streams, each kept for the lifetime of a stream after it was first added.
#[derive(Debug)]
pub struct RecentStreams<V> {
    values: HashMap<StreamKey, V>,
    /// The streams by the time when they were added.
    order: VecDeque<(Millis, StreamKey)>,
    max_len: usize,
}

impl<V> RecentStreams<V> {
    /// Keeps the values of `max_len` streams at most, the newest ones.
    pub fn new(max_len: usize) -> Self {
        RecentStreams {
            values: HashMap::new(),
            order: VecDeque::new(),
            max_len,
        }
    }

    /// Adds or replaces the value of a stream.
    pub fn insert(&mut self, stream: StreamKey, value: V, now: Millis) {
        if self.values.insert(stream, value).is_none() {
            self.order.push_back((now, stream));
        }
        self.prune(now);
    }

    /// The value of a stream, if it is kept.
    pub fn get(&self, stream: StreamKey) -> Option<&V> {
        self.values.get(&stream)
    }

    /// All values that are kept.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &V)> {
        self.values.iter().map(|(stream, value)| (*stream, value))
    }

    /// Number of streams that are kept.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Drops the values of old streams.
    pub fn prune(&mut self, now: Millis) {
        while let Some((added_at, stream)) = self.order.front() {
            let is_old = now.since(*added_at) > STREAM_LIFETIME;
            if !is_old && self.order.len() <= self.max_len {
                return;
            }
            self.values.remove(stream);
            self.order.pop_front();
        }
    }
}
