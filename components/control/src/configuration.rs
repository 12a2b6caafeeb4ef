//! What every gateway must know: sessions, policies and back ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_quarantine::RequestFingerprint;
use garnet_routes::RouteTable;
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, Fence, MachineState, Millis, ModelId, ServiceId,
    SessionId, TenantId, UNTOLD_START,
};
use serde::{Deserialize, Serialize};

use crate::pool_census::PoolCensus;

/// A long-lived session that carries many requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Its name.
    pub id: SessionId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Service that its requests go to.
    pub service: ServiceId,
    /// Model of its completions; `None` for an application service.
    pub model: Option<ModelId>,
}

/// A policy document and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// The document as it was accepted.
    pub document: String,
    /// Configuration index at which it was written.
    pub revision: u64,
}

/// How a back end introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRegistration {
    /// Its name.
    pub id: BackendId,
    /// What it is.
    pub kind: BackendKind,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// IP address and port.
    pub address: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Start of the process of an application, or [`UNTOLD_START`]. That of an engine is
    /// part of its [`EngineObservation`].
    pub start: u64,
}

impl BackendRegistration {
    /// This registration, with the start of `former` where it has none: a source of the list
    /// may omit it.
    pub(crate) fn with_known_start(&self, former: &BackendRegistration) -> BackendRegistration {
        let start = match self.start {
            UNTOLD_START => former.start,
            told => told,
        };
        BackendRegistration {
            start,
            ..self.clone()
        }
    }
}

/// What an engine was seen to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Start of the engine that was seen, or [`UNTOLD_START`].
    pub incarnation: u64,
    /// What it is set up for.
    pub assignment: EngineAssignment,
}

impl EngineObservation {
    /// Whether another start of the engine was seen than `former` tells of: it
    /// holds and knows nothing of before.
    pub fn is_restart_of(&self, former: &EngineObservation) -> bool {
        let told = [self.incarnation, former.incarnation];
        !told.contains(&UNTOLD_START) && self.incarnation != former.incarnation
    }

    /// What is known after `former`: one of several that speak of an engine may not
    /// tell its start.
    pub(crate) fn with_known_start(&self, former: Option<&EngineObservation>) -> EngineObservation {
        let start = match self.incarnation {
            UNTOLD_START => former.map_or(UNTOLD_START, |former| former.incarnation),
            told => told,
        };
        EngineObservation {
            incarnation: start,
            assignment: self.assignment.clone(),
        }
    }

    /// Whether it says anything that `former` does not.
    pub(crate) fn adds_to(&self, former: Option<&EngineObservation>) -> bool {
        former != Some(&self.with_known_start(former))
    }
}

/// An order that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingOrder {
    /// Authority under which it may be sent.
    pub fence: Fence,
    /// What the engine shall become.
    pub assignment: EngineAssignment,
    /// Configuration index at which the engine left the routing set.
    pub out_of_service_since: u64,
}

/// A back end as the control group knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// How it introduced itself.
    pub registration: BackendRegistration,
    /// What the platform says of its machine.
    pub machine: MachineState,
    /// What it shall be, if anybody has said so.
    pub desired: Option<EngineAssignment>,
    /// What it was last seen to be.
    pub observed: Option<EngineObservation>,
    /// The one order that is not settled.
    pub order: Option<OutstandingOrder>,
    /// Configuration index of the latest change.
    pub revision: u64,
}

impl BackendRecord {
    /// Whether gateways may send it new work.
    pub fn takes_work(&self) -> bool {
        let ready = match self.registration.kind {
            BackendKind::Application => true,
            BackendKind::Engine => self.observed.is_some() && self.order.is_none(),
        };
        ready && self.machine == MachineState::Live
    }

    /// Start of the back end, or [`UNTOLD_START`].
    pub fn start(&self) -> u64 {
        let observed = self.observed.as_ref();
        observed.map_or(self.registration.start, |seen| seen.incarnation)
    }

    /// The pool of an engine: its service and the model that it holds.
    pub fn pool(&self) -> Option<(&ServiceId, &ModelId)> {
        let assignment = self.assignment()?;
        Some((&self.registration.service, &assignment.model))
    }

    /// What the engine is, or is becoming.
    pub fn assignment(&self) -> Option<&EngineAssignment> {
        let ordered = self.order.as_ref().map(|order| &order.assignment);
        ordered.or(self.observed.as_ref().map(|seen| &seen.assignment))
    }
}

/// A request that no engine is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Engines that ended under it.
    pub crashes: u32,
    /// Until when, by the clock of the log.
    pub until: Millis,
}

/// Everything that gateways must know, at one index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Log index of the latest change; it only rises.
    pub index: u64,
    /// Accepted sessions.
    pub sessions: BTreeMap<SessionId, Session>,
    /// The route table in force, once there is one.
    pub routes: Option<Arc<RouteTable>>,
    /// Policies in force.
    pub policies: BTreeMap<String, PolicyRecord>,
    /// Known back ends.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// Requests that are refused, since engines ended under them.
    pub quarantine: BTreeMap<RequestFingerprint, QuarantineRecord>,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationChange {
    /// A session was accepted.
    SessionCreated(Session),
    /// A session was ended.
    SessionClosed(SessionId),
    /// The route table was replaced.
    RoutesPut(Arc<RouteTable>),
    /// A policy was written or replaced.
    PolicyPut {
        /// Its name.
        name: String,
        /// Its document and revision.
        record: PolicyRecord,
    },
    /// A policy was withdrawn.
    PolicyWithdrawn(String),
    /// A back end is as given.
    BackendPut(BackendRecord),
    /// A back end was forgotten.
    BackendRemoved(BackendId),
    /// A request is refused from now on.
    RequestQuarantined(RequestFingerprint, QuarantineRecord),
    /// A request is refused no longer.
    RequestReleased(RequestFingerprint),
}

impl ConfigurationChange {
    /// The back end that it is about.
    pub fn backend(&self) -> Option<&BackendId> {
        match self {
            ConfigurationChange::BackendPut(record) => Some(&record.registration.id),
            ConfigurationChange::BackendRemoved(id) => Some(id),
            _ => None,
        }
    }
}

impl Configuration {
    /// Makes one change, which stands at log index `index`.
    pub fn change(&mut self, index: u64, change: &ConfigurationChange) {
        debug_assert!(index >= self.index);
        self.index = index;
        match change.clone() {
            ConfigurationChange::SessionCreated(session) => {
                self.sessions.insert(session.id.clone(), session);
            }
            ConfigurationChange::SessionClosed(id) => {
                self.sessions.remove(&id);
            }
            ConfigurationChange::RoutesPut(table) => {
                self.routes = Some(table);
            }
            ConfigurationChange::PolicyPut { name, record } => {
                self.policies.insert(name, record);
            }
            ConfigurationChange::PolicyWithdrawn(name) => {
                self.policies.remove(&name);
            }
            ConfigurationChange::BackendPut(record) => {
                self.backends.insert(record.registration.id.clone(), record);
            }
            ConfigurationChange::BackendRemoved(id) => {
                self.backends.remove(&id);
            }
            ConfigurationChange::RequestQuarantined(fingerprint, record) => {
                self.quarantine.insert(fingerprint, record);
            }
            ConfigurationChange::RequestReleased(fingerprint) => {
                self.quarantine.remove(&fingerprint);
            }
        }
    }
}

impl Configuration {
    /// Whether an engine may be taken out for an order, see
    /// [`PoolCensus::can_spare`].
    pub fn pool_can_spare(&self, engine: &BackendId) -> bool {
        let record = self.backends.get(engine);
        record.is_some_and(|record| self.pool_of(record).can_spare(record))
    }

    /// The same for a pool without work: any number may be out.
    pub fn idle_pool_can_spare(&self, engine: &BackendId) -> bool {
        let record = self.backends.get(engine);
        record.is_some_and(|record| self.pool_of(record).idle_can_spare(record))
    }

    /// Counts of all pools.
    pub(crate) fn pool_census(&self) -> PoolCensus<'_> {
        PoolCensus::of(self.backends.values())
    }

    /// Counts of the pool of an engine.
    fn pool_of<'a>(&'a self, engine: &'a BackendRecord) -> PoolCensus<'a> {
        let pool = engine.pool();
        let is_alike = |other: &&BackendRecord| other.pool() == pool;
        PoolCensus::of(self.backends.values().filter(is_alike))
    }
}
