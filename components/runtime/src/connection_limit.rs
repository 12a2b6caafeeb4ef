//! A bound on the open connections of a server, which resets those beyond it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Open connections of a server with a bound. Other threads may read the counts.
#[derive(Debug)]
pub struct ConnectionLimit {
    most: usize,
    open: AtomicUsize,
    peak_open: AtomicUsize,
    resets: Mutex<Vec<Instant>>,
}

impl ConnectionLimit {
    /// A bound of so many open connections.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(ConnectionLimit {
            most,
            open: AtomicUsize::new(0),
            peak_open: AtomicUsize::new(0),
            resets: Mutex::default(),
        })
    }

    /// Most connections that were open at once.
    pub fn peak_open(&self) -> usize {
        self.peak_open.load(Ordering::Relaxed)
    }

    /// When connections were reset.
    pub fn resets(&self) -> Vec<Instant> {
        // A panic while it was held leaves a whole list.
        let resets = self.resets.lock().unwrap_or_else(|held| held.into_inner());
        resets.clone()
    }

    /// Takes a connection, or resets it where the bound is reached.
    pub(crate) fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
    ) -> Option<(TcpStream, OpenConnection)> {
        let open = self.open.load(Ordering::Relaxed);
        if open >= self.most {
            let mut resets = self.resets.lock().unwrap_or_else(|held| held.into_inner());
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

/// A socket that is closed with no time to linger resets its connection.
fn reset(stream: &TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        log::warn!(cause = error.to_string().as_str(); "not_reset");
    }
}
