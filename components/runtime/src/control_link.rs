//! A gateway's connection to the leader of the control group.

use std::sync::Arc;
use std::time::Duration;

use garnet_control::{Configuration, ControlReply, GatewayRequest};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::GatewayId;
use garnet_wire::{Frame, Sender as FrameSender, WireError};
use smol::Timer;
use smol::channel::Receiver;

use crate::connect_time::ConnectTime;
use crate::frames::{self, FrameReader, FrameWriter};

/// A replica that answers nothing for so long is left for the next one.
const SILENCE: Duration = Duration::from_millis(1200);
const PAUSE: Duration = Duration::from_millis(50);

/// Who keeps the connection.
pub trait ControlLinkOwner: Clone + 'static {
    /// Addresses of the replicas as they are known now.
    fn replicas(&self) -> Vec<String>;
    /// A connection is open; what is to be asked first may be queued.
    fn connected(&self) {}
    /// Takes a reply of the leader.
    fn heard(&self, reply: ControlReply);
    /// Takes what a replica knew last while there is no leader.
    fn heard_last_known(&self, _configuration: Arc<Configuration>) {}
}

/// Why a connection was left.
enum Left {
    /// Another replica leads.
    NotLeader(Option<String>),
    /// It broke, or nothing was heard.
    Lost,
}

/// A child that keeps a connection to the leader and sends what is queued.
pub fn child<O: ControlLinkOwner>(
    owner: O,
    id: GatewayId,
    requests: Receiver<GatewayRequest>,
) -> ChildSpec {
    ChildSpec::new(
        "control-link",
        Restart::Permanent,
        move |stop: StopSignal| {
            let mut link = Link {
                owner: owner.clone(),
                id: id.clone(),
                requests: requests.clone(),
                position: 0,
                in_touch: false,
                connect_time: ConnectTime::default(),
            };
            async move {
                smol::future::or(link.run(), stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        },
    )
}

struct Link<O> {
    owner: O,
    id: GatewayId,
    requests: Receiver<GatewayRequest>,
    position: usize,
    in_touch: bool,
    connect_time: ConnectTime,
}

impl<O: ControlLinkOwner> Link<O> {
    async fn run(&mut self) {
        let mut hint: Option<String> = None;
        loop {
            if let Some(address) = hint.take().or_else(|| self.next_replica()) {
                let left = self.visit(&address).await;
                self.note_lost(&address, &left);
                if let Left::NotLeader(leader) = left {
                    hint = leader.filter(|leader| *leader != address);
                }
            }
            Timer::after(PAUSE).await;
        }
    }

    fn next_replica(&mut self) -> Option<String> {
        let replicas = self.owner.replicas();
        self.position += 1;
        let position = self.position.checked_rem(replicas.len())?;
        replicas.get(position).cloned()
    }

    async fn visit(&mut self, address: &str) -> Left {
        let hello = FrameSender::Gateway(self.id.clone());
        match frames::connect(address, hello, &mut self.connect_time).await {
            Ok((reader, writer)) => self.exchange(address, reader, writer).await,
            Err(_) => Left::Lost,
        }
    }

    async fn exchange(
        &mut self,
        address: &str,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Left {
        self.owner.connected();
        let requests = self.requests.clone();
        let writing = async {
            while let Ok(request) = requests.recv().await {
                if writer.send(Frame::Gateway(request)).await.is_err() {
                    break;
                }
            }
            Left::Lost
        };
        let reading = async { self.read(address, &mut reader).await.unwrap_or(Left::Lost) };
        smol::future::or(reading, writing).await
    }

    async fn read(&mut self, address: &str, reader: &mut FrameReader) -> Result<Left, WireError> {
        loop {
            let next = async { Some(reader.next().await) };
            let silence = async {
                Timer::after(SILENCE).await;
                None
            };
            match smol::future::or(next, silence).await {
                Some(Ok(Some(Frame::Control(ControlReply::NotLeader { leader, last_known })))) => {
                    if let Some(configuration) = last_known {
                        self.owner.heard_last_known(configuration.value());
                    }
                    return Ok(Left::NotLeader(leader));
                }
                Some(Ok(Some(Frame::Control(reply)))) => {
                    self.note_regained(address);
                    self.owner.heard(reply);
                }
                Some(Err(error)) => return Err(error),
                _ => return Ok(Left::Lost),
            }
        }
    }

    fn note_regained(&mut self, address: &str) {
        if !self.in_touch {
            log::info!(leader = address; "leader_regained");
        }
        self.in_touch = true;
    }

    fn note_lost(&mut self, address: &str, left: &Left) {
        let was_in_touch = std::mem::replace(&mut self.in_touch, false);
        if was_in_touch {
            let cause = match left {
                Left::NotLeader(_) => "another replica leads",
                Left::Lost => "the connection broke or was silent",
            };
            log::warn!(leader = address, cause = cause; "leader_lost");
        }
    }
}
