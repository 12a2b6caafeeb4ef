//! Compares the encodings of each version with recorded bytes.
//!
//! A failure here means that an encoding changed. Such a change needs a new version, and
//! the previous encoding is kept in its own module (docs/design/encoding-versions.md).
//! Recorded files of a merged version are never rewritten. Missing files of a new
//! version are written by this test with `RECORD_ENCODINGS=1`.

use asynchronous_codec::{BytesMut, Decoder, Encoder};
use garnet_control::{Command, CommandEnvelope, LogEncoding, encode_entry};
use garnet_types::{CommandId, EncodingVersion, Millis};
use garnet_wire::{Frame, FrameCodec};
use rstest::rstest;

use crate::recorded::{lines, record};
use crate::samples;

fn envelope(command: Command) -> CommandEnvelope {
    CommandEnvelope {
        command_id: Some(CommandId::new("operator-1.5")),
        expected_revision: Some(12),
        at: Millis(1_700_000),
        command,
    }
}

fn commands(version: EncodingVersion) -> Vec<(&'static str, Command)> {
    let mut commands = samples::commands();
    if version >= EncodingVersion::V16 {
        commands.extend(samples::commands_since_16());
    }
    if version >= EncodingVersion::V17 {
        commands.extend(samples::commands_since_17());
    }
    commands
}

fn frames(version: EncodingVersion) -> Vec<(&'static str, Frame)> {
    let mut frames = samples::frames(version);
    if version >= EncodingVersion::V16 {
        frames.extend(samples::frames_since_16());
    }
    if version >= EncodingVersion::V17 {
        frames.extend(samples::frames_since_17());
    }
    if version >= EncodingVersion::V18 {
        frames.extend(samples::frames_since_18());
    }
    if version >= EncodingVersion::V19 {
        frames.extend(samples::frames_since_19());
    }
    if version >= EncodingVersion::V20 {
        frames.extend(samples::frames_since_20());
    }
    if version >= EncodingVersion::V21 {
        frames.extend(samples::frames_since_21());
    }
    frames
}

fn encoded(frame: Frame, version: EncodingVersion) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    let result = FrameCodec::new(version).encode(frame, &mut bytes);
    result.expect("a frame of the version");
    bytes.to_vec()
}

/// A log entry whose encoding differs from its version would be another command to the
/// other members.
#[rstest]
fn an_entry_is_encoded_as_recorded_for_its_version(
    #[values(11, 16, 17, 18, 19, 20, 21)] version: u32,
) {
    let version = EncodingVersion(version);
    let entry = |(name, command): (&'static str, Command)| {
        let bytes = encode_entry(&envelope(command), version).expect("a command of the version");
        (name.to_owned(), bytes)
    };
    let encodings: Vec<_> = commands(version).into_iter().map(entry).collect();
    record(version.0, "commands.hex", &encodings);
    let recorded = lines(version.0, "commands.hex");
    assert_eq!(encodings.len(), recorded.len());
    for (name, bytes) in encodings {
        assert_eq!(bytes, recorded[&name], "{name}");
    }
}

#[rstest]
fn a_recorded_entry_decodes_to_its_sample(#[values(11, 16, 17, 18, 19, 20, 21)] version: u32) {
    let version = EncodingVersion(version);
    let recorded = lines(version.0, "commands.hex");
    // The first entry decoded tells the decoder the version: only that version can have
    // written it.
    let mut encoding = LogEncoding::default();
    encoding
        .decode(&recorded["put_backend"])
        .expect("a known entry");
    for (name, command) in commands(version) {
        let mut expected = envelope(command);
        if version == EncodingVersion::V11 {
            clear_start(&mut expected.command);
        }
        let decoded = encoding.decode(&recorded[name]).expect("a known entry");
        assert_eq!(decoded.version, version, "{name}");
        assert_eq!(decoded.envelope, expected, "{name}");
    }
}

fn clear_start(command: &mut Command) {
    if let Command::PutBackend(registration) = command {
        registration.start = 0;
    }
}

/// A frame whose encoding differs from its version would end the connection to a process
/// of another build.
#[rstest]
fn a_frame_is_encoded_as_recorded_for_its_version(
    #[values(11, 16, 17, 18, 19, 20, 21)] version: u32,
) {
    let version = EncodingVersion(version);
    let frame = |(name, frame): (&'static str, Frame)| (name.to_owned(), encoded(frame, version));
    let encodings: Vec<_> = frames(version).into_iter().map(frame).collect();
    record(version.0, "frames.hex", &encodings);
    let recorded = lines(version.0, "frames.hex");
    assert_eq!(encodings.len(), recorded.len());
    for (name, bytes) in encodings {
        assert_eq!(bytes, recorded[&name], "{name}");
    }
}

#[rstest]
fn a_recorded_frame_decodes_to_its_sample(#[values(11, 16, 17, 18, 19, 20, 21)] version: u32) {
    let version = EncodingVersion(version);
    let recorded = lines(version.0, "frames.hex");
    for (name, frame) in frames(version) {
        let mut bytes = BytesMut::from(recorded[name].as_slice());
        let decoded = FrameCodec::new(version).decode(&mut bytes);
        assert_eq!(decoded.expect("a valid frame"), Some(frame), "{name}");
        assert!(bytes.is_empty(), "{name}");
    }
}

/// Frames that version 11 can't represent are left out, or encoding them fails and the
/// connection ends.
#[test]
fn version_11_encodes_no_frame_that_it_cannot_decode() {
    let later = samples::frames_since_16().into_iter();
    let later = later.chain(samples::frames_since_17());
    let later = later.chain(samples::frames_since_18());
    let later = later.chain(samples::frames_since_19());
    let later = later.chain(samples::frames_since_20());
    for (name, frame) in later.chain(samples::frames_since_21()) {
        let mut bytes = BytesMut::new();
        let result = FrameCodec::new(EncodingVersion::V11).encode(frame, &mut bytes);
        match name {
            "control_suspects" => {
                result.expect("a watch without its suspects");
                let decoded = FrameCodec::new(EncodingVersion::V11).decode(&mut bytes);
                let (_, without_suspects) = samples::frames(EncodingVersion::V11)
                    .into_iter()
                    .find(|(name, _)| *name == "control_current")
                    .expect("a sample");
                assert_eq!(decoded.expect("a valid frame"), Some(without_suspects));
            }
            "control_whole_changes" => assert!(result.is_err(), "{name}"),
            _ => {
                result.expect("a frame that is left out");
                assert!(bytes.is_empty(), "{name}");
            }
        }
    }
}

/// A process of an earlier version ends a connection on which it receives a frame that it
/// does not know.
#[rstest]
fn frames_since_version_18_are_not_sent_to_earlier_versions(#[values(11, 16, 17)] version: u32) {
    for (name, frame) in samples::frames_since_18() {
        let bytes = encoded(frame, EncodingVersion(version));
        assert!(bytes.is_empty(), "{name}");
    }
}

#[rstest]
fn frames_since_version_19_are_not_sent_to_earlier_versions(
    #[values(11, 16, 17, 18)] version: u32,
) {
    for (name, frame) in samples::frames_since_19() {
        let bytes = encoded(frame, EncodingVersion(version));
        assert!(bytes.is_empty(), "{name}");
    }
}

#[rstest]
fn frames_since_version_20_are_not_sent_to_earlier_versions(
    #[values(11, 16, 17, 18, 19)] version: u32,
) {
    for (name, frame) in samples::frames_since_20() {
        let bytes = encoded(frame, EncodingVersion(version));
        assert!(bytes.is_empty(), "{name}");
    }
}

#[rstest]
fn frames_since_version_21_are_not_sent_to_earlier_versions(
    #[values(11, 16, 17, 18, 19, 20)] version: u32,
) {
    for (name, frame) in samples::frames_since_21() {
        let bytes = encoded(frame, EncodingVersion(version));
        assert!(bytes.is_empty(), "{name}");
    }
}
