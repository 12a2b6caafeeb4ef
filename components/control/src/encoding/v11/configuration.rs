//! Route tables, back ends and configurations.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_routes::{
    CallerLimits, EngineLimits, Route as CurrentRoute, RouteTable as CurrentTable,
    ServiceSettings as CurrentService, WeightedService, WorkKind,
};
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, MachineState, Millis, ServiceId, SessionId,
    UNKNOWN_START,
};
use serde::{Deserialize, Serialize};

use super::not_in_v11;
use crate::configuration::{
    BackendRecord as CurrentRecord, BackendRegistration as CurrentRegistration,
    Configuration as CurrentConfiguration, ConfigurationChange as CurrentChange, EngineObservation,
    OutstandingOrder, PolicyRecord, Session,
};
use crate::encoding::NotInVersion;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Route {
    name: String,
    host: String,
    path_prefix: String,
    kind: WorkKind,
    timeout_ms: Millis,
    objective_ms: Millis,
    pause_objective_ms: Option<Millis>,
    priority: u8,
    max_attempts: u32,
    services: Vec<WeightedService>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct ServiceSettings {
    name: ServiceId,
    max_connections: u64,
    engine: Option<EngineLimits>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServiceSettings>,
    limits: CallerLimits,
}

impl TryFrom<&CurrentRoute> for Route {
    type Error = NotInVersion;

    fn try_from(route: &CurrentRoute) -> Result<Self, NotInVersion> {
        if route.public {
            return Err(not_in_v11("a public route"));
        }
        Ok(Route {
            name: route.name.clone(),
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            pause_objective_ms: route.pause_objective_ms,
            priority: route.priority,
            max_attempts: route.max_attempts,
            services: route.services.clone(),
        })
    }
}

impl From<Route> for CurrentRoute {
    fn from(route: Route) -> Self {
        CurrentRoute {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            pause_objective_ms: route.pause_objective_ms,
            priority: route.priority,
            max_attempts: route.max_attempts,
            public: false,
            services: route.services,
        }
    }
}

impl TryFrom<&CurrentService> for ServiceSettings {
    type Error = NotInVersion;

    fn try_from(service: &CurrentService) -> Result<Self, NotInVersion> {
        if service.buying.is_some() {
            return Err(not_in_v11("buying of engines"));
        }
        Ok(ServiceSettings {
            name: service.name.clone(),
            max_connections: service.max_connections,
            engine: service.engine,
        })
    }
}

impl From<ServiceSettings> for CurrentService {
    fn from(service: ServiceSettings) -> Self {
        CurrentService {
            name: service.name,
            max_connections: service.max_connections,
            engine: service.engine,
            buying: None,
        }
    }
}

impl TryFrom<&CurrentTable> for RouteTable {
    type Error = NotInVersion;

    fn try_from(table: &CurrentTable) -> Result<Self, NotInVersion> {
        if table.tenants.is_some() {
            return Err(not_in_v11("keys of tenants"));
        }
        let routes = table.routes.iter().map(Route::try_from);
        let services = table.services.iter().map(ServiceSettings::try_from);
        Ok(RouteTable {
            version: table.version,
            routes: routes.collect::<Result<_, _>>()?,
            services: services.collect::<Result<_, _>>()?,
            limits: table.limits,
        })
    }
}

impl From<RouteTable> for CurrentTable {
    fn from(table: RouteTable) -> Self {
        CurrentTable {
            version: table.version,
            routes: table.routes.into_iter().map(Into::into).collect(),
            services: table.services.into_iter().map(Into::into).collect(),
            limits: table.limits,
            tenants: None,
        }
    }
}

/// The registration of a back end in versions 11 to 15.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BackendRegistration {
    id: BackendId,
    kind: BackendKind,
    service: ServiceId,
    address: String,
    zone: String,
}

impl From<&CurrentRegistration> for BackendRegistration {
    /// Drops the start. Builds of these versions do not distinguish the starts of a back
    /// end.
    fn from(registration: &CurrentRegistration) -> Self {
        BackendRegistration {
            id: registration.id.clone(),
            kind: registration.kind,
            service: registration.service.clone(),
            address: registration.address.clone(),
            zone: registration.zone.clone(),
        }
    }
}

impl From<BackendRegistration> for CurrentRegistration {
    fn from(registration: BackendRegistration) -> Self {
        CurrentRegistration {
            id: registration.id,
            kind: registration.kind,
            service: registration.service,
            address: registration.address,
            zone: registration.zone,
            start: UNKNOWN_START,
        }
    }
}

/// The record of a back end in versions 11 to 15.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BackendRecord {
    registration: BackendRegistration,
    machine: MachineState,
    desired: Option<EngineAssignment>,
    observed: Option<EngineObservation>,
    order: Option<OutstandingOrder>,
    revision: u64,
}

impl From<&CurrentRecord> for BackendRecord {
    fn from(record: &CurrentRecord) -> Self {
        BackendRecord {
            registration: (&record.registration).into(),
            machine: record.machine,
            desired: record.desired.clone(),
            observed: record.observed.clone(),
            order: record.order.clone(),
            revision: record.revision,
        }
    }
}

impl From<BackendRecord> for CurrentRecord {
    fn from(record: BackendRecord) -> Self {
        CurrentRecord {
            registration: record.registration.into(),
            machine: record.machine,
            desired: record.desired,
            observed: record.observed,
            order: record.order,
            revision: record.revision,
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Configuration {
    index: u64,
    sessions: BTreeMap<SessionId, Session>,
    routes: Option<RouteTable>,
    policies: BTreeMap<String, PolicyRecord>,
    backends: BTreeMap<BackendId, BackendRecord>,
}

impl TryFrom<&CurrentConfiguration> for Configuration {
    type Error = NotInVersion;

    /// Drops the quarantine: version 11 has none.
    fn try_from(configuration: &CurrentConfiguration) -> Result<Self, NotInVersion> {
        let routes = configuration.routes.as_deref().map(RouteTable::try_from);
        let record = |(id, record): (&BackendId, &CurrentRecord)| (id.clone(), record.into());
        Ok(Configuration {
            index: configuration.index,
            sessions: configuration.sessions.clone(),
            routes: routes.transpose()?,
            policies: configuration.policies.clone(),
            backends: configuration.backends.iter().map(record).collect(),
        })
    }
}

impl From<Configuration> for CurrentConfiguration {
    fn from(configuration: Configuration) -> Self {
        let backends = configuration.backends.into_iter();
        CurrentConfiguration {
            index: configuration.index,
            sessions: configuration.sessions,
            routes: configuration.routes.map(|table| Arc::new(table.into())),
            policies: configuration.policies,
            backends: backends.map(|(id, record)| (id, record.into())).collect(),
            quarantine: BTreeMap::new(),
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum ConfigurationChange {
    SessionCreated(Session),
    SessionClosed(SessionId),
    RoutesPut(RouteTable),
    PolicyPut { name: String, record: PolicyRecord },
    PolicyWithdrawn(String),
    BackendPut(BackendRecord),
    BackendRemoved(BackendId),
}

impl ConfigurationChange {
    /// Converts a change; `None` if version 11 does not need it.
    pub(super) fn of(change: &CurrentChange) -> Result<Option<Self>, NotInVersion> {
        let change = match change.clone() {
            CurrentChange::SessionCreated(session) => ConfigurationChange::SessionCreated(session),
            CurrentChange::SessionClosed(id) => ConfigurationChange::SessionClosed(id),
            CurrentChange::RoutesPut(table) => {
                ConfigurationChange::RoutesPut(table.as_ref().try_into()?)
            }
            CurrentChange::PolicyPut { name, record } => {
                ConfigurationChange::PolicyPut { name, record }
            }
            CurrentChange::PolicyWithdrawn(name) => ConfigurationChange::PolicyWithdrawn(name),
            CurrentChange::BackendPut(record) => ConfigurationChange::BackendPut((&record).into()),
            CurrentChange::BackendRemoved(id) => ConfigurationChange::BackendRemoved(id),
            CurrentChange::RequestQuarantined(..) | CurrentChange::RequestReleased(_) => {
                return Ok(None);
            }
        };
        Ok(Some(change))
    }
}

impl From<ConfigurationChange> for CurrentChange {
    fn from(change: ConfigurationChange) -> Self {
        match change {
            ConfigurationChange::SessionCreated(session) => CurrentChange::SessionCreated(session),
            ConfigurationChange::SessionClosed(id) => CurrentChange::SessionClosed(id),
            ConfigurationChange::RoutesPut(table) => {
                CurrentChange::RoutesPut(Arc::new(table.into()))
            }
            ConfigurationChange::PolicyPut { name, record } => {
                CurrentChange::PolicyPut { name, record }
            }
            ConfigurationChange::PolicyWithdrawn(name) => CurrentChange::PolicyWithdrawn(name),
            ConfigurationChange::BackendPut(record) => CurrentChange::BackendPut(record.into()),
            ConfigurationChange::BackendRemoved(id) => CurrentChange::BackendRemoved(id),
        }
    }
}
