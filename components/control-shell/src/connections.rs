//! Connections to peers, gateways and operators.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use garnet_consensus::Envelope;
use garnet_control::{ControlReply, Event, JoinRequest, OperatorAnswer, OperatorRequest};
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, ReplicaId};
use garnet_wire::{AcceptedHello, Frame, Sender as FrameSender, WireError};
use smol::channel::{Receiver, Sender, bounded, unbounded};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

use crate::peer_link::{self, Peer};

/// Frames that wait for one connection; more are dropped, which the protocol
/// bears like any loss.
const QUEUED_FRAMES: usize = 1024;
/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for an operator's answer: a change may wait for all gateways.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(40);

#[derive(Default)]
struct Open {
    peers: HashMap<String, Sender<Frame>>,
    /// Addresses that replicas told when they connected.
    told: HashMap<ReplicaId, String>,
    gateways: HashMap<u64, Sender<Frame>>,
    operators: HashMap<u64, Sender<OperatorAnswer>>,
    next: u64,
}

/// All connections of the process.
#[derive(Clone)]
pub struct Connections {
    id: ReplicaId,
    address: String,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    open: Rc<RefCell<Open>>,
    /// Lowest version that may be spoken with other replicas: the level of the log.
    lowest: Rc<Cell<EncodingVersion>>,
}

impl Connections {
    pub(crate) fn new(
        id: ReplicaId,
        address: String,
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
    ) -> Self {
        Connections {
            id,
            address,
            executor,
            events,
            open: Rc::default(),
            lowest: Rc::default(),
        }
    }

    // ---- Peers ----

    /// Notes the level of the log.
    pub(crate) fn set_lowest_version(&self, version: EncodingVersion) {
        self.lowest.set(version);
    }

    /// Queues a message for a peer, at the address that the group knows or that
    /// the peer told itself. Without an address, or when the queue is full, it
    /// is lost.
    pub(crate) fn send_peer(&self, address: Option<String>, envelope: Envelope) {
        let told = || self.open.borrow().told.get(&envelope.to).cloned();
        let Some(address) = address.or_else(told) else {
            return;
        };
        let sender = self.peer_queue(&address);
        queue(&sender, Frame::Peer(envelope));
    }

    /// Queues a wish to join for a replica.
    pub(crate) fn send_join(&self, address: &str, request: JoinRequest) {
        let sender = self.peer_queue(address);
        queue(&sender, Frame::Join(request));
    }

    fn peer_queue(&self, address: &str) -> Sender<Frame> {
        if let Some(sender) = self.open.borrow().peers.get(address) {
            return sender.clone();
        }
        let (sender, frames) = unbounded();
        let hello = FrameSender::Replica {
            id: self.id,
            address: self.address.clone(),
        };
        let peer = Peer {
            address: address.to_owned(),
            hello,
            lowest: Rc::clone(&self.lowest),
        };
        let task = peer_link::run(peer, frames);
        self.executor.spawn(task).detach();
        let mut open = self.open.borrow_mut();
        open.peers.insert(address.to_owned(), sender.clone());
        sender
    }

    // ---- Gateways ----

    pub(crate) fn reply_gateway(&self, connection: u64, reply: ControlReply) {
        if let Some(sender) = self.open.borrow().gateways.get(&connection) {
            queue(sender, Frame::Control(reply));
        }
    }

    /// A child that takes connections of peers and gateways.
    pub(crate) fn listener_child(&self, listener: TcpListener) -> ChildSpec {
        let listener = Rc::new(listener);
        let connections = self.clone();
        ChildSpec::new("listener", Restart::Permanent, move |stop: StopSignal| {
            let listener = Rc::clone(&listener);
            let connections = connections.clone();
            async move {
                let accepting = connections.accept(&listener);
                smol::future::or(accepting, stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        })
    }

    async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let connection = self.clone().serve(stream);
                    self.executor.spawn(connection).detach();
                }
                // Out of file handles, for example: give the others time.
                Err(_) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let peer = stream.peer_addr().map(|address| address.to_string());
        let peer = peer.unwrap_or_default();
        let (mut reader, writer) = frames::split(stream);
        let outcome = match reader.accept().await {
            Ok(accepted) => self.serve_accepted(accepted, reader, writer).await,
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            log::warn!(peer = peer.as_str(), cause = error.to_string().as_str(); "connection_ended");
        }
    }

    async fn serve_accepted(
        &self,
        accepted: AcceptedHello,
        reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Result<(), WireError> {
        let version = accepted.version;
        let level = self.lowest.get();
        if matches!(accepted.sender, FrameSender::Replica { .. }) && version < level {
            let found = version;
            return Err(WireError::BelowLevel { found, level });
        }
        writer.welcome(&accepted).await?;
        match accepted.sender {
            FrameSender::Replica { id, address } => {
                self.open.borrow_mut().told.insert(id, address);
                let _stopping = self.events.send(Event::MemberOpened { id, version }).await;
                self.serve_peer(id, reader).await
            }
            FrameSender::Gateway(_) => self.serve_gateway(reader, writer).await,
        }
    }

    async fn serve_peer(&self, id: ReplicaId, mut reader: FrameReader) -> Result<(), WireError> {
        while let Some(frame) = reader.next().await? {
            match frame {
                // A replica speaks for itself only.
                Frame::Peer(envelope) if envelope.from == id => {
                    let _stopping = self.events.send(Event::Peer(envelope)).await;
                }
                Frame::Join(request) => {
                    let _stopping = self.events.send(Event::Join(request)).await;
                }
                _ => return Err(WireError::Malformed("not a peer's frame".to_owned())),
            }
        }
        Ok(())
    }

    async fn serve_gateway(
        &self,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> Result<(), WireError> {
        let (sender, replies) = unbounded();
        let connection = self.next_number();
        self.open.borrow_mut().gateways.insert(connection, sender);
        let version = writer.version();
        let opened = Event::GatewayOpened {
            connection,
            version,
        };
        let _stopping = self.events.send(opened).await;
        let writing = self.executor.spawn(write_all(writer, replies));
        let outcome = self.read_gateway(connection, &mut reader).await;
        self.open.borrow_mut().gateways.remove(&connection);
        let _stopping = self.events.send(Event::GatewayClosed { connection }).await;
        drop(writing);
        outcome
    }

    async fn read_gateway(
        &self,
        connection: u64,
        reader: &mut FrameReader,
    ) -> Result<(), WireError> {
        while let Some(frame) = reader.next().await? {
            let Frame::Gateway(request) = frame else {
                return Err(WireError::Malformed("not a gateway's frame".to_owned()));
            };
            let event = Event::Gateway {
                connection,
                request,
            };
            let _stopping = self.events.send(event).await;
        }
        Ok(())
    }

    // ---- Operators ----

    /// Puts a question to the replica and waits for its answer.
    pub async fn ask(&self, request: OperatorRequest) -> Option<OperatorAnswer> {
        let (sender, answers) = bounded(1);
        let ticket = self.next_number();
        self.open.borrow_mut().operators.insert(ticket, sender);
        let _stopping = self.events.send(Event::Operator { ticket, request }).await;
        let answer = async { answers.recv().await.ok() };
        let late = async {
            Timer::after(OPERATOR_PATIENCE).await;
            None
        };
        let answer = smol::future::or(answer, late).await;
        self.open.borrow_mut().operators.remove(&ticket);
        answer
    }

    pub(crate) fn answer_operator(&self, ticket: u64, answer: OperatorAnswer) {
        if let Some(sender) = self.open.borrow().operators.get(&ticket) {
            let _gone = sender.try_send(answer);
        }
    }

    fn next_number(&self) -> u64 {
        let mut open = self.open.borrow_mut();
        open.next += 1;
        open.next
    }
}

/// Queues a frame where fewer than [`QUEUED_FRAMES`] wait. The channel grows with what waits:
/// one of a fixed size would take a quarter of a megabyte for each connection that
/// rests, which is half of a replica's memory before a thousand gateways.
fn queue(sender: &Sender<Frame>, frame: Frame) {
    if sender.len() < QUEUED_FRAMES {
        let _closed = sender.try_send(frame);
    }
}

async fn write_all(mut writer: FrameWriter, frames: Receiver<Frame>) {
    while let Ok(frame) = frames.recv().await {
        match writer.send(frame).await {
            Ok(()) => {}
            Err(error @ WireError::NotInVersion(_)) => {
                log::warn!(cause = error.to_string().as_str(); "gateway_not_served");
                return;
            }
            // The connection is over, which its reader logs.
            Err(_) => return,
        }
    }
}
