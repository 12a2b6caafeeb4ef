//! The protocol between garnetcourse processes, over TCP.
//!
//! Contract: each frame is a length of four bytes, little-endian, and a value
//! encoded by `bincode`. The first frame of a connection is
//! [`Frame::Hello`] with the protocol's version; another version ends the
//! connection with a clear error. A frame that is too long, truncated or
//! malformed ends its connection and nothing else.

mod codec;
mod error;
mod frame;

pub use codec::{FrameCodec, MAX_FRAME_BYTES};
pub use error::WireError;
pub use frame::{Frame, PROTOCOL_VERSION, Sender, check_hello};
