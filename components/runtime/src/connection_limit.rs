//! A limit on the open connections of a server. Connections above it are reset.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Limits and counts the open connections of a server. Other threads may read the counts.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    open: AtomicUsize,
    peak_open: AtomicUsize,
    resets: Mutex<Vec<Instant>>,
}

impl ConnectionLimit {
    /// Creates a limit of `max` open connections.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(ConnectionLimit {
            max,
            open: AtomicUsize::new(0),
            peak_open: AtomicUsize::new(0),
            resets: Mutex::default(),
        })
    }

    /// Highest count of connections open at once.
    pub fn peak_open(&self) -> usize {
        self.peak_open.load(Ordering::Relaxed)
    }

    /// Times at which connections were reset.
    pub fn resets(&self) -> Vec<Instant> {
        // The list is consistent even if a thread panicked while it held the lock.
        let resets = self
            .resets
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        resets.clone()
    }

    /// Admits a connection, or resets it if the limit is reached.
    pub(crate) fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
    ) -> Option<(TcpStream, OpenConnection)> {
        let open = self.open.load(Ordering::Relaxed);
        if open >= self.max {
            let mut resets = self
                .resets
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            resets.push(Instant::now());
            reset(&stream);
            return None;
        }
        self.open.store(open + 1, Ordering::Relaxed);
        self.peak_open.fetch_max(open + 1, Ordering::Relaxed);
        Some((stream, OpenConnection(Arc::clone(self))))
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<ConnectionLimit>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sets the linger time to zero, so that closing the socket resets the connection.
pub(crate) fn reset(stream: &TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        log::warn!(cause = error.to_string().as_str(); "not_reset");
    }
}
