//! What is sent.

use garnet_consensus::Envelope;
use garnet_control::{ControlReply, GatewayRequest, JoinRequest};
use garnet_types::{GatewayId, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// Version of the protocol. It changes when a frame's encoding does.
pub const PROTOCOL_VERSION: u32 = 16;

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

/// One frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens each connection.
    Hello {
        /// Version that the sender speaks.
        version: u32,
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
}

/// Checks the first frame of a connection.
///
/// # Errors
/// When it is no hello, or one of another version.
pub fn check_hello(frame: Frame) -> Result<Sender, WireError> {
    match frame {
        Frame::Hello { version, sender } if version == PROTOCOL_VERSION => Ok(sender),
        Frame::Hello { version, .. } => Err(WireError::Version {
            found: version,
            known: PROTOCOL_VERSION,
        }),
        _ => Err(WireError::NoHello),
    }
}
