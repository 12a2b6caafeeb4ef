//! Route tables, back ends and configurations.

use std::collections::BTreeMap;
use std::sync::Arc;

use garnet_routes::{
    CallerLimits, EngineLimits, Route as PresentRoute, RouteTable as PresentTable,
    ServiceSettings as PresentService, WeightedService, WorkKind,
};
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, MachineState, Millis, ServiceId, SessionId,
    UNTOLD_START,
};
use serde::{Deserialize, Serialize};

use super::not_in_v11;
use crate::configuration::{
    BackendRecord as PresentRecord, BackendRegistration as PresentRegistration,
    Configuration as PresentConfiguration, ConfigurationChange as PresentChange, EngineObservation,
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

impl TryFrom<&PresentRoute> for Route {
    type Error = NotInVersion;

    fn try_from(route: &PresentRoute) -> Result<Self, NotInVersion> {
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

impl From<Route> for PresentRoute {
    fn from(route: Route) -> Self {
        PresentRoute {
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

impl TryFrom<&PresentService> for ServiceSettings {
    type Error = NotInVersion;

    fn try_from(service: &PresentService) -> Result<Self, NotInVersion> {
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

impl From<ServiceSettings> for PresentService {
    fn from(service: ServiceSettings) -> Self {
        PresentService {
            name: service.name,
            max_connections: service.max_connections,
            engine: service.engine,
            buying: None,
        }
    }
}

impl TryFrom<&PresentTable> for RouteTable {
    type Error = NotInVersion;

    fn try_from(table: &PresentTable) -> Result<Self, NotInVersion> {
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

impl From<RouteTable> for PresentTable {
    fn from(table: RouteTable) -> Self {
        PresentTable {
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

impl From<&PresentRegistration> for BackendRegistration {
    /// Drops the start. A process without starts takes all starts of a back end for the
    /// same.
    fn from(registration: &PresentRegistration) -> Self {
        BackendRegistration {
            id: registration.id.clone(),
            kind: registration.kind,
            service: registration.service.clone(),
            address: registration.address.clone(),
            zone: registration.zone.clone(),
        }
    }
}

impl From<BackendRegistration> for PresentRegistration {
    fn from(registration: BackendRegistration) -> Self {
        PresentRegistration {
            id: registration.id,
            kind: registration.kind,
            service: registration.service,
            address: registration.address,
            zone: registration.zone,
            start: UNTOLD_START,
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

impl From<&PresentRecord> for BackendRecord {
    fn from(record: &PresentRecord) -> Self {
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

impl From<BackendRecord> for PresentRecord {
    fn from(record: BackendRecord) -> Self {
        PresentRecord {
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

impl TryFrom<&PresentConfiguration> for Configuration {
    type Error = NotInVersion;

    /// Drops the quarantine: version 11 has none.
    fn try_from(configuration: &PresentConfiguration) -> Result<Self, NotInVersion> {
        let routes = configuration.routes.as_deref().map(RouteTable::try_from);
        let record = |(id, record): (&BackendId, &PresentRecord)| (id.clone(), record.into());
        Ok(Configuration {
            index: configuration.index,
            sessions: configuration.sessions.clone(),
            routes: routes.transpose()?,
            policies: configuration.policies.clone(),
            backends: configuration.backends.iter().map(record).collect(),
        })
    }
}

impl From<Configuration> for PresentConfiguration {
    fn from(configuration: Configuration) -> Self {
        let backends = configuration.backends.into_iter();
        PresentConfiguration {
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
    pub(super) fn of(change: &PresentChange) -> Result<Option<Self>, NotInVersion> {
        let change = match change.clone() {
            PresentChange::SessionCreated(session) => ConfigurationChange::SessionCreated(session),
            PresentChange::SessionClosed(id) => ConfigurationChange::SessionClosed(id),
            PresentChange::RoutesPut(table) => {
                ConfigurationChange::RoutesPut(table.as_ref().try_into()?)
            }
            PresentChange::PolicyPut { name, record } => {
                ConfigurationChange::PolicyPut { name, record }
            }
            PresentChange::PolicyWithdrawn(name) => ConfigurationChange::PolicyWithdrawn(name),
            PresentChange::BackendPut(record) => ConfigurationChange::BackendPut((&record).into()),
            PresentChange::BackendRemoved(id) => ConfigurationChange::BackendRemoved(id),
            PresentChange::RequestQuarantined(..) | PresentChange::RequestReleased(_) => {
                return Ok(None);
            }
        };
        Ok(Some(change))
    }
}

impl From<ConfigurationChange> for PresentChange {
    fn from(change: ConfigurationChange) -> Self {
        match change {
            ConfigurationChange::SessionCreated(session) => PresentChange::SessionCreated(session),
            ConfigurationChange::SessionClosed(id) => PresentChange::SessionClosed(id),
            ConfigurationChange::RoutesPut(table) => {
                PresentChange::RoutesPut(Arc::new(table.into()))
            }
            ConfigurationChange::PolicyPut { name, record } => {
                PresentChange::PolicyPut { name, record }
            }
            ConfigurationChange::PolicyWithdrawn(name) => PresentChange::PolicyWithdrawn(name),
            ConfigurationChange::BackendPut(record) => PresentChange::BackendPut(record.into()),
            ConfigurationChange::BackendRemoved(id) => PresentChange::BackendRemoved(id),
        }
    }
}
