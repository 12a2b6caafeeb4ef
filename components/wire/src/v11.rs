//! Frames of encoding version 11.

use garnet_consensus::Envelope;
use garnet_control::{JoinRequest, v11};
use garnet_types::EncodingVersion;
use serde::{Deserialize, Serialize};

use crate::error::WireError;
use crate::frame::{Frame as PresentFrame, Sender};

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
    /// The frame, or `None` where version 11 has no such frame and does without it.
    ///
    /// # Errors
    /// When it holds a configuration that version 11 can't follow.
    pub(crate) fn of(frame: PresentFrame) -> Result<Option<Self>, WireError> {
        Ok(match frame {
            PresentFrame::Hello { version, sender } => Some(Frame::Hello { version, sender }),
            PresentFrame::Peer(envelope) => Some(Frame::Peer(envelope)),
            PresentFrame::Join(request) => Some(Frame::Join(request)),
            PresentFrame::Gateway(request) => v11::GatewayRequest::of(request).map(Frame::Gateway),
            PresentFrame::Control(reply) => v11::ControlReply::of(&reply)?.map(Frame::Control),
            PresentFrame::Welcome { .. } => None,
        })
    }
}

impl From<Frame> for PresentFrame {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Hello { version, sender } => PresentFrame::Hello { version, sender },
            Frame::Peer(envelope) => PresentFrame::Peer(envelope),
            Frame::Join(request) => PresentFrame::Join(request),
            Frame::Gateway(request) => PresentFrame::Gateway(request.into()),
            Frame::Control(reply) => PresentFrame::Control(reply.into()),
        }
    }
}
