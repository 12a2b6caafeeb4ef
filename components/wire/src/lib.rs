//! The protocol between garnetcourse processes, over TCP.
//!
//! Contract: each frame is a length of four bytes, little-endian, followed by a value
//! encoded by `bincode`. The first frame of a connection is [`Frame::Hello`] with the
//! version that its sender supports. A version of [`EncodingVersion::V17`] or later is
//! answered with [`Frame::Welcome`] and the lower version of both ends. Frames of version
//! 16 are encoded as those of the current version; frames of version 11 are converted.
//! Any other version ends the connection with an error that names both versions. A frame
//! that is too long, truncated or malformed ends only its own connection.
//!
//! [`EncodingVersion::V17`]: garnet_types::EncodingVersion::V17

mod codec;
mod error;
mod frame;
mod v11;

pub use codec::{FrameCodec, MAX_FRAME_BYTES};
pub use error::WireError;
pub use frame::{AcceptedHello, Frame, Sender, check_hello};
