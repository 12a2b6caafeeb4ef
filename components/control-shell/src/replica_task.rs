//! The task that owns the replica. Each iteration handles events, writes to disk and
//! carries out effects.
//!
//! While the disk syncs, events queue in the channel. The next sync covers all of
//! them, so that one sync serves many commands.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use garnet_control::{DutyCall, Effect, Event, JoinRequest, Replica};
use garnet_runtime::Clock;
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, Millis, ReplicaId};
use smol::channel::{Receiver, Sender};
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

use crate::connections::Connections;
use crate::data_folder::OpenedReplica;
use crate::directory::{self, DirectoryPort};
use crate::disk::{DiskWriter, PersistEnd};
use crate::duties::{DutyPort, log_answer};
use crate::engines::{self, EnginePort};
use crate::event_queue::EventQueue;
use crate::joining::{self, GroupAddresses, MembershipStatus};
use crate::metrics::ReplicaMetrics;

const TICK_INTERVAL: Millis = Millis(20);
/// Events handled before the next write to disk.
const MAX_EVENTS_PER_SYNC: usize = 1024;

/// The adapters that the binary supplies to the shell.
pub struct Ports<D, E, P> {
    /// The list of machines; with `None`, operators register the back ends.
    pub directory: Option<D>,
    /// The port to the engines.
    pub engines: E,
    /// The port to the platform.
    pub duties: P,
}

/// The shell of a running replica.
pub struct ControlShell {
    /// Connections of the process, through which adapters send operators' requests.
    pub connections: Connections,
    /// Metrics of the replica.
    pub metrics: Rc<ReplicaMetrics>,
    events: Receiver<Event>,
    events_in: Sender<Event>,
    executor: Rc<LocalExecutor<'static>>,
}

impl ControlShell {
    /// Creates the shell of the replica `id`, which peers reach at `peer_address`.
    pub fn new(id: ReplicaId, peer_address: String, executor: Rc<LocalExecutor<'static>>) -> Self {
        let (events_in, events) = smol::channel::unbounded();
        let connection_executor = Rc::clone(&executor);
        ControlShell {
            connections: Connections::new(id, peer_address, connection_executor, events_in.clone()),
            metrics: Rc::default(),
            events,
            events_in,
            executor,
        }
    }

    /// The children that run the replica. `join` is given where the group manages
    /// its membership itself.
    pub fn children<D, E, P>(
        &self,
        opened: OpenedReplica,
        listener: TcpListener,
        ports: Ports<D, E, P>,
        join: Option<(JoinRequest, GroupAddresses)>,
    ) -> Vec<ChildSpec>
    where
        D: DirectoryPort + 'static,
        E: EnginePort + 'static,
        P: DutyPort + 'static,
    {
        let published = PublishedStatus::default();
        let targets = EffectTargets {
            connections: self.connections.clone(),
            engines: ports.engines,
            duties: ports.duties,
            executor: Rc::clone(&self.executor),
            events: self.events_in.clone(),
            published: published.clone(),
            metrics: Rc::clone(&self.metrics),
        };
        let mut children = vec![
            child(opened, self.events.clone(), targets),
            self.connections.listener_child(listener),
        ];
        if let Some(directory) = ports.directory {
            let events = self.events_in.clone();
            let metrics = Rc::clone(&self.metrics);
            children.push(directory::child(
                Rc::new(directory),
                published.leads,
                events,
                metrics,
            ));
        }
        if let Some((request, addresses)) = join {
            let connections = self.connections.clone();
            children.push(joining::child(
                request,
                addresses,
                published.membership_status,
                connections,
            ));
        }
        children
    }
}

/// State that the replica publishes to the other children.
#[derive(Clone, Default)]
struct PublishedStatus {
    /// Whether the replica leads under its lease.
    leads: Rc<Cell<bool>>,
    /// Its membership in the group.
    membership_status: Rc<RefCell<MembershipStatus>>,
}

/// The targets of the replica's effects.
#[derive(Clone)]
struct EffectTargets<E, P> {
    connections: Connections,
    engines: E,
    duties: P,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    published: PublishedStatus,
    metrics: Rc<ReplicaMetrics>,
}

/// The child that runs the replica. It is essential: a replica whose disk failed must
/// stop, and restarting it in the same process would trust the same disk.
fn child<E: EnginePort + 'static, P: DutyPort + 'static>(
    opened: OpenedReplica,
    events: Receiver<Event>,
    targets: EffectTargets<E, P>,
) -> ChildSpec {
    let opened = Rc::new(RefCell::new(Some(opened)));
    ChildSpec::new("replica", Restart::Essential, move |stop| {
        let opened = opened.borrow_mut().take();
        let events = events.clone();
        let targets = targets.clone();
        async move {
            match opened {
                Some(opened) => run(opened, events, targets, stop).await,
                None => Err(ChildError::new("the replica was started twice")),
            }
        }
    })
}

async fn run<E: EnginePort + 'static, P: DutyPort + 'static>(
    opened: OpenedReplica,
    events: Receiver<Event>,
    targets: EffectTargets<E, P>,
    stop: StopSignal,
) -> Result<(), ChildError> {
    let OpenedReplica {
        mut replica,
        mut storage,
        clock,
        ..
    } = opened;
    let events = EventQueue::new(events);
    let mut last_tick = Millis::ZERO;
    while !stop.is_stopped() {
        let first = next_event(&events).await;
        replica.handle(first, clock.now());
        for _ in 1..MAX_EVENTS_PER_SYNC {
            let Some(event) = events.try_next() else {
                break;
            };
            replica.handle(event, clock.now());
        }
        if clock.now().since(last_tick) >= TICK_INTERVAL {
            last_tick = clock.now();
            replica.handle(Event::Tick, last_tick);
        }
        let disk_writer = DiskWriter {
            storage,
            events: &events,
            connections: &targets.connections,
            metrics: &targets.metrics,
            leads: &targets.published.leads,
            stop: &stop,
        };
        storage = match disk_writer.persist(&mut replica, &clock).await {
            Ok(storage) => storage,
            Err(PersistEnd::Stopped) => return Ok(()),
            Err(PersistEnd::Failed(error)) => return Err(ChildError::new(error)),
        };
        dispatch(&mut replica, &clock, &targets);
        publish_status(&replica, &clock, &targets.published);
        let level = replica.level().unwrap_or_default();
        targets.connections.set_min_version(level);
        targets.metrics.update(&replica, clock.now());
        if let Some(error) = replica.failure() {
            return Err(ChildError::new(error));
        }
    }
    Ok(())
}

async fn next_event(events: &EventQueue) -> Event {
    let received = async { events.next().await.unwrap_or(Event::Tick) };
    let tick = async {
        Timer::after(Duration::from_millis(TICK_INTERVAL.0)).await;
        Event::Tick
    };
    smol::future::or(received, tick).await
}

fn publish_status(replica: &Replica, clock: &Clock, published: &PublishedStatus) {
    let node = replica.node();
    published.leads.set(node.holds_lease(clock.now()));
    let has_leader = node.status().leader.is_some();
    let membership_status = MembershipStatus::of(node.membership(), node.id(), has_leader);
    *published.membership_status.borrow_mut() = membership_status;
}

fn dispatch<E: EnginePort + 'static, P: DutyPort + 'static>(
    replica: &mut Replica,
    clock: &Clock,
    targets: &EffectTargets<E, P>,
) {
    for effect in replica.take_effects() {
        match effect {
            Effect::SendPeer(envelope) => {
                let address = replica
                    .node()
                    .membership()
                    .members
                    .get(&envelope.to)
                    .map(|member| member.peer_address.clone());
                targets.connections.send_peer(address, envelope);
            }
            Effect::ReplyGateway { connection, reply } => {
                targets.connections.reply_gateway(connection, reply);
            }
            Effect::AnswerOperator { ticket, answer } => {
                targets.connections.answer_operator(ticket, answer);
            }
            Effect::AskEngine {
                engine,
                address,
                request,
            } => {
                // The clock is read again, because the process may have been paused
                // since the replica decided on the request.
                if engines::may_send(replica, &request, clock.now()) {
                    targets.metrics.count_engine_request(&request);
                    let engines = targets.engines.clone();
                    let events = targets.events.clone();
                    let ask = async move {
                        if let Some(event) = engines.ask(engine, address, request).await {
                            // The send fails only when the process is stopping.
                            let _receiver_closed = events.send(event).await;
                        }
                    };
                    targets.executor.spawn(ask).detach();
                }
            }
            Effect::CallPlatform(call) => call_platform(replica, clock, targets, call),
            Effect::ForwardJoin { address, request } => {
                targets.connections.send_join(&address, request);
            }
            Effect::Balanced {
                engine,
                assignment,
                occupancy,
            } => {
                targets.metrics.count_stated_role();
                log::info!(
                    engine = engine.as_str(),
                    role = assignment.role.as_str(),
                    prefill_engines = occupancy.prefill_engines,
                    decode_engines = occupancy.decode_engines,
                    prefill = format!("{:.2}", occupancy.prefill).as_str(),
                    decode = format!("{:.2}", occupancy.decode).as_str();
                    "role_stated"
                );
            }
            Effect::GroupChanged { step } => {
                log::info!(step = format!("{step:?}").as_str(); "group_changed");
            }
            Effect::Halted(halted) => log::error!(
                index = halted.index,
                protocol = EncodingVersion::CURRENT.0,
                cause = halted.cause.to_string().as_str();
                "log_not_readable"
            ),
            Effect::PartsQuarantined(verdict) => log::warn!(
                fingerprint = verdict.set.fingerprint().to_string().as_str(),
                service = verdict.set.service.as_str(),
                parts = verdict.part_list().as_str(),
                crashes = verdict.crashes;
                "parts_quarantined"
            ),
            Effect::Quarantined(verdict) => log::warn!(
                fingerprint = verdict.fingerprint.to_string().as_str(),
                crashes = verdict.crashes;
                "request_quarantined"
            ),
            Effect::BecameLeader { term } => {
                targets.metrics.count_won_election();
                log::info!(term = term; "became_leader");
            }
            Effect::LostLeadership { term } => log::info!(term = term; "lost_leadership"),
        }
    }
}

/// Calls the platform. The clock is read again, as for an order to an engine.
fn call_platform<E, P: DutyPort + 'static>(
    replica: &Replica,
    clock: &Clock,
    targets: &EffectTargets<E, P>,
    call: DutyCall,
) {
    if !replica.may_call(&call, clock.now()) {
        return;
    }
    let duties = targets.duties.clone();
    let events = targets.events.clone();
    let metrics = Rc::clone(&targets.metrics);
    let call_task = async move {
        let answer = duties.call(call.clone()).await;
        metrics.count_duty_call(&call, answer);
        log_answer(&call, answer);
        // The send fails only when the process is stopping.
        let _receiver_closed = events.send(Event::DutyAnswered { call, answer }).await;
    };
    targets.executor.spawn(call_task).detach();
}
