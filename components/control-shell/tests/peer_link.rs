//! A connection that rests is over when its peer closes it.

use std::time::Duration;

use garnet_consensus::{Envelope, Message};
use garnet_control_shell::{LinkEnd, carry_frames};
use garnet_runtime::ConnectTimeout;
use garnet_runtime::frames;
use garnet_types::{EncodingVersion, ReplicaId};
use garnet_wire::{Frame, Sender};
use smol::Timer;
use smol::channel::unbounded;
use smol::net::TcpListener;

/// Far longer than the end of a connection takes to be seen.
const HANGS: Duration = Duration::from_secs(30);

fn frame() -> Frame {
    Frame::Peer(Envelope {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 3,
        message: Message::TimeoutNow,
    })
}

#[test]
fn the_end_of_a_resting_connection_is_seen_before_a_frame_is_lost_on_it() {
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
        let (_sender, queued) = unbounded();
        let peer = async {
            let (mut reader, writer) = accepted;
            let heard = reader.next().await.expect("a sound frame");
            // The peer is started again: its end of the connection closes.
            drop((reader, writer));
            heard
        };
        let carrying = smol::future::zip(carry_frames(reader, writer, frame(), &queued), peer);
        let hangs = async {
            Timer::after(HANGS).await;
            panic!("the end was not seen");
        };
        let (end, heard) = smol::future::or(carrying, hangs).await;
        assert_eq!(end, LinkEnd::Closed);
        assert_eq!(heard, Some(frame()));
    });
}
