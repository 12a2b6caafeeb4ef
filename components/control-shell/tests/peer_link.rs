//! An idle connection ends when its peer closes it.

use std::time::Duration;

use garnet_consensus::{Envelope, Message};
use garnet_control_shell::{LinkEnd, send_frames};
use garnet_runtime::ConnectTimeout;
use garnet_runtime::frames;
use garnet_types::{EncodingVersion, ReplicaId};
use garnet_wire::{Frame, Sender};
use smol::Timer;
use smol::channel::unbounded;
use smol::net::TcpListener;

/// Far longer than it takes to detect the end of a connection.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(30);

fn frame() -> Frame {
    Frame::Peer(Envelope {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 3,
        message: Message::TimeoutNow,
    })
}

#[test]
fn the_end_of_an_idle_connection_is_detected_before_a_frame_is_lost() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let hello = Sender::Replica {
            id: ReplicaId(1),
            address: address.clone(),
        };
        let mut time = ConnectTimeout::default();
        let version = EncodingVersion::CURRENT;
        let connecting = frames::connect(&address, hello, version, &mut time);
        let accepting = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (mut reader, mut writer) = frames::split(stream);
            let accepted = reader.accept().await.expect("the hello");
            writer.welcome(&accepted).await.expect("an open connection");
            (reader, writer)
        };
        let (connected, accepted) = smol::future::zip(connecting, accepting).await;
        let (reader, writer) = connected.expect("it listens");
        let (_sender, queued) = unbounded::<Frame>();
        let peer = async {
            let (mut reader, writer) = accepted;
            let received = reader.next().await.expect("a valid frame");
            // The peer restarts, which closes its end of the connection.
            drop((reader, writer));
            received
        };
        let sending = smol::future::zip(send_frames(reader, writer, frame(), &queued), peer);
        let timeout = async {
            Timer::after(DETECTION_TIMEOUT).await;
            panic!("the end was not seen");
        };
        let (end, received) = smol::future::or(sending, timeout).await;
        assert_eq!(end, LinkEnd::Closed);
        assert_eq!(received, Some(frame()));
    });
}
