//! Makes durable what the replica hands out, off its loop, and bears a full disk.
//!
//! Contract: nothing that did not last is acknowledged. While there is no room the
//! replica stays; any other failure of the disk is its end.

use std::cell::Cell;
use std::time::{Duration, Instant};

use garnet_consensus::{Ready, Snapshot};
use garnet_control::{ControlReply, Event, OperatorAnswer, Replica};
use garnet_runtime::Clock;
use garnet_storage::{DiskDirectory, ReplicaStorage, StorageError};
use garnet_supervisor::StopSignal;
use smol::Timer;
use smol::channel::Receiver;

use crate::connections::Connections;
use crate::metrics::ReplicaMetrics;

/// How often a full disk is tried again.
const LOOK_FOR_ROOM: Duration = Duration::from_millis(200);

/// Why nothing more is made durable.
pub(crate) enum PersistEnd {
    /// A planned stop came while the disk was full.
    Stopped,
    /// The disk failed: what lasted can't be known.
    Failed(StorageError),
}

/// The disk of a replica, and who is turned away while it is full.
pub(crate) struct Disk<'a> {
    pub(crate) storage: ReplicaStorage<DiskDirectory>,
    /// What happens meanwhile.
    pub(crate) events: &'a Receiver<Event>,
    pub(crate) connections: &'a Connections,
    pub(crate) metrics: &'a ReplicaMetrics,
    /// What other children are told of the leadership.
    pub(crate) leads: &'a Cell<bool>,
    pub(crate) stop: &'a StopSignal,
}

impl Disk<'_> {
    /// Makes everything durable that the replica hands out, off the loop.
    pub(crate) async fn persist(
        mut self,
        replica: &mut Replica,
        clock: &Clock,
    ) -> Result<ReplicaStorage<DiskDirectory>, PersistEnd> {
        while replica.has_ready() {
            let mut ready = replica.ready();
            if ready.needs_sync() {
                (self, ready) = self.write(ready).await?;
            }
            replica.persisted(ready, clock.now());
        }
        if let Some(snapshot) = replica.take_snapshot() {
            self = self.save_snapshot(snapshot).await?;
        }
        Ok(self.storage)
    }

    /// Writes until there is room. Until then the replica hears nothing and
    /// says nothing: it acknowledges nothing that did not last, its lease ends,
    /// and the others elect a leader, as for a replica whose disk stalls.
    async fn write(mut self, mut ready: Ready) -> Result<(Self, Ready), PersistEnd> {
        let mut refusals: u64 = 0;
        loop {
            let began = Instant::now();
            let mut storage = self.storage;
            let result;
            (storage, ready, result) = smol::unblock(move || {
                let result = storage.write(&ready);
                (storage, ready, result)
            })
            .await;
            self.storage = storage;
            match result {
                Ok(()) => self.metrics.synced(began.elapsed()),
                Err(error) if error.is_full() => {
                    if refusals == 0 {
                        log::warn!(cause = error.to_string().as_str(); "disk_full");
                    }
                    refusals += 1;
                    self.turn_away_for(LOOK_FOR_ROOM).await?;
                    continue;
                }
                Err(error) => return Err(PersistEnd::Failed(error)),
            }
            if refusals > 0 {
                log::info!(tries = refusals; "disk_full_over");
                self.metrics.set_disk_full(false);
            }
            return Ok((self, ready));
        }
    }

    /// A snapshot only shortens the log: where there is no room for it, the
    /// next one does.
    async fn save_snapshot(mut self, snapshot: Snapshot) -> Result<Self, PersistEnd> {
        log::info!(index = snapshot.index, bytes = snapshot.data.len(); "snapshot");
        let mut storage = self.storage;
        let result;
        (storage, result) = smol::unblock(move || {
            let result = storage.save_snapshot(&snapshot);
            (storage, result)
        })
        .await;
        self.storage = storage;
        match result {
            Ok(()) => self.metrics.saved_snapshot(),
            Err(error) if error.is_full() => {
                log::warn!(cause = error.to_string().as_str(); "snapshot_left");
            }
            Err(error) => return Err(PersistEnd::Failed(error)),
        }
        Ok(self)
    }

    /// Refers gateways and operators to other replicas. What peers and engines
    /// say is lost, as on a bad network.
    async fn turn_away_for(&self, pause: Duration) -> Result<(), PersistEnd> {
        self.metrics.set_disk_full(true);
        self.leads.set(false);
        let answering = async {
            while let Ok(event) = self.events.recv().await {
                turn_away(event, self.connections);
            }
        };
        let pause = async {
            Timer::after(pause).await;
        };
        smol::future::or(smol::future::or(answering, pause), self.stop.stopped()).await;
        if self.stop.is_stopped() {
            return Err(PersistEnd::Stopped);
        }
        Ok(())
    }
}

fn turn_away(event: Event, connections: &Connections) {
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
