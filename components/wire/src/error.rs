//! What can be wrong with a connection between processes.

use std::io;

use displaydoc::Display;
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
    Version {
        /// Version of the other end.
        found: u32,
        /// Version of this end.
        known: u32,
    },
    /// the connection did not open with a hello
    NoHello,
}
