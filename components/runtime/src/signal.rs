//! The signals that ask for a planned stop, or to read the settings again.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Signals are watched while this value lives, from its making on: unwatched,
/// each of them ends the process.
#[derive(Debug)]
pub struct WatchedSignals {
    stops: Signals,
    has_stopped: bool,
    /// Kept so that SIGHUP does no harm; who reloads watches on its own, and
    /// reads the settings at its start.
    _reloads: Signals,
}

impl WatchedSignals {
    /// Watches from now on.
    ///
    /// # Errors
    /// When the signals can't be watched.
    pub fn watch() -> io::Result<Self> {
        Ok(WatchedSignals {
            stops: Signals::new([Signal::Term, Signal::Int])?,
            has_stopped: false,
            _reloads: Signals::new([Signal::Hup])?,
        })
    }

    /// Waits for SIGTERM or SIGINT, also for one that came before.
    pub async fn stop_requested(&mut self) {
        if !self.has_stopped {
            self.stops.next().await;
            self.has_stopped = true;
        }
    }

    /// Whether one of these has come.
    pub fn stop_was_requested(&mut self) -> bool {
        let looking = smol::future::poll_once(self.stop_requested());
        smol::block_on(looking).is_some()
    }
}
