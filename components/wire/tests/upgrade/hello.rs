//! Hellos of earlier builds.

use asynchronous_codec::{BytesMut, Decoder};
use garnet_types::EncodingVersion;
use garnet_wire::{FrameCodec, Sender, check_hello};
use rstest::rstest;

use crate::recorded::lines;

/// If builds refused each other's hello, an upgrade would split the group and its gateways
/// in two.
#[rstest]
fn a_hello_of_an_earlier_build_is_accepted(
    #[values(11, 16)] protocol: u32,
    #[values("hello_replica", "hello_gateway")] name: &str,
) {
    let mut bytes = BytesMut::from(lines(protocol, "frames.hex")[name].as_slice());
    let frame = FrameCodec::new(EncodingVersion(protocol))
        .decode(&mut bytes)
        .expect("a frame");
    let accepted = check_hello(frame.expect("a complete frame")).expect("a known protocol");
    assert_eq!(accepted.version, EncodingVersion(protocol));
    assert!(!accepted.awaits_welcome);
    let is_replica = matches!(accepted.sender, Sender::Replica { .. });
    assert_eq!(is_replica, name == "hello_replica");
}
