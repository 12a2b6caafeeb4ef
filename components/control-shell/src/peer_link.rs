//! A one-way connection to a peer. The peer sends its own messages over a
//! connection that it opens itself.
//!
//! Followers send nothing to each other until an election, so their connections
//! are idle for long. A peer that restarted meanwhile has closed its end, and a frame
//! written to that connection would be lost, which can cost an election. The
//! connection is therefore watched for its end while nothing is sent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_runtime::version_offers::wait_to_reoffer;
use garnet_runtime::{ConnectTimeout, VersionOffers};
use garnet_types::EncodingVersion;
use garnet_wire::{Frame, Sender as FrameSender, WireError};
use smol::Timer;
use smol::channel::Receiver;

use crate::frame_queue::QueuedFrame;

/// Delay before the next attempt after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The peer closed it.
    Closed,
    /// A frame could not be written.
    WriteFailed,
    /// The queue of frames was closed.
    QueueClosed,
    /// The peer may support a later version by now, which is offered on a new connection.
    OfferAgain,
}

/// A peer to send to.
pub(crate) struct Peer {
    pub(crate) address: String,
    /// The identity that this replica sends in its hello.
    pub(crate) hello: FrameSender,
    /// Lowest version that may be used with a peer.
    pub(crate) min_version: Rc<Cell<EncodingVersion>>,
}

/// Sends the frames that are queued for a peer, and opens a new connection when the
/// last one has ended.
pub(crate) async fn run(peer: Peer, frames: Receiver<QueuedFrame>) {
    let mut connect_timeout = ConnectTimeout::default();
    let mut offers = VersionOffers::default();
    while let Ok(first) = frames.recv().await {
        if let Some((reader, writer)) = open(&peer, &mut offers, &mut connect_timeout).await {
            let version = writer.version();
            let opened_at = Instant::now();
            let end = send_frames(reader, writer, first.into(), &frames).await;
            offers.ended(version, opened_at.elapsed());
            if matches!(end, LinkEnd::Closed | LinkEnd::OfferAgain) {
                continue;
            }
        }
        Timer::after(RECONNECT_DELAY).await;
        // Frames that were queued meanwhile are outdated; the next heartbeat carries the
        // current state.
        while frames.try_recv().is_ok() {}
    }
}

/// Opens a connection in the first offered version that the peer does not refuse.
async fn open(
    peer: &Peer,
    offers: &mut VersionOffers,
    connect_timeout: &mut ConnectTimeout,
) -> Option<(FrameReader, FrameWriter)> {
    for _ in 0..VersionOffers::COUNT {
        let offered = offers.next();
        if offered < peer.min_version.get() {
            offers.refused();
            continue;
        }
        let hello = peer.hello.clone();
        match frames::connect(&peer.address, hello, offered, connect_timeout).await {
            Ok(opened) => return Some(opened),
            Err(WireError::HelloRefused) => offers.refused(),
            Err(_) => return None,
        }
    }
    None
}

/// Sends `first` and then the queued frames until the connection ends.
pub async fn send_frames<F: Into<Frame>>(
    mut reader: FrameReader,
    mut writer: FrameWriter,
    first: Frame,
    frames: &Receiver<F>,
) -> LinkEnd {
    let version = writer.version();
    let writing = async {
        let mut next = Ok(first);
        while let Ok(frame) = next {
            if writer.send(frame).await.is_err() {
                return LinkEnd::WriteFailed;
            }
            next = frames.recv().await.map(Into::into);
        }
        LinkEnd::QueueClosed
    };
    let closed = async {
        // The peer sends nothing on this connection, so a read returns only at its end.
        while let Ok(Some(_)) = reader.next().await {}
        LinkEnd::Closed
    };
    let offer_again = async {
        wait_to_reoffer(version).await;
        LinkEnd::OfferAgain
    };
    smol::future::or(smol::future::or(writing, closed), offer_again).await
}
