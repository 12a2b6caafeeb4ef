//! The signal of a planned stop.

use smol::channel::{Receiver, Sender, bounded};

/// Tells a task to finish what it has and end. Clones wait for the same stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: Receiver<()>,
}

/// Gives the signal, by [`StopHandle::stop`] or by being dropped.
#[derive(Debug)]
pub struct StopHandle {
    sender: Sender<()>,
}

/// A handle and the signal that it gives.
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = bounded(1);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Gives the signal.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopSignal {
    /// Waits for the signal.
    pub async fn stopped(&self) {
        // Nothing is ever sent: the channel only closes.
        let _closed = self.receiver.recv().await;
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.receiver.is_closed()
    }
}
