//! The connection to the leader of the control group.

use std::time::Duration;

use garnet_control::{ControlReply, GatewayRequest};
use garnet_gateway::Event;
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::GatewayId;
use garnet_wire::{Frame, Sender as FrameSender, WireError};
use smol::Timer;
use smol::channel::Receiver;

use crate::context::Context;

/// A replica that answers nothing for so long is left for the next one.
const SILENCE: Duration = Duration::from_millis(1200);
const PAUSE: Duration = Duration::from_millis(50);

/// Why a connection was left.
enum Left {
    /// Another replica leads.
    NotLeader(Option<String>),
    /// It broke, or nothing was heard.
    Lost,
}

/// A child that keeps a connection to the leader.
pub(crate) fn child(
    context: Context,
    id: GatewayId,
    controls: Vec<String>,
    requests: Receiver<GatewayRequest>,
) -> ChildSpec {
    ChildSpec::new(
        "control-link",
        Restart::Permanent,
        move |stop: StopSignal| {
            let link = Link {
                context: context.clone(),
                id: id.clone(),
                controls: controls.clone(),
                requests: requests.clone(),
            };
            async move {
                smol::future::or(link.run(), stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        },
    )
}

struct Link {
    context: Context,
    id: GatewayId,
    controls: Vec<String>,
    requests: Receiver<GatewayRequest>,
}

impl Link {
    async fn run(&self) {
        let mut position = 0;
        let mut hint: Option<String> = None;
        loop {
            let address = hint.take().unwrap_or_else(|| {
                position = (position + 1) % self.controls.len();
                self.controls[position].clone()
            });
            let hello = FrameSender::Gateway(self.id.clone());
            let connecting = async { frames::connect(&address, hello).await.ok() };
            let late = async {
                Timer::after(SILENCE).await;
                None
            };
            if let Some((reader, writer)) = smol::future::or(connecting, late).await
                && let Left::NotLeader(leader) = self.exchange(reader, writer).await
            {
                hint = leader.filter(|leader| *leader != address);
            }
            Timer::after(PAUSE).await;
        }
    }

    async fn exchange(&self, mut reader: FrameReader, mut writer: FrameWriter) -> Left {
        let writing = async {
            while let Ok(request) = self.requests.recv().await {
                if writer.send(Frame::Gateway(request)).await.is_err() {
                    break;
                }
            }
            Left::Lost
        };
        let reading = async { self.read(&mut reader).await.unwrap_or(Left::Lost) };
        smol::future::or(reading, writing).await
    }

    async fn read(&self, reader: &mut FrameReader) -> Result<Left, WireError> {
        loop {
            let next = async { Some(reader.next().await) };
            let silence = async {
                Timer::after(SILENCE).await;
                None
            };
            match smol::future::or(next, silence).await {
                Some(Ok(Some(Frame::Control(ControlReply::NotLeader { leader })))) => {
                    return Ok(Left::NotLeader(leader));
                }
                Some(Ok(Some(Frame::Control(reply)))) => {
                    self.context.handle(Event::Control(reply));
                }
                Some(Err(error)) => return Err(error),
                _ => return Ok(Left::Lost),
            }
        }
    }
}
