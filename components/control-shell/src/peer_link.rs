//! A connection to a peer, one way: what the peer has to say comes on a
//! connection that it opens itself.
//!
//! Replicas that follow say nothing to each other until an election. Their
//! connections rest for long, and a peer that was started again meanwhile has
//! closed its end. A frame written then would be lost, and an election with it:
//! so the end is looked for while nothing is sent.

use std::time::Duration;

use garnet_runtime::ConnectTime;
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_wire::{Frame, Sender as FrameSender};
use smol::Timer;
use smol::channel::Receiver;

/// Pause after a connection that did not come up.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Why a connection is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The peer closed it.
    Closed,
    /// A frame could not be written.
    Broke,
    /// No frames will come any more.
    NothingToSend,
}

/// Sends what is queued for a peer, over a new connection where the last one
/// is over.
pub(crate) async fn run(address: String, hello: FrameSender, frames: Receiver<Frame>) {
    let mut connect_time = ConnectTime::default();
    while let Ok(first) = frames.recv().await {
        let connected = frames::connect(&address, hello.clone(), &mut connect_time).await;
        if let Ok((reader, writer)) = connected
            && carry_frames(reader, writer, first, &frames).await == LinkEnd::Closed
        {
            continue;
        }
        Timer::after(RECONNECT_PAUSE).await;
        // What waited meanwhile is old: heartbeats bring the present.
        while frames.try_recv().is_ok() {}
    }
}

/// Sends `first` and all that follows until the connection is over.
pub async fn carry_frames(
    mut reader: FrameReader,
    mut writer: FrameWriter,
    first: Frame,
    frames: &Receiver<Frame>,
) -> LinkEnd {
    let writing = async {
        let mut next = Ok(first);
        while let Ok(frame) = next {
            if writer.send(frame).await.is_err() {
                return LinkEnd::Broke;
            }
            next = frames.recv().await;
        }
        LinkEnd::NothingToSend
    };
    let closed = async {
        // Nothing is expected here, so all that comes is its end.
        while let Ok(Some(_)) = reader.next().await {}
        LinkEnd::Closed
    };
    smol::future::or(writing, closed).await
}
