//! The frames between processes.

use garnet_consensus::Envelope;
use garnet_control::{ControlReply, GatewayRequest, JoinRequest};
use garnet_types::{EncodingVersion, GatewayId, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// The process that opened a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sender {
    /// Another replica.
    Replica {
        /// Its identity.
        id: ReplicaId,
        /// Address at which it can be reached. A replica that is just joining is not in
        /// the membership, so that its peers could not answer it otherwise.
        address: String,
    },
    /// A gateway.
    Gateway(GatewayId),
}

/// One frame. New variants are only appended. The encoding of `Hello` and `Welcome`, which
/// negotiate the version, never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of each connection.
    Hello {
        /// Version that the sender supports.
        version: EncodingVersion,
        /// The process that opened the connection.
        sender: Sender,
    },
    /// A consensus message between replicas.
    Peer(Envelope),
    /// A replica's request to join the group.
    Join(JoinRequest),
    /// A request from a gateway.
    Gateway(GatewayRequest),
    /// A reply to a gateway.
    Control(ControlReply),
    /// The answer to a hello of [`EncodingVersion::V17`] or later.
    Welcome {
        /// Version of the connection: the lower version of both ends.
        version: EncodingVersion,
    },
}

impl Frame {
    /// The first version after [`EncodingVersion::V11`] that has this frame, or 11.
    pub(crate) fn since(&self) -> EncodingVersion {
        match self {
            Frame::Hello { .. } | Frame::Peer(_) | Frame::Join(_) => EncodingVersion::V11,
            Frame::Gateway(request) => request.since(),
            Frame::Control(reply) => reply.since(),
            Frame::Welcome { .. } => EncodingVersion::V17,
        }
    }
}

/// The checked hello of a connection that another process opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedHello {
    /// The process that opened the connection.
    pub sender: Sender,
    /// Version of the connection.
    pub version: EncodingVersion,
    /// Whether that process waits for a [`Frame::Welcome`].
    pub awaits_welcome: bool,
}

/// Checks the first frame of a connection.
///
/// # Errors
/// When the frame is not a hello, or its version is not supported.
pub fn check_hello(frame: Frame) -> Result<AcceptedHello, WireError> {
    let Frame::Hello { version, sender } = frame else {
        return Err(WireError::MissingHello);
    };
    let awaits_welcome = version >= EncodingVersion::V17;
    let is_supported = version == EncodingVersion::V11 || version >= EncodingVersion::V16;
    if !is_supported {
        return Err(WireError::UnsupportedVersion {
            found: version,
            known: EncodingVersion::CURRENT,
        });
    }
    Ok(AcceptedHello {
        sender,
        version: version.min(EncodingVersion::CURRENT),
        awaits_welcome,
    })
}
