//! What is sent.

use garnet_consensus::Envelope;
use garnet_control::{ControlReply, GatewayRequest, JoinRequest};
use garnet_types::{EncodingVersion, GatewayId, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// Who opened a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sender {
    /// Another replica.
    Replica {
        /// Its identity.
        id: ReplicaId,
        /// Where it is reached: one that just joins does not know the group,
        /// and could not answer otherwise.
        address: String,
    },
    /// A gateway.
    Gateway(GatewayId),
}

/// One frame. Variants are appended only; the encoding of the two that negotiate a
/// version never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens each connection.
    Hello {
        /// Version that the sender speaks.
        version: EncodingVersion,
        /// Who it is.
        sender: Sender,
    },
    /// Between replicas.
    Peer(Envelope),
    /// A replica asks to be a member.
    Join(JoinRequest),
    /// From a gateway.
    Gateway(GatewayRequest),
    /// To a gateway.
    Control(ControlReply),
    /// Answers a hello of [`EncodingVersion::V17`] or later.
    Welcome {
        /// Version of the connection: the lower one of both ends.
        version: EncodingVersion,
    },
}

/// A connection that was opened by another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedHello {
    /// Who opened it.
    pub sender: Sender,
    /// Version of the connection.
    pub version: EncodingVersion,
    /// Whether the opener waits for a [`Frame::Welcome`].
    pub awaits_welcome: bool,
}

/// Checks the first frame of a connection.
///
/// # Errors
/// When it is no hello, or one of a version that is not spoken.
pub fn check_hello(frame: Frame) -> Result<AcceptedHello, WireError> {
    let Frame::Hello { version, sender } = frame else {
        return Err(WireError::MissingHello);
    };
    let awaits_welcome = version >= EncodingVersion::V17;
    let is_spoken = version == EncodingVersion::V11 || version >= EncodingVersion::V16;
    if !is_spoken {
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
