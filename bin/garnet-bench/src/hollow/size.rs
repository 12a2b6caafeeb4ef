//! The size of a hollow fleet.

use garnet_control::BackendRegistration;
use garnet_types::{BackendId, BackendKind, EngineRole, ModelId, ServiceId, SessionId, TenantId};
use serde::Serialize;

/// Models of the target.
const MODELS: usize = 8;
/// Zones of the target.
const ZONES: usize = 11;

/// Counts of everything that costs something.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Size {
    /// Gateways.
    pub(crate) gateways: usize,
    /// Engines.
    pub(crate) engines: usize,
    /// Tenants, each with one session.
    pub(crate) tenants: usize,
    /// Requests with a key, a second, over all gateways.
    pub(crate) claims_per_second: usize,
    /// Requests a second of the one gateway that is measured.
    pub(crate) requests_per_second: usize,
    /// Changes of the configuration a second.
    pub(crate) changes_per_second: usize,
}

/// The users' target, as one configuration group and one claim table.
pub(crate) const TARGET: Size = Size {
    gateways: 420,
    engines: 600,
    tenants: 25_000,
    claims_per_second: 0,
    requests_per_second: 7,
    changes_per_second: 0,
};

impl Size {
    /// The name of an engine.
    pub(crate) fn engine(number: usize) -> BackendId {
        BackendId::new(format!("engine-{number}"))
    }

    /// How an engine introduces itself.
    pub(crate) fn registration(number: usize) -> BackendRegistration {
        BackendRegistration {
            id: Size::engine(number),
            kind: BackendKind::Engine,
            service: ServiceId::new("language"),
            address: format!("10.1.{}.{}:7000", number / 250, number % 250),
            zone: format!("zone-{}", number % ZONES),
        }
    }

    /// The model that an engine holds.
    pub(crate) fn model(number: usize) -> ModelId {
        ModelId::new(format!("model-{}", number % MODELS))
    }

    /// The role of an engine: a third reads prompts.
    pub(crate) fn role(number: usize) -> EngineRole {
        match number / MODELS % 3 {
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        }
    }

    /// The session of a tenant.
    pub(crate) fn session(number: usize) -> garnet_control::Session {
        garnet_control::Session {
            id: SessionId::new(format!("session-{number}")),
            tenant: TenantId::new(format!("tenant-{number}")),
            service: ServiceId::new("language"),
            model: Some(Size::model(number)),
        }
    }
}
