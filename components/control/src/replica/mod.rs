//! One replica of the control group: consensus, state and the leader's duties.

mod duties;
mod engines;
mod gateway_requests;
mod group;
mod leadership;
mod level;
mod limiting;
mod log;
mod operator_requests;
mod quarantining;
mod recovery;
mod snapshot_schedule;

use std::collections::BTreeMap;

use displaydoc::Display;
use garnet_consensus::{Config, Node, Ready, Restored, Snapshot};
use garnet_planner::{BalanceSettings, PlannerSettings};
use garnet_types::{BackendId, EncodingVersion, Fence, Millis, ReplicaId};
use thiserror::Error;

use duties::DutyState;
use group::JoinRequests;
use level::Versions;
use limiting::Limiting;
use quarantining::Quarantining;
pub use recovery::LogCompactor;
use snapshot_schedule::SnapshotSchedule;

use crate::answer::CommandAnswer;
use crate::balancing::Balancing;
use crate::builds::Builds;
use crate::command::ClaimCommand;
use crate::copies::Copies;
use crate::duties::DutySettings;
use crate::effects::{Effect, Event, Halted};
use crate::engine_removals::EngineRemovals;
use crate::fleet_load::FleetLoad;
use crate::fleet_sizing::FleetSizing;
use crate::gateways::GatewayLeases;
use crate::group_step::GroupSettings;
use crate::planning::Planning;
use crate::reconciler::{EnginePolling, Reconciler};
use crate::relays::Relays;
use crate::state::{ControlState, StateDecodeError};
use crate::watch::{RecentChanges, SentUpdates};

/// Interval between two reconciliation passes of the leader.
const RECONCILE_INTERVAL: Millis = Millis(100);

/// When the leader acts on machines that are missing from the platform's directory, its
/// list of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectorySettings {
    /// A machine that is missing from the list for this time counts as leaving.
    pub leaving_after: Millis,
    /// A leaving machine that is missing for this time is removed; `None` leaves its
    /// removal to the operators.
    pub forget_after: Option<Millis>,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        DirectorySettings {
            leaving_after: Millis::from_secs(10),
            forget_after: None,
        }
    }
}

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Consensus timing and identity.
    pub consensus: Config,
    /// Applied entries after which a snapshot is taken; one is also taken after 16 MiB of
    /// entries.
    pub snapshot_every: u64,
    /// The role planner; `None` leaves roles to the operators.
    pub planner: Option<PlannerSettings>,
    /// Balancing of prefill and decode engines, for engines that do not report their speed;
    /// used instead of a planner.
    pub balance: Option<BalanceSettings>,
    /// How the leader repairs the group; `None` leaves membership to the operators.
    pub group: Option<GroupSettings>,
    /// When machines that are missing from the platform's list leave.
    pub directory: DirectorySettings,
    /// When engines are polled for their status.
    pub engine_polling: EnginePolling,
    /// Duties towards the platform; `None` if there are none.
    pub duties: Option<DutySettings>,
    /// How the replica works with processes of other versions.
    pub upgrade: UpgradeSettings,
}

/// How a replica works with processes of other versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpgradeSettings {
    /// The highest encoding version that the replica reads and writes. Simulations run
    /// replicas of earlier versions.
    pub version: EncodingVersion,
    /// How long a complete upgrade can still be rolled back.
    pub rollback_window: Millis,
}

impl Default for UpgradeSettings {
    fn default() -> Self {
        UpgradeSettings {
            version: EncodingVersion::CURRENT,
            rollback_window: Millis::from_secs(600),
        }
    }
}

impl ReplicaSettings {
    /// Settings without a planner, for a group whose members the operators manage.
    pub fn new(consensus: Config) -> Self {
        ReplicaSettings {
            consensus,
            snapshot_every: 1000,
            planner: None,
            balance: None,
            group: None,
            directory: DirectorySettings::default(),
            engine_polling: EnginePolling::Always,
            duties: None,
            upgrade: UpgradeSettings::default(),
        }
    }
}

/// The state on a replica's disk can't be read by this build.
#[derive(Debug, Display, Error)]
pub enum RestoreError {
    /// snapshot at index {index}: {source}
    Snapshot {
        /// Index of the snapshot.
        index: u64,
        /// Why it could not be decoded.
        source: StateDecodeError,
    },
}

/// The origin of a proposed command, which receives its answer.
#[derive(Debug)]
enum Requester {
    Operator {
        ticket: u64,
        wait: bool,
    },
    Gateway {
        connection: u64,
        claim: ClaimCommand,
    },
    Leader,
}

#[derive(Debug)]
struct PendingProposal {
    term: u64,
    requester: Requester,
}

/// An operator request that is answered when its change is in force everywhere.
#[derive(Debug)]
struct Waiter {
    ticket: u64,
    revision: u64,
    answer: CommandAnswer,
    deadline: Millis,
}

/// A removal of a member that waits until a majority of the remaining members responds.
#[derive(Debug, Clone, Copy)]
struct Removal {
    ticket: u64,
    id: ReplicaId,
    requested_at: Millis,
}

/// The state machine of one replica.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    state: ControlState,
    recent: RecentChanges,
    sent_updates: SentUpdates,
    settings: ReplicaSettings,
    pending: BTreeMap<u64, PendingProposal>,
    waiters: Vec<Waiter>,
    removals: Vec<Removal>,
    join_requests: JoinRequests,
    gateways: GatewayLeases,
    fleet_load: FleetLoad,
    copies: Copies,
    relays: Relays,
    builds: Builds,
    engine_removals: EngineRemovals,
    quarantining: Quarantining,
    limiting: Limiting,
    reconciler: Reconciler,
    planning: Option<Planning>,
    balancing: Option<Balancing>,
    reconciled_at: Millis,
    /// Count of back ends inspected by the leader's periodic work since the process
    /// started.
    inspected_backends: u64,
    missing_since: BTreeMap<BackendId, Millis>,
    /// Log index of the last proposed command about machines.
    machines_proposed_index: u64,
    duty_state: DutyState,
    sizing: FleetSizing,
    led_term: Option<u64>,
    /// When a leader was last known; initially the start time of the replica.
    leader_known_at: Millis,
    effects: Vec<Effect>,
    snapshot_due: Option<Snapshot>,
    snapshots: SnapshotSchedule,
    restore_error: Option<StateDecodeError>,
    /// Set when the log holds an entry that this build can't read.
    halted: Option<Halted>,
    versions: Versions,
    now: Millis,
}

impl Replica {
    /// Creates a replica from the state restored from its disk.
    ///
    /// # Errors
    /// When the snapshot can't be read by this build.
    pub fn new(
        settings: ReplicaSettings,
        restored: Restored,
        now: Millis,
    ) -> Result<Self, RestoreError> {
        let version = settings.upgrade.version;
        let state = match &restored.snapshot {
            Some(snapshot) => {
                ControlState::decode_by(version, &snapshot.data).map_err(|source| {
                    RestoreError::Snapshot {
                        index: snapshot.index,
                        source,
                    }
                })?
            }
            None => ControlState::default(),
        };
        let recent = RecentChanges::starting_at(state.configuration.index);
        let engine_removals = EngineRemovals::new(&state.configuration, state.clock());
        let snapshot_bytes = restored
            .snapshot
            .as_ref()
            .map_or(0, |s| s.data.len() as u64);
        let snapshots = SnapshotSchedule::new(settings.snapshot_every, snapshot_bytes);
        let reconciler = Reconciler::new(
            settings.engine_polling,
            state.configuration.backends.values(),
        );
        Ok(Replica {
            node: Node::new(settings.consensus.clone(), restored, now),
            planning: settings.planner.map(Planning::new),
            balancing: settings.balance.map(Balancing::new),
            state,
            recent,
            sent_updates: SentUpdates::default(),
            settings,
            pending: BTreeMap::new(),
            waiters: Vec::new(),
            removals: Vec::new(),
            join_requests: JoinRequests::default(),
            gateways: GatewayLeases::default(),
            fleet_load: FleetLoad::default(),
            copies: Copies::default(),
            relays: Relays::default(),
            builds: Builds::default(),
            engine_removals,
            quarantining: Quarantining::default(),
            limiting: Limiting::default(),
            reconciler,
            reconciled_at: Millis::ZERO,
            inspected_backends: 0,
            missing_since: BTreeMap::new(),
            machines_proposed_index: 0,
            duty_state: DutyState::default(),
            sizing: FleetSizing::default(),
            led_term: None,
            leader_known_at: now,
            effects: Vec::new(),
            snapshot_due: None,
            snapshots,
            restore_error: None,
            halted: None,
            versions: Versions::default(),
            now,
        })
    }

    /// The replicated state up to the last applied entry.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The consensus node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The error after which the replica can't continue: the leader sent a snapshot that
    /// this build can't read.
    pub fn failure(&self) -> Option<&StateDecodeError> {
        self.restore_error.as_ref()
    }

    /// Whether an order under `fence` may be sent at `now`: this replica must still lead in
    /// the fence's term and hold the lease.
    pub fn may_send_order(&self, fence: Fence, now: Millis) -> bool {
        let is_own_term = self.node.status().term == fence.term;
        is_own_term && self.node.holds_lease(now)
    }

    /// Whether this replica may answer linearizable reads: it holds the lease and has
    /// applied an entry of its own term. A new leader may hold its lease before it has
    /// applied all entries that its predecessors committed.
    fn may_answer_reads(&self) -> bool {
        self.may_answer_reads_at(self.now)
    }

    fn may_answer_reads_at(&self, now: Millis) -> bool {
        let has_applied_all = self.node.has_applied_own_term() && self.halted.is_none();
        self.node.holds_lease(now) && has_applied_all
    }

    /// Where and why the replica has stopped applying its log, if it has.
    pub fn halted(&self) -> Option<&Halted> {
        self.halted.as_ref()
    }

    /// Count of back ends inspected by the leader's periodic work since the process
    /// started: the cost of that work while nothing changes.
    pub fn inspected_backends(&self) -> u64 {
        self.inspected_backends
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Peer(envelope) => self.node.step(envelope, self.now),
            Event::Gateway {
                connection,
                request,
            } => self.handle_gateway(connection, request),
            Event::Operator { ticket, request } => self.handle_operator(ticket, request),
            Event::EngineStatus { engine, status } => {
                self.reconciler.observe(&engine, status, self.now);
            }
            Event::OrderAnswered { engine, answer } => self.handle_order_answer(engine, answer),
            Event::Machines(machines) => self.handle_machines(&machines),
            Event::Join(request) => self.handle_join(request),
            Event::DutyAnswered { call, answer } => self.handle_duty_answer(&call, answer),
            Event::MemberOpened { id, version } => self.record_member_version(id, version),
            Event::GatewayOpened {
                connection,
                version,
            } => self.on_gateway_opened(connection, version),
            Event::GatewayClosed { connection } => {
                self.on_gateway_closed(connection);
                self.quarantining.on_connection_closed(connection);
            }
        }
        self.update_leadership();
    }

    /// Whether there is work for the disk or the network.
    pub fn has_ready(&self) -> bool {
        self.node.has_ready()
    }

    /// Takes the pending work. Its durable part must be synced before [`Self::persisted`].
    pub fn ready(&mut self) -> Ready {
        self.node.ready()
    }

    /// Continues with work whose durable part is synced.
    pub fn persisted(&mut self, ready: Ready, now: Millis) {
        self.now = self.now.max(now);
        self.node.advance(&ready);
        if let Some(snapshot) = &ready.snapshot {
            self.restore(snapshot);
        }
        for entry in &ready.committed {
            self.apply(entry);
        }
        self.effects
            .extend(ready.messages.into_iter().map(Effect::SendPeer));
        self.take_snapshot_if_due();
        self.update_leadership();
        self.answer_waiters();
    }

    /// Takes the snapshot that the driver has to save, if there is one.
    pub fn take_snapshot(&mut self) -> Option<Snapshot> {
        self.snapshot_due.take()
    }

    /// Takes the effects that the driver has to carry out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        self.node.tick(self.now);
        if self.node.status().leader.is_some() {
            self.leader_known_at = self.now;
        }
        self.update_leadership();
        let leads = self.node.holds_lease(self.now);
        if leads && self.now.since(self.reconciled_at) >= RECONCILE_INTERVAL {
            self.reconciled_at = self.now;
            self.reconcile();
            self.plan();
            self.balance();
            self.repair_group();
            self.perform_duties();
            self.quarantine();
            self.prune_limits();
            self.raise_level_if_due();
            self.gateways.forget_silent(self.now);
            self.prune_gateway_names();
            self.relays.prune(self.now);
            self.prune_builds();
            self.sent_updates.forget(self.now);
        }
        if !leads {
            self.quarantine_without_leading();
        }
        self.process_removals();
        self.answer_waiters();
    }
}
