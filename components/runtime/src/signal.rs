//! Signals that request a planned stop or a reload of the settings.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Watches the signals while it exists. An unwatched signal would end the
/// process.
#[derive(Debug)]
pub struct WatchedSignals {
    stops: Signals,
    stop_received: bool,
    /// Held so that SIGHUP does not end the process. The reload child watches
    /// SIGHUP itself, and settings are read when it starts.
    _reloads: Signals,
}

impl WatchedSignals {
    /// Starts to watch the signals.
    ///
    /// # Errors
    /// When the signals can't be watched.
    pub fn watch() -> io::Result<Self> {
        Ok(WatchedSignals {
            stops: Signals::new([Signal::Term, Signal::Int])?,
            stop_received: false,
            _reloads: Signals::new([Signal::Hup])?,
        })
    }

    /// Waits for SIGTERM or SIGINT, including one already received.
    pub async fn stop_requested(&mut self) {
        if !self.stop_received {
            self.stops.next().await;
            self.stop_received = true;
        }
    }

    /// Whether SIGTERM or SIGINT was received.
    pub fn stop_was_requested(&mut self) -> bool {
        let poll = smol::future::poll_once(self.stop_requested());
        smol::block_on(poll).is_some()
    }
}
