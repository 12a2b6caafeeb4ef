//! A gateway's connection to the leader of the control group.

use std::sync::Arc;
use std::time::Duration;

use garnet_control::{Configuration, ControlReply, GatewayRequest};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, GatewayId};
use garnet_wire::{Frame, Sender as FrameSender, WireError};
use smol::Timer;
use smol::channel::Receiver;

use crate::connect_timeout::ConnectTimeout;
use crate::frames::{self, FrameReader, FrameWriter};
use crate::version_offers::{VersionOffers, wait_to_reoffer};

/// A connection to a replica that sends nothing for this time is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two connections.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Handles the events of the connection.
pub trait ControlLinkHandler: Clone + 'static {
    /// The currently known addresses of the replicas.
    fn replicas(&self) -> Vec<String>;
    /// Called when a connection with this version is open. Initial requests may be queued
    /// here.
    fn on_connected(&self, _version: EncodingVersion) {}
    /// Handles a reply from the leader.
    fn on_reply(&self, reply: ControlReply);
    /// Handles the last configuration that a replica knows, sent while there is no leader.
    fn on_last_known(&self, _configuration: Arc<Configuration>) {}
}

/// Why a connection ended.
enum Disconnect {
    /// The replica is not the leader; it may name the leader.
    NotLeader(Option<String>),
    /// The connection failed, or nothing was received before the timeout.
    Lost,
    /// The connection was closed before anything was received.
    Refused,
    /// It uses an earlier version, and the replica may support a later one by now.
    Reoffer,
}

/// A child that keeps a connection to the leader and sends the queued requests.
pub fn child<H: ControlLinkHandler>(
    handler: H,
    id: GatewayId,
    requests: Receiver<GatewayRequest>,
) -> ChildSpec {
    ChildSpec::new(
        "control-link",
        Restart::Permanent,
        move |stop: StopSignal| {
            let mut link = Link {
                handler: handler.clone(),
                id: id.clone(),
                requests: requests.clone(),
                position: 0,
                is_connected: false,
                connect_timeout: ConnectTimeout::default(),
                offers: VersionOffers::default(),
            };
            async move {
                smol::future::or(link.run(), stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        },
    )
}

struct Link<H> {
    handler: H,
    id: GatewayId,
    requests: Receiver<GatewayRequest>,
    position: usize,
    is_connected: bool,
    connect_timeout: ConnectTimeout,
    offers: VersionOffers,
}

impl<H: ControlLinkHandler> Link<H> {
    async fn run(&mut self) {
        let mut hint: Option<String> = None;
        loop {
            if let Some(address) = hint.take().or_else(|| self.next_replica()) {
                let disconnect = self.try_replica(&address).await;
                self.log_lost(&address, &disconnect);
                match disconnect {
                    Disconnect::NotLeader(leader) => {
                        hint = leader.filter(|leader| *leader != address)
                    }
                    Disconnect::Reoffer => hint = Some(address),
                    Disconnect::Lost | Disconnect::Refused => {}
                }
            }
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    fn next_replica(&mut self) -> Option<String> {
        let replicas = self.handler.replicas();
        self.position += 1;
        let position = self.position.checked_rem(replicas.len())?;
        replicas.get(position).cloned()
    }

    /// Connects to a replica with the first version that it accepts.
    async fn try_replica(&mut self, address: &str) -> Disconnect {
        for _ in 0..VersionOffers::COUNT {
            let disconnect = self.try_version(address).await;
            if !matches!(disconnect, Disconnect::Refused) {
                return disconnect;
            }
            self.offers.refused();
        }
        Disconnect::Lost
    }

    async fn try_version(&mut self, address: &str) -> Disconnect {
        let hello = FrameSender::Gateway(self.id.clone());
        let offered = self.offers.next();
        match frames::connect(address, hello, offered, &mut self.connect_timeout).await {
            Ok((reader, writer)) => self.exchange(address, reader, writer).await,
            Err(WireError::HelloRefused) => Disconnect::Refused,
            Err(_) => Disconnect::Lost,
        }
    }

    async fn exchange(
        &mut self,
        address: &str,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Disconnect {
        let version = writer.version();
        self.handler.on_connected(version);
        let requests = self.requests.clone();
        let writing = async {
            while let Ok(request) = requests.recv().await {
                if writer.send(Frame::Gateway(request)).await.is_err() {
                    break;
                }
            }
            Disconnect::Lost
        };
        let reading = self.read(address, &mut reader);
        let reoffer = async {
            wait_to_reoffer(version).await;
            Disconnect::Reoffer
        };
        smol::future::or(smol::future::or(reading, writing), reoffer).await
    }

    async fn read(&mut self, address: &str, reader: &mut FrameReader) -> Disconnect {
        let mut is_accepted = false;
        loop {
            let next = async { Some(reader.next().await) };
            let silence = async {
                Timer::after(SILENCE_TIMEOUT).await;
                None
            };
            let next = smol::future::or(next, silence).await;
            if let Some(Ok(Some(_))) = next
                && !is_accepted
            {
                is_accepted = true;
                self.offers.accepted();
            }
            match next {
                Some(Ok(Some(Frame::Control(ControlReply::NotLeader { leader, last_known })))) => {
                    if let Some(configuration) = last_known {
                        self.handler.on_last_known(configuration.value());
                    }
                    return Disconnect::NotLeader(leader);
                }
                Some(Ok(Some(Frame::Control(reply)))) => {
                    self.log_regained(address);
                    self.handler.on_reply(reply);
                }
                Some(Ok(None) | Err(_)) if !is_accepted => return Disconnect::Refused,
                _ => return Disconnect::Lost,
            }
        }
    }

    fn log_regained(&mut self, address: &str) {
        if !self.is_connected {
            log::info!(leader = address; "leader_regained");
        }
        self.is_connected = true;
    }

    fn log_lost(&mut self, address: &str, disconnect: &Disconnect) {
        let was_connected = std::mem::replace(&mut self.is_connected, false);
        if was_connected {
            let cause = match disconnect {
                Disconnect::NotLeader(_) => "the replica is not the leader",
                Disconnect::Lost | Disconnect::Refused => "the connection failed or timed out",
                Disconnect::Reoffer => "reconnecting to offer a later version",
            };
            log::warn!(leader = address, cause = cause; "leader_lost");
        }
    }
}
