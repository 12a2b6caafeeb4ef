//! The signals that ask for a planned stop.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When the signals can't be watched.
pub async fn stop_requested() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
