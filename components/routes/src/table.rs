//! What a route table holds.

use std::collections::BTreeMap;

use garnet_types::{Millis, ServiceId};
use serde::{Deserialize, Serialize};

use crate::tenant::Tenant;

/// Whether a request may run more than once, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// May run any number of times.
    Repeatable,
    /// May run at most once for each request of a caller.
    AtMostOnce,
    /// A stream of events that can't be taken up again: at most once.
    Stream,
    /// A stream of events that another back end can go on with.
    ResumableStream,
}

impl WorkKind {
    /// Whether a second run does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, WorkKind::Repeatable | WorkKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream | WorkKind::ResumableStream)
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkKind::Repeatable => "repeatable",
            WorkKind::AtMostOnce => "at_most_once",
            WorkKind::Stream => "stream",
            WorkKind::ResumableStream => "resumable_stream",
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Beginning of their paths; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with them.
    pub kind: WorkKind,
    /// Longest time that one is worked on.
    pub timeout_ms: Millis,
    /// Time within which an answer, or the first event of a stream, is useful.
    pub objective_ms: Millis,
    /// Longest useful pause between two events of a stream.
    #[serde(default)]
    pub pause_objective_ms: Option<Millis>,
    /// Rank among routes of a service: 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Most back ends that one request may be sent to.
    #[serde(default = "one_attempt")]
    pub max_attempts: u32,
    /// Whether callers need no key, where the table has tenants.
    #[serde(default)]
    pub public: bool,
    /// Services that share the requests.
    pub services: Vec<WeightedService>,
}

fn one_attempt() -> u32 {
    1
}

/// What the engines of a service can hold, as the operator states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLimits {
    /// Sequences that run at once.
    pub slots: u64,
    /// Tokens of KV cache that fit in its memory.
    pub cache_tokens: u64,
    /// Bytes of KV cache of one token.
    pub token_bytes: u64,
    /// Bandwidth of one engine's link, in megabits a second.
    pub link_mbps: u64,
    /// How long an engine is out of service for a change of role.
    pub role_change_ms: Millis,
    /// How long a KV cache that was prefilled for another engine is kept for it.
    pub handover_ms: Millis,
}

impl EngineLimits {
    /// Requests like those under way, which hold so many tokens together, that
    /// an engine takes at once: by its slots or by its memory.
    pub fn effective_slots(&self, requests: u64, held_tokens: u64) -> f64 {
        let request_tokens = held_tokens as f64 / requests.max(1) as f64;
        let by_memory = self.cache_tokens as f64 / request_tokens.max(1.0);
        by_memory.min(self.slots as f64)
    }
}

/// A price, in thousandths of that of a dedicated engine at the usual price of
/// its zone.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PriceMilli(pub u32);

impl PriceMilli {
    /// The price nearest to this part of the usual one; a negative one is none.
    pub fn from_fraction(fraction: f64) -> Self {
        PriceMilli((fraction * 1000.0).round() as u32)
    }

    /// As a part of the usual price.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// On which terms engines of a service are bought and given back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingSettings {
    /// Fewest engines of a zone, of all kinds together.
    pub least_in_zone: u32,
    /// Most engines of a zone, of all kinds together.
    pub most_in_zone: u32,
    /// Time until an engine that was bought serves.
    pub start_ms: Millis,
    /// Price of engines that the provider may take away; `None` where there
    /// are none.
    #[serde(default)]
    pub preemptible_price: Option<PriceMilli>,
    /// Price of engines by zone, where it is not the usual one.
    #[serde(default)]
    pub zone_prices: BTreeMap<String, PriceMilli>,
}

/// One service that routes may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one back end takes from all gateways together.
    pub max_connections: u64,
    /// Limits of its engines; `None` for an application.
    #[serde(default)]
    pub engine: Option<EngineLimits>,
    /// How its engines are bought; `None` leaves the fleet as it is.
    #[serde(default)]
    pub buying: Option<ScalingSettings>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time until a head is whole.
    pub head_timeout_ms: Millis,
    /// Longest time that a kept connection rests.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: Millis(3000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// All routes and services at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Version of the document; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that they name.
    pub services: Vec<ServiceSettings>,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Who may send requests; `None` asks nobody for a key.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

impl RouteTable {
    /// Connections that one back end of a service takes from all gateways together, where
    /// the table has the service.
    pub fn connection_limit(&self, service: &ServiceId) -> Option<u64> {
        let settings = self.services.iter().find(|s| s.name == *service)?;
        Some(settings.max_connections)
    }

    /// What the engines of a service can hold, where the table tells.
    pub fn engine_limits(&self, service: &ServiceId) -> Option<EngineLimits> {
        let settings = self.services.iter().find(|s| s.name == *service)?;
        settings.engine
    }
}
