//! Frames of encoding version 11.

use garnet_consensus::Envelope;
use garnet_control::{JoinRequest, v11};
use garnet_types::EncodingVersion;
use serde::{Deserialize, Serialize};

use crate::error::WireError;
use crate::frame::{Frame as CurrentFrame, Sender};

#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    Hello {
        version: EncodingVersion,
        sender: Sender,
    },
    Peer(Envelope),
    Join(JoinRequest),
    Gateway(v11::GatewayRequest),
    Control(v11::ControlReply),
}

impl Frame {
    /// Converts a frame, or returns `None` for one that version 11 lacks and that can be
    /// left out.
    ///
    /// # Errors
    /// When the frame holds a configuration that version 11 can't represent.
    pub(crate) fn of(frame: CurrentFrame) -> Result<Option<Self>, WireError> {
        Ok(match frame {
            CurrentFrame::Hello { version, sender } => Some(Frame::Hello { version, sender }),
            CurrentFrame::Peer(envelope) => Some(Frame::Peer(envelope)),
            CurrentFrame::Join(request) => Some(Frame::Join(request)),
            CurrentFrame::Gateway(request) => v11::GatewayRequest::of(request).map(Frame::Gateway),
            CurrentFrame::Control(reply) => v11::ControlReply::of(&reply)?.map(Frame::Control),
            CurrentFrame::Welcome { .. } => None,
        })
    }
}

impl From<Frame> for CurrentFrame {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Hello { version, sender } => CurrentFrame::Hello { version, sender },
            Frame::Peer(envelope) => CurrentFrame::Peer(envelope),
            Frame::Join(request) => CurrentFrame::Join(request),
            Frame::Gateway(request) => CurrentFrame::Gateway(request.into()),
            Frame::Control(reply) => CurrentFrame::Control(reply.into()),
        }
    }
}
