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

/// A replica that answers nothing for so long is left for the next one.
const SILENCE: Duration = Duration::from_millis(1200);
const PAUSE: Duration = Duration::from_millis(50);

/// Who keeps the connection.
pub trait ControlLinkHandler: Clone + 'static {
    /// Addresses of the replicas as they are known now.
    fn replicas(&self) -> Vec<String>;
    /// A connection is open and speaks this version; what is to be asked first may be
    /// queued.
    fn on_connected(&self, _version: EncodingVersion) {}
    /// Takes a reply of the leader.
    fn on_reply(&self, reply: ControlReply);
    /// Takes what a replica knew last while there is no leader.
    fn on_last_known(&self, _configuration: Arc<Configuration>) {}
}

/// Why a connection was left.
enum Left {
    /// Another replica leads.
    NotLeader(Option<String>),
    /// It broke, or nothing was heard.
    Lost,
    /// It was closed before anything was received.
    Refused,
    /// It speaks an earlier version, and a later one may be spoken there now.
    OfferAgain,
}

/// A child that keeps a connection to the leader and sends what is queued.
pub fn child<O: ControlLinkHandler>(
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

struct Link<O> {
    owner: O,
    id: GatewayId,
    requests: Receiver<GatewayRequest>,
    position: usize,
    in_touch: bool,
    connect_timeout: ConnectTimeout,
    offers: VersionOffers,
}

impl<O: ControlLinkHandler> Link<O> {
    async fn run(&mut self) {
        let mut hint: Option<String> = None;
        loop {
            if let Some(address) = hint.take().or_else(|| self.next_replica()) {
                let left = self.visit(&address).await;
                self.note_lost(&address, &left);
                match left {
                    Left::NotLeader(leader) => hint = leader.filter(|leader| *leader != address),
                    Left::OfferAgain => hint = Some(address),
                    Left::Lost | Left::Refused => {}
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

    /// Talks to a replica in the first version that it takes.
    async fn visit(&mut self, address: &str) -> Left {
        for _ in 0..VersionOffers::COUNT {
            let left = self.try_version(address).await;
            if !matches!(left, Left::Refused) {
                return left;
            }
            self.offers.refused();
        }
        Left::Lost
    }

    async fn try_version(&mut self, address: &str) -> Left {
        let hello = FrameSender::Gateway(self.id.clone());
        let offered = self.offers.next();
        match frames::connect(address, hello, offered, &mut self.connect_timeout).await {
            Ok((reader, writer)) => self.exchange(address, reader, writer).await,
            Err(WireError::HelloRefused) => Left::Refused,
            Err(_) => Left::Lost,
        }
    }

    async fn exchange(
        &mut self,
        address: &str,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Left {
        let version = writer.version();
        self.owner.on_connected(version);
        let requests = self.requests.clone();
        let writing = async {
            while let Ok(request) = requests.recv().await {
                if writer.send(Frame::Gateway(request)).await.is_err() {
                    break;
                }
            }
            Left::Lost
        };
        let reading = self.read(address, &mut reader);
        let offer_again = async {
            wait_to_reoffer(version).await;
            Left::OfferAgain
        };
        smol::future::or(smol::future::or(reading, writing), offer_again).await
    }

    async fn read(&mut self, address: &str, reader: &mut FrameReader) -> Left {
        let mut is_accepted = false;
        loop {
            let next = async { Some(reader.next().await) };
            let silence = async {
                Timer::after(SILENCE).await;
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
                        self.owner.on_last_known(configuration.value());
                    }
                    return Left::NotLeader(leader);
                }
                Some(Ok(Some(Frame::Control(reply)))) => {
                    self.note_regained(address);
                    self.owner.on_reply(reply);
                }
                Some(Ok(None) | Err(_)) if !is_accepted => return Left::Refused,
                _ => return Left::Lost,
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
                Left::Lost | Left::Refused => "the connection broke or was silent",
                Left::OfferAgain => "a later version is offered",
            };
            log::warn!(leader = address, cause = cause; "leader_lost");
        }
    }
}
