//! Contents of a route table.

use std::collections::BTreeMap;

use garnet_types::{Millis, ServiceId};
use serde::{Deserialize, Serialize};

use crate::tenant::Tenant;

/// Whether a request may run more than once, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// The request may run any number of times.
    Repeatable,
    /// The request may run at most once.
    AtMostOnce,
    /// A stream of events that can't be resumed; the request may run at most once.
    Stream,
    /// A stream of events that another back end can resume.
    ResumableStream,
}

impl WorkKind {
    /// Whether the request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, WorkKind::Repeatable | WorkKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream | WorkKind::ResumableStream)
    }

    /// Name of the kind in logs and metrics.
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
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// How requests with one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host of the requests, without the port.
    pub host: String,
    /// Prefix of the requests' paths; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the requests may run more than once and are answered by streams.
    pub kind: WorkKind,
    /// Timeout of a request.
    pub timeout_ms: Millis,
    /// Target for the time to an answer, or to the first event of a stream. A later one
    /// is of no use.
    pub objective_ms: Millis,
    /// Target for the time between two events of a stream. A longer pause is of no use.
    #[serde(default)]
    pub pause_objective_ms: Option<Millis>,
    /// Priority among the routes of a service; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of back ends to which one request may be sent.
    #[serde(default = "one_attempt")]
    pub max_attempts: u32,
    /// Whether callers need no API key although the table has tenants.
    #[serde(default)]
    pub public: bool,
    /// Services among which the requests are split.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Approximate size in memory, in bytes.
    fn len_bytes(&self) -> usize {
        let texts = self.name.len() + self.host.len() + self.path_prefix.len();
        size_of::<Self>() + texts + self.services.len() * size_of::<WeightedService>()
    }
}

fn one_attempt() -> u32 {
    1
}

/// Limits of each engine of a service, as set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLimits {
    /// Sequences that can run at once.
    pub slots: u64,
    /// Tokens of KV cache that fit into memory.
    pub cache_tokens: u64,
    /// Bytes of KV cache of one token.
    pub token_bytes: u64,
    /// Bandwidth of the engine's network link, in megabits per second.
    pub link_mbps: u64,
    /// How long a change of role takes the engine out of service.
    pub role_change_ms: Millis,
    /// How long an engine keeps a KV cache that it prefilled for another engine.
    pub handover_ms: Millis,
}

impl EngineLimits {
    /// Number of requests that the engine can run at once, limited by its slots or by its
    /// memory. Assumes requests of the mean size of the `requests` in flight, which hold
    /// `held_tokens` tokens in total.
    pub fn effective_slots(&self, requests: u64, held_tokens: u64) -> f64 {
        let request_tokens = held_tokens as f64 / requests.max(1) as f64;
        let by_memory = self.cache_tokens as f64 / request_tokens.max(1.0);
        by_memory.min(self.slots as f64)
    }
}

/// A price, in thousandths of a dedicated engine's standard price in its zone.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PriceMilli(pub u32);

impl PriceMilli {
    /// The price nearest to this fraction of the standard price. A negative fraction
    /// becomes 0.
    pub fn from_fraction(fraction: f64) -> Self {
        PriceMilli((fraction * 1000.0).round() as u32)
    }

    /// The price as a fraction of the standard price.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// How the engine fleet of a service is scaled by buying and returning engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingSettings {
    /// Minimum number of engines per zone, dedicated and preemptible together.
    pub least_in_zone: u32,
    /// Maximum number of engines per zone, dedicated and preemptible together.
    pub most_in_zone: u32,
    /// Time from the purchase of an engine until it serves requests.
    pub start_ms: Millis,
    /// Price of preemptible engines; `None` if there are none.
    #[serde(default)]
    pub preemptible_price: Option<PriceMilli>,
    /// Prices of engines in zones whose price differs from the standard one.
    #[serde(default)]
    pub zone_prices: BTreeMap<String, PriceMilli>,
}

/// A service to which routes can refer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one back end accepts from all gateways together.
    pub max_connections: u64,
    /// Limits of the service's engines; `None` for an application.
    #[serde(default)]
    pub engine: Option<EngineLimits>,
    /// How the fleet is scaled; `None` leaves its size unchanged.
    #[serde(default)]
    pub buying: Option<ScalingSettings>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a complete request head.
    pub head_timeout_ms: Millis,
    /// Timeout of an idle keep-alive connection.
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

/// All routes, services and tenants at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Version of the document; the highest version is in effect.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services to which the routes refer.
    pub services: Vec<ServiceSettings>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Tenants that may send requests; `None` if callers need no key.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

impl RouteTable {
    /// Connections that one back end of a service accepts from all gateways together;
    /// `None` if the table does not have the service.
    pub fn connection_limit(&self, service: &ServiceId) -> Option<u64> {
        let settings = self.services.iter().find(|s| s.name == *service)?;
        Some(settings.max_connections)
    }

    /// Approximate size in memory, in bytes.
    pub fn len_bytes(&self) -> usize {
        let routes: usize = self.routes.iter().map(Route::len_bytes).sum();
        let services = self.services.len() * size_of::<ServiceSettings>();
        let tenants = self.tenants.iter().flatten().map(Tenant::len_bytes);
        size_of::<Self>() + routes + services + tenants.sum::<usize>()
    }

    /// Limits of a service's engines, if the table has them.
    pub fn engine_limits(&self, service: &ServiceId) -> Option<EngineLimits> {
        let settings = self.services.iter().find(|s| s.name == *service)?;
        settings.engine
    }
}
