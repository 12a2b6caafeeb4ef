//! Connections of earlier builds.

use asynchronous_codec::{BytesMut, Decoder};
use garnet_wire::{FrameCodec, Sender, check_hello};
use rstest::rstest;

use crate::recorded::lines;

/// Builds that refuse each other's hello split the group and its gateways in two.
#[rstest]
fn a_process_of_an_earlier_build_is_taken(
    #[values(11, 16)] protocol: u32,
    #[values("hello_replica", "hello_gateway")] name: &str,
) {
    let mut bytes = BytesMut::from(lines(protocol, "frames.hex")[name].as_slice());
    let frame = FrameCodec.decode(&mut bytes).expect("a frame");
    let sender = check_hello(frame.expect("a whole frame")).expect("a known protocol");
    let is_replica = matches!(sender, Sender::Replica { .. });
    assert_eq!(is_replica, name == "hello_replica");
}
