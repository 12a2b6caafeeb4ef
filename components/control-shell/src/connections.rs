//! Connections to peers, gateways and operators.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use garnet_consensus::Envelope;
use garnet_control::{ControlReply, Event, JoinRequest, OperatorAnswer, OperatorRequest};
use garnet_runtime::fair_stream::reactor_turn;
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, ReplicaId};
use garnet_wire::{AcceptedHello, Frame, Sender as FrameSender, WireError};
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

use crate::frame_queue::{FrameQueue, QueuedFrame};
use crate::peer_link::{self, Peer};

/// Number of connections accepted in a row before other tasks run.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an operator's request waits for its answer. It is long because a change may
/// wait for all gateways.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(40);

#[derive(Default)]
struct OpenConnections {
    peers: HashMap<String, FrameQueue>,
    /// Addresses that replicas reported when they connected.
    reported_addresses: HashMap<ReplicaId, String>,
    gateways: HashMap<u64, FrameQueue>,
    operators: HashMap<u64, Sender<OperatorAnswer>>,
    last_id: u64,
}

/// All connections of the process.
#[derive(Clone)]
pub struct Connections {
    id: ReplicaId,
    address: String,
    executor: Rc<LocalExecutor<'static>>,
    /// Events for the replica. Sending fails only when the process is stopping.
    events: Sender<Event>,
    open: Rc<RefCell<OpenConnections>>,
    /// Lowest version that may be used with other replicas: the encoding level of the
    /// group's log.
    min_version: Rc<Cell<EncodingVersion>>,
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
            min_version: Rc::default(),
        }
    }

    // ---- Peers ----

    /// Sets the lowest version that may be used with other replicas.
    pub(crate) fn set_min_version(&self, version: EncodingVersion) {
        self.min_version.set(version);
    }

    /// Queues a message for a peer, at its address in the membership or else at the
    /// one that the peer reported itself. Without an address, or when the queue is
    /// full, the message is dropped.
    pub(crate) fn send_peer(&self, address: Option<String>, envelope: Envelope) {
        let reported = || {
            self.open
                .borrow()
                .reported_addresses
                .get(&envelope.to)
                .cloned()
        };
        let Some(address) = address.or_else(reported) else {
            return;
        };
        self.peer_queue(&address).push(Frame::Peer(envelope));
    }

    /// Queues a request to join for the replica at `address`.
    pub(crate) fn send_join(&self, address: &str, request: JoinRequest) {
        self.peer_queue(address).push(Frame::Join(request));
    }

    fn peer_queue(&self, address: &str) -> FrameQueue {
        if let Some(queue) = self.open.borrow().peers.get(address) {
            return queue.clone();
        }
        let (queue, frames) = FrameQueue::new();
        let hello = FrameSender::Replica {
            id: self.id,
            address: self.address.clone(),
        };
        let peer = Peer {
            address: address.to_owned(),
            hello,
            min_version: Rc::clone(&self.min_version),
        };
        let task = peer_link::run(peer, frames);
        self.executor.spawn(task).detach();
        let mut open = self.open.borrow_mut();
        open.peers.insert(address.to_owned(), queue.clone());
        queue
    }

    // ---- Gateways ----

    pub(crate) fn reply_gateway(&self, connection: u64, reply: ControlReply) {
        if let Some(queue) = self.open.borrow().gateways.get(&connection) {
            queue.push(Frame::Control(reply));
        }
    }

    /// A child that accepts connections of peers and gateways.
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
        let mut accepted_in_turn = 0;
        loop {
            if accepted_in_turn == MAX_ACCEPTS_PER_TURN {
                accepted_in_turn = 0;
                reactor_turn().await;
            }
            accepted_in_turn += 1;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let connection = self.clone().serve(stream);
                    self.executor.spawn(connection).detach();
                }
                // The process may be out of file descriptors: wait until other
                // connections close.
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
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
        let level = self.min_version.get();
        if matches!(accepted.sender, FrameSender::Replica { .. }) && version < level {
            let found = version;
            return Err(WireError::BelowLevel { found, level });
        }
        writer.welcome(&accepted).await?;
        match accepted.sender {
            FrameSender::Replica { id, address } => {
                self.open
                    .borrow_mut()
                    .reported_addresses
                    .insert(id, address);
                let _events_closed = self.events.send(Event::MemberOpened { id, version }).await;
                self.serve_peer(id, reader).await
            }
            FrameSender::Gateway(_) => self.serve_gateway(reader, writer).await,
        }
    }

    async fn serve_peer(&self, id: ReplicaId, mut reader: FrameReader) -> Result<(), WireError> {
        while let Some(frame) = reader.next().await? {
            match frame {
                // A replica may send messages only in its own name.
                Frame::Peer(envelope) if envelope.from == id => {
                    let _events_closed = self.events.send(Event::Peer(envelope)).await;
                }
                Frame::Join(request) => {
                    let _events_closed = self.events.send(Event::Join(request)).await;
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
        let (queue, replies) = FrameQueue::new();
        let connection = self.next_id();
        self.open.borrow_mut().gateways.insert(connection, queue);
        let version = writer.version();
        let opened = Event::GatewayOpened {
            connection,
            version,
        };
        let _events_closed = self.events.send(opened).await;
        let writing = self.executor.spawn(write_queued(writer, replies));
        let outcome = self.receive_gateway_requests(connection, &mut reader).await;
        self.open.borrow_mut().gateways.remove(&connection);
        let _events_closed = self.events.send(Event::GatewayClosed { connection }).await;
        drop(writing);
        outcome
    }

    async fn receive_gateway_requests(
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
            let _events_closed = self.events.send(event).await;
        }
        Ok(())
    }

    // ---- Operators ----

    /// Sends an operator's request to the replica and waits for its answer; `None` when
    /// none arrives in time.
    pub async fn ask(&self, request: OperatorRequest) -> Option<OperatorAnswer> {
        let (sender, answers) = bounded(1);
        let ticket = self.next_id();
        self.open.borrow_mut().operators.insert(ticket, sender);
        let _events_closed = self.events.send(Event::Operator { ticket, request }).await;
        let answer = async { answers.recv().await.ok() };
        let timeout = async {
            Timer::after(OPERATOR_TIMEOUT).await;
            None
        };
        let answer = smol::future::or(answer, timeout).await;
        self.open.borrow_mut().operators.remove(&ticket);
        answer
    }

    pub(crate) fn answer_operator(&self, ticket: u64, answer: OperatorAnswer) {
        if let Some(sender) = self.open.borrow().operators.get(&ticket) {
            let _receiver_closed = sender.try_send(answer);
        }
    }

    fn next_id(&self) -> u64 {
        let mut open = self.open.borrow_mut();
        open.last_id += 1;
        open.last_id
    }
}

async fn write_queued(mut writer: FrameWriter, frames: Receiver<QueuedFrame>) {
    while let Ok(frame) = frames.recv().await {
        match writer.send(frame.into()).await {
            Ok(()) => {}
            Err(error @ WireError::NotInVersion(_)) => {
                log::warn!(cause = error.to_string().as_str(); "gateway_not_served");
                return;
            }
            // The connection ended, which its reader logs.
            Err(_) => return,
        }
    }
}
