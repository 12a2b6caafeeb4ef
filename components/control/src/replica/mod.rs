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

use std::collections::BTreeMap;

use displaydoc::Display;
use garnet_consensus::{Config, Node, Ready, Restored, Snapshot};
use garnet_planner::{BalanceSettings, PlannerSettings};
use garnet_types::{BackendId, EncodingVersion, Fence, Millis, ReplicaId};
use thiserror::Error;

use duties::DutyTrack;
use group::Candidates;
use level::Versions;
use limiting::Limiting;
use quarantining::Quarantining;

use crate::answer::CommandAnswer;
use crate::balancing::Balancing;
use crate::command::ClaimCommand;
use crate::copies::Copies;
use crate::duties::DutySettings;
use crate::effects::{Effect, Event, Halted};
use crate::fleet_load::FleetLoad;
use crate::fleet_sizing::FleetSizing;
use crate::gateways::GatewayLeases;
use crate::group_step::GroupSettings;
use crate::planning::Planning;
use crate::reconciler::{EnginePolling, Reconciler};
use crate::state::{ControlState, StateDecodeError};
use crate::watch::{RecentChanges, SentUpdates};

/// How often the leader looks at the engines.
const RECONCILE_INTERVAL: Millis = Millis(100);

/// How the leader believes the platform's list of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectorySettings {
    /// A machine that is missing from the list for so long counts as leaving.
    pub leaving_after: Millis,
    /// A leaving machine that is missing for so long is forgotten; `None`
    /// leaves that to the operators.
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
    /// Applied entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// The role planner; `None` leaves roles to the operators.
    pub planner: Option<PlannerSettings>,
    /// The balance of phases, for engines that do not state their speed; in
    /// place of a planner.
    pub balance: Option<BalanceSettings>,
    /// How the leader keeps the group whole; `None` leaves the members to the
    /// operators.
    pub group: Option<GroupSettings>,
    /// How the platform's list is believed.
    pub directory: DirectorySettings,
    /// When engines are asked for their state.
    pub engine_polling: EnginePolling,
    /// Duties towards the platform, if there are any.
    pub duties: Option<DutySettings>,
    /// How it stands beside builds of other versions.
    pub upgrade: UpgradeSettings,
}

/// How a replica stands beside builds of other versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpgradeSettings {
    /// The highest version that it reads and writes. Simulations have replicas of earlier
    /// ones.
    pub version: EncodingVersion,
    /// How long an upgrade that is complete can be rolled back.
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
    /// Settings without a planner, for members that the operators keep.
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

/// A replica's disk holds a state that this program can't read.
#[derive(Debug, Display, Error)]
pub enum RestoreError {
    /// snapshot at index {index}: {source}
    Snapshot {
        /// Index of the snapshot.
        index: u64,
        /// What is wrong with it.
        source: StateDecodeError,
    },
}

/// Who waits for a proposed command.
#[derive(Debug)]
enum Asker {
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
struct Pending {
    term: u64,
    asker: Asker,
}

/// An operator who waits for a change to be in force.
#[derive(Debug)]
struct Waiter {
    ticket: u64,
    revision: u64,
    answer: CommandAnswer,
    until: Millis,
}

/// A removal of a member that waits for a majority of the rest.
#[derive(Debug, Clone, Copy)]
struct Removal {
    ticket: u64,
    id: ReplicaId,
    asked_at: Millis,
}

/// The state machine of one replica.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    state: ControlState,
    recent: RecentChanges,
    sent_updates: SentUpdates,
    settings: ReplicaSettings,
    pending: BTreeMap<u64, Pending>,
    waiters: Vec<Waiter>,
    removals: Vec<Removal>,
    candidates: Candidates,
    gateways: GatewayLeases,
    fleet_load: FleetLoad,
    copies: Copies,
    quarantining: Quarantining,
    limiting: Limiting,
    reconciler: Reconciler,
    planning: Option<Planning>,
    balancing: Option<Balancing>,
    reconciled_at: Millis,
    /// Back ends that the leader's regular work has looked at so far.
    looked_at: u64,
    missing_since: BTreeMap<BackendId, Millis>,
    /// Log index of the newest command about machines.
    machines_noted_at: u64,
    duty_track: DutyTrack,
    sizing: FleetSizing,
    led_term: Option<u64>,
    /// When a leader was known last; the start counts as such a moment.
    knew_leader_at: Millis,
    effects: Vec<Effect>,
    snapshot_due: Option<Snapshot>,
    /// Size of the latest snapshot.
    snapshot_bytes: u64,
    failed: Option<StateDecodeError>,
    /// Set where the log holds an entry that this build can't read.
    halted: Option<Halted>,
    versions: Versions,
    now: Millis,
}

impl Replica {
    /// Starts a replica from what its disk holds.
    ///
    /// # Errors
    /// When the snapshot can't be read by this program.
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
            candidates: Candidates::default(),
            gateways: GatewayLeases::default(),
            fleet_load: FleetLoad::default(),
            copies: Copies::default(),
            quarantining: Quarantining::default(),
            limiting: Limiting::default(),
            reconciler,
            reconciled_at: Millis::ZERO,
            looked_at: 0,
            missing_since: BTreeMap::new(),
            machines_noted_at: 0,
            duty_track: DutyTrack::default(),
            sizing: FleetSizing::default(),
            led_term: None,
            knew_leader_at: now,
            effects: Vec::new(),
            snapshot_due: None,
            snapshot_bytes: 0,
            failed: None,
            halted: None,
            versions: Versions::default(),
            now,
        })
    }

    /// The replicated state as applied here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The consensus node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Why the replica can't go on, once it can't: a snapshot from the leader
    /// that this program can't read.
    pub fn failure(&self) -> Option<&StateDecodeError> {
        self.failed.as_ref()
    }

    /// Whether an order under `fence` may leave at `now`: this replica still
    /// leads the fence's term and its lease stands.
    pub fn may_send_order(&self, fence: Fence, now: Millis) -> bool {
        let own_term = self.node.status().term == fence.term;
        own_term && self.node.holds_lease(now)
    }

    /// Whether this replica knows the newest committed state now: it holds the
    /// lease, and it has applied an entry of its own term. A new leader may
    /// hold its lease before it has applied what its predecessors committed.
    fn may_answer_reads(&self) -> bool {
        let knows_all = self.node.has_applied_own_term() && self.halted.is_none();
        self.node.holds_lease(self.now) && knows_all
    }

    /// Where and why the replica applies no more of its log, if it does not.
    pub fn halted(&self) -> Option<&Halted> {
        self.halted.as_ref()
    }

    /// Back ends that the leader's regular work has looked at since the process
    /// began: what it costs while nothing happens.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// Takes what happened.
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
            Event::EngineOrder { engine, answer } => self.handle_order_answer(engine, answer),
            Event::Machines(machines) => self.handle_machines(&machines),
            Event::Join(request) => self.handle_join(request),
            Event::DutyAnswered { call, answer } => self.handle_duty_answer(&call, answer),
            Event::MemberOpened { id, version } => self.note_member_version(id, version),
            Event::GatewayOpened {
                connection,
                version,
            } => self.note_gateway_opened(connection, version),
            Event::GatewayClosed { connection } => self.note_gateway_closed(connection),
        }
        self.note_leadership();
    }

    /// Whether there is work for the disk or the network.
    pub fn has_ready(&self) -> bool {
        self.node.has_ready()
    }

    /// Takes the work. Its durable part must be synced before [`Self::persisted`].
    pub fn ready(&mut self) -> Ready {
        self.node.ready()
    }

    /// Goes on with work whose durable part is synced.
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
        self.note_leadership();
        self.serve_waiters();
    }

    /// Takes a snapshot that the driver has to save.
    pub fn take_snapshot(&mut self) -> Option<Snapshot> {
        self.snapshot_due.take()
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        self.node.tick(self.now);
        if self.node.status().leader.is_some() {
            self.knew_leader_at = self.now;
        }
        self.note_leadership();
        let leads = self.node.holds_lease(self.now);
        if leads && self.now.since(self.reconciled_at) >= RECONCILE_INTERVAL {
            self.reconciled_at = self.now;
            self.reconcile();
            self.plan();
            self.balance();
            self.mend_group();
            self.do_duties();
            self.quarantine();
            self.keep_limits();
            self.raise_level_if_due();
            self.gateways.forget_silent(self.now);
            self.forget_gateway_names();
            self.sent_updates.forget(self.now);
        }
        self.serve_removals();
        self.serve_waiters();
    }
}
