//! The task that owns the replica: events in, disk, effects out.
//!
//! While the disk syncs, events gather in the channel; all of them go into the
//! next sync, which is what makes one sync serve many commands.

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
use crate::disk::{Disk, PersistEnd};
use crate::duties::{DutyPort, log_answer};
use crate::engines::{self, EnginePort};
use crate::joining::{self, GroupAddresses, Standing};
use crate::metrics::ReplicaMetrics;

const TICK: Millis = Millis(20);
/// Events taken before the disk gets its turn.
const EVENTS_PER_SYNC: usize = 1024;

/// What is plugged into the shell.
pub struct Ports<D, E, P> {
    /// The list of machines; `None` leaves back ends to the operators.
    pub directory: Option<D>,
    /// Engines.
    pub engines: E,
    /// The platform's side of the duties.
    pub duties: P,
}

/// The parts of a running replica.
pub struct ControlShell {
    /// Connections of the process; operators' adapters ask through them.
    pub connections: Connections,
    /// What is counted.
    pub metrics: Rc<ReplicaMetrics>,
    events: Receiver<Event>,
    events_in: Sender<Event>,
    executor: Rc<LocalExecutor<'static>>,
}

impl ControlShell {
    /// A shell for the replica `id`, which others reach at `peer_address`.
    pub fn new(id: ReplicaId, peer_address: String, executor: Rc<LocalExecutor<'static>>) -> Self {
        let (events_in, events) = smol::channel::unbounded();
        let loop_of_process = Rc::clone(&executor);
        ControlShell {
            connections: Connections::new(id, peer_address, loop_of_process, events_in.clone()),
            metrics: Rc::default(),
            events,
            events_in,
            executor,
        }
    }

    /// The children that run the replica. `join` is given where the group
    /// keeps its members itself.
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
        let told = Told::default();
        let outlets = Outlets {
            connections: self.connections.clone(),
            engines: ports.engines,
            duties: ports.duties,
            executor: Rc::clone(&self.executor),
            events: self.events_in.clone(),
            told: told.clone(),
            metrics: Rc::clone(&self.metrics),
        };
        let mut children = vec![
            child(opened, self.events.clone(), outlets),
            self.connections.listener_child(listener),
        ];
        if let Some(directory) = ports.directory {
            let events = self.events_in.clone();
            let metrics = Rc::clone(&self.metrics);
            children.push(directory::child(
                Rc::new(directory),
                told.leads,
                events,
                metrics,
            ));
        }
        if let Some((request, addresses)) = join {
            let connections = self.connections.clone();
            children.push(joining::child(
                request,
                addresses,
                told.standing,
                connections,
            ));
        }
        children
    }
}

/// What the replica tells other children.
#[derive(Clone, Default)]
struct Told {
    /// Whether it leads under its lease.
    leads: Rc<Cell<bool>>,
    /// Its place in the group.
    standing: Rc<RefCell<Standing>>,
}

/// Where effects go.
#[derive(Clone)]
struct Outlets<E, P> {
    connections: Connections,
    engines: E,
    duties: P,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    told: Told,
    metrics: Rc<ReplicaMetrics>,
}

/// The child. It is essential: a replica whose disk failed must not go on, and
/// starting it again in the same process would trust the same disk.
fn child<E: EnginePort + 'static, P: DutyPort + 'static>(
    opened: OpenedReplica,
    events: Receiver<Event>,
    outlets: Outlets<E, P>,
) -> ChildSpec {
    let opened = Rc::new(RefCell::new(Some(opened)));
    ChildSpec::new("replica", Restart::Essential, move |stop| {
        let opened = opened.borrow_mut().take();
        let events = events.clone();
        let outlets = outlets.clone();
        async move {
            match opened {
                Some(opened) => run(opened, events, outlets, stop).await,
                None => Err(ChildError::new("the replica was started twice")),
            }
        }
    })
}

async fn run<E: EnginePort + 'static, P: DutyPort + 'static>(
    opened: OpenedReplica,
    events: Receiver<Event>,
    outlets: Outlets<E, P>,
    stop: StopSignal,
) -> Result<(), ChildError> {
    let OpenedReplica {
        mut replica,
        mut storage,
        clock,
        ..
    } = opened;
    let mut ticked_at = Millis::ZERO;
    while !stop.is_stopped() {
        let first = next_event(&events).await;
        replica.handle(first, clock.now());
        for _ in 1..EVENTS_PER_SYNC {
            let Ok(event) = events.try_recv() else {
                break;
            };
            replica.handle(event, clock.now());
        }
        if clock.now().since(ticked_at) >= TICK {
            ticked_at = clock.now();
            replica.handle(Event::Tick, ticked_at);
        }
        let disk = Disk {
            storage,
            events: &events,
            connections: &outlets.connections,
            metrics: &outlets.metrics,
            leads: &outlets.told.leads,
            stop: &stop,
        };
        storage = match disk.persist(&mut replica, &clock).await {
            Ok(storage) => storage,
            Err(PersistEnd::Stopped) => return Ok(()),
            Err(PersistEnd::Failed(error)) => return Err(ChildError::new(error)),
        };
        dispatch(&mut replica, &clock, &outlets);
        tell(&replica, &clock, &outlets.told);
        let level = replica.level().unwrap_or_default();
        outlets.connections.set_lowest_version(level);
        outlets.metrics.look(&replica, clock.now());
        if let Some(error) = replica.failure() {
            return Err(ChildError::new(error));
        }
    }
    Ok(())
}

async fn next_event(events: &Receiver<Event>) -> Event {
    let received = async { events.recv().await.unwrap_or(Event::Tick) };
    let tick = async {
        Timer::after(Duration::from_millis(TICK.0)).await;
        Event::Tick
    };
    smol::future::or(received, tick).await
}

fn tell(replica: &Replica, clock: &Clock, told: &Told) {
    let node = replica.node();
    told.leads.set(node.holds_lease(clock.now()));
    let hears_leader = node.status().leader.is_some();
    let standing = Standing::of(node.membership(), node.id(), hears_leader);
    *told.standing.borrow_mut() = standing;
}

fn dispatch<E: EnginePort + 'static, P: DutyPort + 'static>(
    replica: &mut Replica,
    clock: &Clock,
    outlets: &Outlets<E, P>,
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
                outlets.connections.send_peer(address, envelope);
            }
            Effect::ReplyGateway { connection, reply } => {
                outlets.connections.reply_gateway(connection, reply);
            }
            Effect::AnswerOperator { ticket, answer } => {
                outlets.connections.answer_operator(ticket, answer);
            }
            Effect::AskEngine {
                engine,
                address,
                request,
            } => {
                // The clock is read anew: the process may have been paused
                // between the decision and this line.
                if engines::may_ask(replica, &request, clock.now()) {
                    outlets.metrics.asked_engine(&request);
                    let engines = outlets.engines.clone();
                    let events = outlets.events.clone();
                    let ask = async move {
                        if let Some(event) = engines.ask(engine, address, request).await {
                            // The process may be stopping.
                            let _unheard = events.send(event).await;
                        }
                    };
                    outlets.executor.spawn(ask).detach();
                }
            }
            Effect::CallPlatform(call) => call_platform(replica, clock, outlets, call),
            Effect::ForwardJoin { address, request } => {
                outlets.connections.send_join(&address, request);
            }
            Effect::Balanced {
                engine,
                assignment,
                occupancy,
            } => {
                outlets.metrics.stated_role();
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
            Effect::Quarantined(verdict) => log::warn!(
                fingerprint = verdict.fingerprint.to_string().as_str(),
                crashes = verdict.crashes;
                "request_quarantined"
            ),
            Effect::BecameLeader { term } => {
                outlets.metrics.became_leader();
                log::info!(term = term; "became_leader");
            }
            Effect::LostLeadership { term } => log::info!(term = term; "lost_leadership"),
        }
    }
}

/// Calls the platform. The clock is read anew, as for an order to an engine.
fn call_platform<E, P: DutyPort + 'static>(
    replica: &Replica,
    clock: &Clock,
    outlets: &Outlets<E, P>,
    call: DutyCall,
) {
    if !replica.may_call(&call, clock.now()) {
        return;
    }
    let duties = outlets.duties.clone();
    let events = outlets.events.clone();
    let metrics = Rc::clone(&outlets.metrics);
    let calling = async move {
        let answer = duties.call(call.clone()).await;
        metrics.called_platform(&call, answer);
        log_answer(&call, answer);
        // The process may be stopping.
        let _unheard = events.send(Event::DutyAnswered { call, answer }).await;
    };
    outlets.executor.spawn(calling).detach();
}
