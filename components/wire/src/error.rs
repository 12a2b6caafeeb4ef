//! Errors of a connection between processes.

use std::io;

use displaydoc::Display;
use garnet_control::NotInVersion;
use garnet_types::EncodingVersion;
use thiserror::Error;

/// Why a connection was ended.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// connection failed: {0}
    Io(#[from] io::Error),
    /// a frame of {0} bytes is longer than allowed
    TooLong(usize),
    /// a frame can't be decoded: {0}
    Malformed(String),
    /// the other end speaks protocol version {found}, this one {known}
    UnsupportedVersion {
        /// Version of the other end.
        found: EncodingVersion,
        /// Version of this end.
        known: EncodingVersion,
    },
    /// {0}, which is what the other end speaks
    NotInVersion(#[from] NotInVersion),
    /// the other end speaks encoding version {found}, the group's log has {level}
    BelowLevel {
        /// Version of the other end.
        found: EncodingVersion,
        /// Level of the group's log.
        level: EncodingVersion,
    },
    /// the other end closed the connection instead of answering the hello
    HelloRefused,
    /// the connection did not open with a hello
    MissingHello,
}
