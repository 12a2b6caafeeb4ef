//! Decoding of valid and invalid frames: another version, too long, truncated, trailing or
//! random bytes.

use asynchronous_codec::{BytesMut, Decoder, Encoder};
use garnet_control::{Configuration, ControlReply, GatewayRequest, UsageCount, UsageReport};
use garnet_types::{EncodingVersion, GatewayId, Millis, TenantId, UsageWindow};
use garnet_wire::{Frame, FrameCodec, MAX_FRAME_BYTES, Sender, WireError, check_hello};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn watch(index: u64) -> Frame {
    Frame::Gateway(GatewayRequest::Watch {
        gateway: GatewayId::new("gateway-1"),
        configuration_index: index,
        sent_at: Millis(7),
        group_index: 0,
        mix: Vec::new(),
        backlogs: Vec::new(),
        evidence: Vec::new(),
        copies: Vec::new(),
    })
}

fn usage() -> Frame {
    Frame::Gateway(GatewayRequest::Usage(UsageReport {
        gateway: GatewayId::new("gateway-1"),
        number: 3,
        counts: vec![UsageCount {
            window: UsageWindow(7),
            tenant: TenantId::new("one"),
            requests: 5,
        }],
    }))
}

fn full_configuration() -> Frame {
    Frame::Control(ControlReply::NotLeader {
        leader: None,
        last_known: Some(Configuration::default().into()),
    })
}

#[rstest]
#[case::usage(usage())]
#[case::full_configuration(full_configuration())]
fn an_encoded_frame_decodes_to_itself(#[case] frame: Frame) {
    let mut bytes = encoded(frame.clone());
    assert_eq!(decode(&mut bytes).expect("a valid frame"), Some(frame));
    assert!(bytes.is_empty());
}

fn codec() -> FrameCodec {
    FrameCodec::new(EncodingVersion::CURRENT)
}

fn encoded(frame: Frame) -> BytesMut {
    let mut bytes = BytesMut::new();
    codec().encode(frame, &mut bytes).expect("a short frame");
    bytes
}

fn decode(bytes: &mut BytesMut) -> Result<Option<Frame>, WireError> {
    codec().decode(bytes)
}

#[test]
fn a_frame_received_byte_by_byte_is_decoded_at_its_last_byte() {
    let bytes = encoded(watch(3));
    let mut received = BytesMut::new();
    for (position, byte) in bytes.iter().enumerate() {
        received.extend_from_slice(&[*byte]);
        let frame = decode(&mut received).expect("no mistake in it");
        assert_eq!(frame.is_some(), position + 1 == bytes.len());
    }
}

#[test]
fn two_frames_received_at_once_are_decoded_in_order() {
    let mut bytes = encoded(watch(1));
    bytes.extend_from_slice(&encoded(watch(2)));
    assert_eq!(decode(&mut bytes).expect("a valid frame"), Some(watch(1)));
    assert_eq!(decode(&mut bytes).expect("a valid frame"), Some(watch(2)));
    assert_eq!(decode(&mut bytes).expect("a valid frame"), None);
}

#[test]
fn a_length_above_the_limit_is_refused_before_the_payload_is_buffered() {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    assert!(matches!(decode(&mut bytes), Err(WireError::TooLong(_))));
}

#[test]
fn trailing_bytes_in_a_frame_are_refused() {
    let mut payload = encoded(watch(1)).split_off(4);
    payload.extend_from_slice(&[0]);
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&payload);
    assert!(matches!(decode(&mut bytes), Err(WireError::Malformed(_))));
}

/// `expected` is the version of the connection and whether its opener waits for a welcome,
/// or `None` where the hello is refused.
#[rstest]
#[case(0, None)]
#[case(10, None)]
#[case(11, Some((11, false)))]
#[case(12, None)]
#[case(15, None)]
#[case(16, Some((16, false)))]
#[case(17, Some((17, true)))]
#[case(18, Some((18, true)))]
#[case(19, Some((19, true)))]
#[case(20, Some((20, true)))]
#[case(21, Some((21, true)))]
#[case(22, Some((21, true)))]
fn a_hello_opens_a_connection_of_a_version_that_both_ends_support(
    #[case] version: u32,
    #[case] expected: Option<(u32, bool)>,
) {
    let sender = Sender::Gateway(GatewayId::new("gateway-1"));
    let hello = Frame::Hello {
        version: EncodingVersion(version),
        sender: sender.clone(),
    };
    match (check_hello(hello), expected) {
        (Ok(accepted), Some((version, awaits_welcome))) => {
            assert_eq!(accepted.sender, sender);
            assert_eq!(accepted.version, EncodingVersion(version));
            assert_eq!(accepted.awaits_welcome, awaits_welcome);
        }
        (result, expected) => {
            assert_eq!(expected, None);
            assert!(matches!(result, Err(WireError::UnsupportedVersion { .. })));
        }
    }
}

#[test]
fn a_connection_that_opens_without_a_hello_is_refused() {
    assert!(matches!(
        check_hello(watch(1)),
        Err(WireError::MissingHello)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn random_bytes_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut bytes = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decode(&mut bytes) {}
    }

    #[test]
    fn a_changed_byte_never_panics(position in 0..40_usize, value in any::<u8>()) {
        let mut bytes = encoded(watch(3));
        let position = position % bytes.len();
        bytes[position] = value;
        while let Ok(Some(_)) = decode(&mut bytes) {}
    }
}
