//! A connection to a peer, one way: what the peer has to say comes on a
//! connection that it opens itself.
//!
//! Replicas that follow say nothing to each other until an election. Their
//! connections rest for long, and a peer that was started again meanwhile has
//! closed its end. A frame written then would be lost, and an election with it:
//! so the end is looked for while nothing is sent.

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
    /// The peer may speak a later version by now.
    OfferAgain,
}

/// A peer to send to.
pub(crate) struct Peer {
    pub(crate) address: String,
    /// How this replica introduces itself.
    pub(crate) hello: FrameSender,
    /// Lowest version that may be spoken with a peer.
    pub(crate) lowest: Rc<Cell<EncodingVersion>>,
}

/// Sends what is queued for a peer, over a new connection where the last one
/// is over.
pub(crate) async fn run(peer: Peer, frames: Receiver<Frame>) {
    let mut connect_timeout = ConnectTimeout::default();
    let mut offers = VersionOffers::default();
    while let Ok(first) = frames.recv().await {
        if let Some((reader, writer)) = open(&peer, &mut offers, &mut connect_timeout).await {
            let version = writer.version();
            let opened_at = Instant::now();
            let end = carry_frames(reader, writer, first, &frames).await;
            offers.ended(version, opened_at.elapsed());
            if matches!(end, LinkEnd::Closed | LinkEnd::OfferAgain) {
                continue;
            }
        }
        Timer::after(RECONNECT_PAUSE).await;
        // What waited meanwhile is old: heartbeats bring the present.
        while frames.try_recv().is_ok() {}
    }
}

/// Opens a connection in the first version that is not refused at once.
async fn open(
    peer: &Peer,
    offers: &mut VersionOffers,
    connect_timeout: &mut ConnectTimeout,
) -> Option<(FrameReader, FrameWriter)> {
    for _ in 0..VersionOffers::COUNT {
        let offered = offers.next();
        if offered < peer.lowest.get() {
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

/// Sends `first` and all that follows until the connection is over.
pub async fn carry_frames(
    mut reader: FrameReader,
    mut writer: FrameWriter,
    first: Frame,
    frames: &Receiver<Frame>,
) -> LinkEnd {
    let version = writer.version();
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
    let offer_again = async {
        wait_to_reoffer(version).await;
        LinkEnd::OfferAgain
    };
    smol::future::or(smol::future::or(writing, closed), offer_again).await
}
