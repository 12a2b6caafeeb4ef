//! Writes a replica's log and snapshots to disk on another thread, and waits while the
//! disk is full.
//!
//! Contract: nothing is acknowledged before it is durable. While the disk is full the
//! replica keeps running; any other disk failure ends it.

use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

use garnet_consensus::{Ready, Snapshot};
use garnet_control::{ControlReply, Effect, Event, OperatorAnswer, Replica};
use garnet_runtime::Clock;
use garnet_storage::{DiskDirectory, ReplicaStorage, StorageError};
use garnet_supervisor::StopSignal;
use smol::Timer;

use crate::connections::Connections;
use crate::event_queue::EventQueue;
use crate::metrics::ReplicaMetrics;

/// How often a write to a full disk is retried.
const SPACE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Writes to the log that take this long are logged: a lease lasts little longer, and gateways wait
/// for answers.
const SLOW_SYNC: Duration = Duration::from_millis(100);

/// Why writing to the disk ended.
pub(crate) enum PersistEnd {
    /// A planned stop was requested while the disk was full.
    Stopped,
    /// The disk failed, so that it is unknown what is durable.
    Failed(StorageError),
}

/// Writes to the disk of a replica, and refuses requests while the disk is full.
pub(crate) struct DiskWriter<'a> {
    pub(crate) storage: ReplicaStorage<DiskDirectory>,
    /// Events that arrive meanwhile.
    pub(crate) events: &'a EventQueue,
    pub(crate) connections: &'a Connections,
    pub(crate) metrics: &'a ReplicaMetrics,
    /// Whether the replica leads, as published to the other children.
    pub(crate) leads: &'a Cell<bool>,
    pub(crate) stop: &'a StopSignal,
}

impl DiskWriter<'_> {
    /// Makes everything durable that the replica has ready, on another thread.
    pub(crate) async fn persist(
        mut self,
        replica: &mut Replica,
        clock: &Clock,
    ) -> Result<ReplicaStorage<DiskDirectory>, PersistEnd> {
        while replica.has_ready() {
            let mut ready = replica.ready();
            if ready.needs_sync() {
                (self, ready) = self.write(ready, replica, clock).await?;
            }
            replica.persisted(ready, clock.now());
        }
        if let Some(snapshot) = replica.take_snapshot() {
            self = self.save_snapshot(snapshot, replica, clock).await?;
        }
        Ok(self.storage)
    }

    /// Writes, and retries while the disk is full. Until the write succeeds the
    /// replica neither handles nor sends messages, except for requests that need no log
    /// while it holds its lease. It acknowledges nothing that is not durable, its lease
    /// expires, and the other replicas elect a leader, as they do for a replica whose disk
    /// stalls.
    async fn write(
        mut self,
        mut ready: Ready,
        replica: &mut Replica,
        clock: &Clock,
    ) -> Result<(Self, Ready), PersistEnd> {
        let (events, connections) = (self.events, self.connections);
        let mut failed_writes: u64 = 0;
        loop {
            let started_at = Instant::now();
            let mut storage = self.storage;
            let result;
            let writing = smol::unblock(move || {
                let result = storage.write(&ready);
                (storage, ready, result)
            });
            (storage, ready, result) =
                answer_during(writing, events, connections, replica, clock).await;
            self.storage = storage;
            match result {
                Ok(()) => self.note_sync(started_at.elapsed()),
                Err(error) if error.is_full() => {
                    if failed_writes == 0 {
                        log::warn!(cause = error.to_string().as_str(); "disk_full");
                    }
                    failed_writes += 1;
                    self.refuse_events_for(SPACE_RETRY_INTERVAL).await?;
                    continue;
                }
                Err(error) => return Err(PersistEnd::Failed(error)),
            }
            if failed_writes > 0 {
                log::info!(tries = failed_writes; "disk_full_over");
                self.metrics.set_disk_full(false);
            }
            return Ok((self, ready));
        }
    }

    fn note_sync(&self, duration: Duration) {
        self.metrics.observe_sync(duration);
        if duration >= SLOW_SYNC {
            log::warn!(took_ms = duration.as_millis() as u64; "sync_slow");
        }
    }

    /// Saves a snapshot. Where the disk has no space for it, it is skipped: a snapshot
    /// only shortens the log, which the next one does as well.
    async fn save_snapshot(
        mut self,
        snapshot: Snapshot,
        replica: &mut Replica,
        clock: &Clock,
    ) -> Result<Self, PersistEnd> {
        log::info!(index = snapshot.index, bytes = snapshot.data.len(); "snapshot");
        let (events, connections) = (self.events, self.connections);
        let mut storage = self.storage;
        let result;
        let saving = smol::unblock(move || {
            let result = storage.save_snapshot(&snapshot);
            (storage, result)
        });
        (storage, result) = answer_during(saving, events, connections, replica, clock).await;
        self.storage = storage;
        match result {
            Ok(()) => self.metrics.count_snapshot(),
            Err(error) if error.is_full() => {
                log::warn!(cause = error.to_string().as_str(); "snapshot_left");
            }
            Err(error) => return Err(PersistEnd::Failed(error)),
        }
        Ok(self)
    }

    /// For the duration of `pause`, answers requests of gateways and operators with
    /// `NotLeader`, so that they try other replicas. Messages of peers and engines are
    /// dropped, as on a lossy network.
    async fn refuse_events_for(&self, pause: Duration) -> Result<(), PersistEnd> {
        self.metrics.set_disk_full(true);
        self.leads.set(false);
        let refusing = async {
            while let Some(event) = self.events.next().await {
                refuse_event(event, self.connections);
            }
        };
        let pause = async {
            Timer::after(pause).await;
        };
        smol::future::or(smol::future::or(refusing, pause), self.stop.stopped()).await;
        if self.stop.is_stopped() {
            return Err(PersistEnd::Stopped);
        }
        Ok(())
    }
}

/// Waits for a write, and meanwhile answers requests that need no log.
async fn answer_during<T>(
    writing: impl Future<Output = T>,
    events: &EventQueue,
    connections: &Connections,
    replica: &mut Replica,
    clock: &Clock,
) -> T {
    let now = || clock.now();
    let carry_out = |effect| reply(effect, connections);
    events
        .handle_while_writing(writing, replica, now, carry_out)
        .await
}

/// Carries out an effect of an event that was handled during a write.
fn reply(effect: Effect, connections: &Connections) {
    if let Effect::ReplyGateway { connection, reply } = effect {
        connections.reply_gateway(connection, reply);
    }
}

fn refuse_event(event: Event, connections: &Connections) {
    match event {
        Event::Gateway { connection, .. } => {
            let reply = ControlReply::NotLeader {
                leader: None,
                last_known: None,
            };
            connections.reply_gateway(connection, reply);
        }
        Event::Operator { ticket, .. } => {
            connections.answer_operator(ticket, OperatorAnswer::NotLeader(None));
        }
        _ => {}
    }
}
