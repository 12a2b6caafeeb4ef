//! Frames that wait for a connection, bounded in number and in bytes.
//!
//! Contract: a frame beyond the bounds is dropped, which the protocol tolerates like any
//! other loss. A frame that exceeds the bound in bytes by itself is taken by an empty queue.

use std::cell::Cell;
use std::rc::Rc;

use garnet_wire::Frame;
use smol::channel::{Receiver, Sender, unbounded};

/// Frames that may wait for one connection.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Bytes of consensus messages that may wait for one connection.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// The sending end of a queue. The channel is unbounded so that its memory grows with the
/// frames that wait: one of a fixed capacity would take a quarter of a megabyte for each
/// idle connection, which is half of a replica's memory with a thousand gateways.
#[derive(Debug, Clone)]
pub(crate) struct FrameQueue {
    sender: Sender<QueuedFrame>,
    queued_bytes: Rc<Cell<usize>>,
}

/// A frame that waits.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    frame: Frame,
    _size: QueuedSize,
}

/// The bytes of a waiting frame, subtracted from those of its queue when it is taken.
#[derive(Debug)]
struct QueuedSize {
    bytes: usize,
    queued_bytes: Rc<Cell<usize>>,
}

impl Drop for QueuedSize {
    fn drop(&mut self) {
        self.queued_bytes.set(self.queued_bytes.get() - self.bytes);
    }
}

impl From<QueuedFrame> for Frame {
    fn from(queued: QueuedFrame) -> Self {
        queued.frame
    }
}

impl FrameQueue {
    /// An empty queue and its receiving end.
    pub(crate) fn new() -> (Self, Receiver<QueuedFrame>) {
        let (sender, frames) = unbounded();
        let queue = FrameQueue {
            sender,
            queued_bytes: Rc::default(),
        };
        (queue, frames)
    }

    /// Queues a frame, or drops it if the queue is full or closed.
    pub(crate) fn push(&self, frame: Frame) {
        let queued = self.queued_bytes.get();
        let bytes = own_bytes(&frame);
        let has_space = queued == 0 || queued + bytes <= MAX_QUEUED_BYTES;
        if self.sender.len() >= MAX_QUEUED_FRAMES || !has_space {
            return;
        }
        self.queued_bytes.set(queued + bytes);
        let size = QueuedSize {
            bytes,
            queued_bytes: Rc::clone(&self.queued_bytes),
        };
        let _closed = self.sender.try_send(QueuedFrame { frame, _size: size });
    }
}

/// Bytes that a frame holds by itself. Large replies to gateways share their content.
fn own_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Peer(envelope) => envelope.message.len_bytes(),
        _ => 0,
    }
}
