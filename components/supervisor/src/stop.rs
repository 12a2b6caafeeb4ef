//! The signal of a planned stop.

use smol::channel::{Receiver, Sender, bounded};

/// Signals a task to finish its work and end. Clones share the same signal.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: Receiver<()>,
}

/// Sends the signal, on [`StopHandle::stop`] or when dropped.
#[derive(Debug)]
pub struct StopHandle {
    sender: Sender<()>,
}

/// Creates a handle and the signal that it sends.
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = bounded(1);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Sends the signal.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopSignal {
    /// Waits for the signal.
    pub async fn stopped(&self) {
        // No value is ever sent; `recv` returns when the channel is closed.
        let _closed = self.receiver.recv().await;
    }

    /// Whether the signal was sent.
    pub fn is_stopped(&self) -> bool {
        self.receiver.is_closed()
    }
}
