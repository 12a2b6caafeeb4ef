//! The task that owns the replica: events in, disk, effects out.
//!
//! While the disk syncs, events gather in the channel; all of them go into the
//! next sync, which is what makes one sync serve many commands.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use garnet_control::{Effect, Event, Replica};
use garnet_runtime::{Clock, HttpClient};
use garnet_storage::{DiskDirectory, ReplicaStorage, StorageError};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::Millis;
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Timer};

use crate::connections::Connections;
use crate::engines;

const TICK: Millis = Millis(20);
/// Events taken before the disk gets its turn.
const EVENTS_PER_SYNC: usize = 1024;

/// What was opened at the start of the process.
pub(crate) struct Opened {
    pub(crate) replica: Replica,
    pub(crate) storage: ReplicaStorage<DiskDirectory>,
    pub(crate) clock: Clock,
}

/// Where effects go.
#[derive(Clone)]
pub(crate) struct Outlets {
    pub(crate) connections: Connections,
    pub(crate) http: HttpClient,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) events: Sender<Event>,
}

/// The child. It is essential: a replica whose disk failed must not go on, and
/// starting it again in the same process would trust the same disk.
pub(crate) fn child(opened: Opened, events: Receiver<Event>, outlets: Outlets) -> ChildSpec {
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

async fn run(
    opened: Opened,
    events: Receiver<Event>,
    outlets: Outlets,
    stop: StopSignal,
) -> Result<(), ChildError> {
    let Opened {
        mut replica,
        mut storage,
        clock,
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
        storage = persist(&mut replica, storage, &clock)
            .await
            .map_err(ChildError::new)?;
        dispatch(&mut replica, &clock, &outlets);
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

/// Makes everything durable that the replica hands out, off the loop.
async fn persist(
    replica: &mut Replica,
    mut storage: ReplicaStorage<DiskDirectory>,
    clock: &Clock,
) -> Result<ReplicaStorage<DiskDirectory>, StorageError> {
    while replica.has_ready() {
        let mut ready = replica.ready();
        if ready.needs_sync() {
            (storage, ready) = smol::unblock(move || {
                storage.write(&ready)?;
                Ok::<_, StorageError>((storage, ready))
            })
            .await?;
        }
        replica.persisted(ready, clock.now());
    }
    if let Some(snapshot) = replica.take_snapshot() {
        log::info!(index = snapshot.index, bytes = snapshot.data.len(); "snapshot");
        storage = smol::unblock(move || {
            storage.save_snapshot(&snapshot)?;
            Ok::<_, StorageError>(storage)
        })
        .await?;
    }
    Ok(storage)
}

fn dispatch(replica: &mut Replica, clock: &Clock, outlets: &Outlets) {
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
                    let ask = engines::ask(
                        outlets.http.clone(),
                        outlets.events.clone(),
                        engine,
                        address,
                        request,
                    );
                    outlets.executor.spawn(ask).detach();
                }
            }
            Effect::BecameLeader { term } => log::info!(term = term; "became_leader"),
            Effect::LostLeadership { term } => log::info!(term = term; "lost_leadership"),
        }
    }
}
