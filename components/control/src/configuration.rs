//! The configuration that every gateway works by: sessions, routes, policies, back ends
//! and quarantined requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_quarantine::RequestFingerprint;
use garnet_routes::RouteTable;
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, Fence, MachineState, Millis, ModelId, ServiceId,
    SessionId, TenantId, UNKNOWN_START,
};
use serde::{Deserialize, Serialize};

use crate::pool_census::PoolCensus;

/// A long-lived session that carries many requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Name of the session.
    pub id: SessionId,
    /// Tenant that the session belongs to.
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

/// Identity and address of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRegistration {
    /// Name of the back end.
    pub id: BackendId,
    /// Whether it is an engine or an application instance.
    pub kind: BackendKind,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// IP address and port.
    pub address: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Identifies the start of an application's process, or [`UNKNOWN_START`]. The start of
    /// an engine is part of its [`EngineObservation`].
    pub start: u64,
}

impl BackendRegistration {
    /// This registration, with the start of `previous` if it has none: a source of the
    /// machine list may omit the start.
    pub(crate) fn with_known_start(&self, previous: &BackendRegistration) -> BackendRegistration {
        let start = match self.start {
            UNKNOWN_START => previous.start,
            known => known,
        };
        BackendRegistration {
            start,
            ..self.clone()
        }
    }
}

/// Observed state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Identifies the start of the engine's process, or [`UNKNOWN_START`].
    pub incarnation: u64,
    /// Role and model of the engine.
    pub assignment: EngineAssignment,
}

impl EngineObservation {
    /// Returns whether the engine has restarted since `previous`, which means that it has
    /// lost its KV cache and its state.
    pub fn is_restart_of(&self, previous: &EngineObservation) -> bool {
        let starts = [self.incarnation, previous.incarnation];
        !starts.contains(&UNKNOWN_START) && self.incarnation != previous.incarnation
    }

    /// This observation, with the start of `previous` if it has none: some of the sources
    /// that report an engine do not report its start.
    pub(crate) fn with_known_start(
        &self,
        previous: Option<&EngineObservation>,
    ) -> EngineObservation {
        let start = match self.incarnation {
            UNKNOWN_START => previous.map_or(UNKNOWN_START, |previous| previous.incarnation),
            known => known,
        };
        EngineObservation {
            incarnation: start,
            assignment: self.assignment.clone(),
        }
    }

    /// Returns whether this observation contains anything that `previous` does not.
    pub(crate) fn adds_to(&self, previous: Option<&EngineObservation>) -> bool {
        previous != Some(&self.with_known_start(previous))
    }
}

/// An order that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingOrder {
    /// Fence under which the order is sent.
    pub fence: Fence,
    /// Assignment that the engine is ordered to take.
    pub assignment: EngineAssignment,
    /// Configuration index at which the engine left the routing set.
    pub out_of_service_since: u64,
}

/// State of a back end in the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Identity and address.
    pub registration: BackendRegistration,
    /// State of its machine as the platform reports it.
    pub machine: MachineState,
    /// Desired assignment, if one was set.
    pub desired: Option<EngineAssignment>,
    /// Latest observed state.
    pub observed: Option<EngineObservation>,
    /// The outstanding order, if any.
    pub order: Option<OutstandingOrder>,
    /// Configuration index of the latest change.
    pub revision: u64,
}

impl BackendRecord {
    /// Returns whether gateways may send it new work.
    pub fn takes_work(&self) -> bool {
        let ready = match self.registration.kind {
            BackendKind::Application => true,
            BackendKind::Engine => self.observed.is_some() && self.order.is_none(),
        };
        ready && self.machine == MachineState::Live
    }

    /// Start of the back end, or [`UNKNOWN_START`].
    pub fn start(&self) -> u64 {
        let observed = self.observed.as_ref();
        observed.map_or(self.registration.start, |seen| seen.incarnation)
    }

    /// The pool of an engine: its service and its model.
    pub fn pool(&self) -> Option<(&ServiceId, &ModelId)> {
        let assignment = self.assignment()?;
        Some((&self.registration.service, &assignment.model))
    }

    /// The assignment of the outstanding order, or else the observed one.
    pub fn assignment(&self) -> Option<&EngineAssignment> {
        let ordered = self.order.as_ref().map(|order| &order.assignment);
        ordered.or(self.observed.as_ref().map(|seen| &seen.assignment))
    }
}

/// A quarantined request, which is not sent to any engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Number of engines that ended while they ran it.
    pub crashes: u32,
    /// End of the quarantine, by the clock of the log.
    pub until: Millis,
}

/// The configuration at one log index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Log index of the latest change; it only increases.
    pub index: u64,
    /// Open sessions.
    pub sessions: BTreeMap<SessionId, Session>,
    /// The route table in force, if any.
    pub routes: Option<Arc<RouteTable>>,
    /// Policies in force.
    pub policies: BTreeMap<String, PolicyRecord>,
    /// Known back ends.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// Requests that are refused because engines ended while they ran them.
    pub quarantine: BTreeMap<RequestFingerprint, QuarantineRecord>,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationChange {
    /// A session was created.
    SessionCreated(Session),
    /// A session was ended.
    SessionClosed(SessionId),
    /// The route table was replaced.
    RoutesPut(Arc<RouteTable>),
    /// A policy was created or replaced.
    PolicyPut {
        /// Name of the policy.
        name: String,
        /// Document and revision of the policy.
        record: PolicyRecord,
    },
    /// A policy was withdrawn.
    PolicyWithdrawn(String),
    /// A back end was added or replaced.
    BackendPut(BackendRecord),
    /// A back end was removed.
    BackendRemoved(BackendId),
    /// A request was quarantined.
    RequestQuarantined(RequestFingerprint, QuarantineRecord),
    /// The quarantine of a request ended.
    RequestReleased(RequestFingerprint),
}

impl ConfigurationChange {
    /// The back end that the change is about, if any.
    pub fn backend(&self) -> Option<&BackendId> {
        match self {
            ConfigurationChange::BackendPut(record) => Some(&record.registration.id),
            ConfigurationChange::BackendRemoved(id) => Some(id),
            _ => None,
        }
    }

    /// Approximate size in memory, in bytes.
    pub fn len_bytes(&self) -> usize {
        let content = match self {
            ConfigurationChange::RoutesPut(table) => table.len_bytes(),
            ConfigurationChange::PolicyPut { name, record } => name.len() + record.document.len(),
            ConfigurationChange::BackendPut(record) => {
                record.registration.address.len() + record.registration.zone.len()
            }
            ConfigurationChange::PolicyWithdrawn(name) => name.len(),
            ConfigurationChange::SessionCreated(session) => {
                session.id.as_str().len() + session.tenant.as_str().len()
            }
            ConfigurationChange::SessionClosed(id) => id.as_str().len(),
            ConfigurationChange::BackendRemoved(_)
            | ConfigurationChange::RequestQuarantined(..)
            | ConfigurationChange::RequestReleased(_) => 0,
        };
        size_of::<Self>() + content
    }
}

impl Configuration {
    /// Applies one change, made by the log entry at `index`.
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
    /// Returns whether an engine may be taken out of routing for an order, see
    /// [`PoolCensus::can_spare`].
    pub fn pool_can_spare(&self, engine: &BackendId) -> bool {
        let record = self.backends.get(engine);
        record.is_some_and(|record| self.pool_of(record).can_spare(record))
    }

    /// The same for a pool without work, of which any number may be out of routing.
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
        let in_pool = |other: &&BackendRecord| other.pool() == pool;
        PoolCensus::of(self.backends.values().filter(in_pool))
    }
}
