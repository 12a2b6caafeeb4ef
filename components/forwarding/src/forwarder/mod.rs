//! The gateway's view of the fleet, and the decisions that depend on it.

mod admission;
mod availability;
mod builds;
mod configuration;
mod connections;
mod estimates;
mod limits;
mod load_exchange;
mod paths;
mod prompt_parts;
mod quarantine;

pub use estimates::PrefillWork;
pub use limits::ReportedLimit;
pub use load_exchange::GatewayReport;

use load_exchange::{EstimateAge, Reporting};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use garnet_control::{Configuration, ConfigurationLoader, PromptCopy};
use garnet_limits::GatewayLimits;
use garnet_quarantine::{CrashLog, PromptLog};
use garnet_routes::{Route, RouteIndex, Tenant};
use garnet_types::{BackendId, BackendKind, BuildId, Millis, ServiceId, TenantId};

use crate::access::{AccessDenied, Credential, authorize};
use crate::admission::PendingRetries;
use crate::answer_times::AnswerTimes;
use crate::backend_groups::BackendGroups;
use crate::backends::Backend;
use crate::cache_lifetime::PromptRate;
use crate::connections::SharingGateways;
use crate::output_length::OutputLength;
use crate::pace::{PrefillPace, TokenTime};
use crate::paths::PathMonitor;
use crate::placement::{
    EngineView, Failures, Placement, PlacementContext, place_application, place_decode,
    place_engines,
};
use crate::residency::Residency;
use crate::retry_budget::{ServiceBudget, SharedRetryBudget};
use crate::work::Work;

use builds::MixedServices;

/// Multiples of this number, modulo 1, are spread evenly however many are drawn.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// Number of gateways that is assumed to share the retry budgets while it is unknown:
/// none of the fixed number may be used.
const UNKNOWN_GATEWAYS: u64 = u64::MAX;

/// Settings of a forwarder.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the gateway.
    pub zone: String,
    /// Repeats that all gateways together may send a service.
    pub budget: SharedRetryBudget,
    /// Where the draws for split routes begin, between 0 and 1.
    pub first_draw: f64,
}

/// A route and the service that takes a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The route.
    pub route: Route,
    /// The service.
    pub service: ServiceId,
}

/// State and decisions of one gateway.
#[derive(Debug)]
pub struct Forwarder {
    settings: ForwarderSettings,
    configuration: Configuration,
    /// Loads a full configuration that arrives in parts.
    loader: ConfigurationLoader,
    /// Since when the configuration in force is one that no leader has confirmed.
    unconfirmed_since: Option<Millis>,
    routes: RouteIndex,
    backends: BTreeMap<BackendId, Backend>,
    /// Back ends by position and by group.
    groups: BackendGroups,
    /// Back ends at which this gateway may have work in flight.
    with_own_work: BTreeSet<BackendId>,
    /// Number of back-end records applied so far.
    records_applied: u64,
    /// Back ends that the leader's last digest named.
    in_last_digest: Vec<BackendId>,
    residency: BTreeMap<BackendId, Residency>,
    budgets: HashMap<ServiceId, ServiceBudget>,
    draws: HashMap<String, f64>,
    gateways: u64,
    sharing: SharingGateways,
    /// Number of gateways among which connections are divided now.
    shared_among: u64,
    draw_count: u64,
    learned: HashMap<ServiceId, Learned>,
    /// By name of the route.
    answer_times: HashMap<String, AnswerTimes>,
    /// Prefix copies to report to peer gateways.
    pending_copies: Vec<PromptCopy>,
    reporting: Reporting,
    estimate_age: EstimateAge,
    crash_log: CrashLog,
    prompt_log: PromptLog,
    /// Limits of back ends, and permits for them.
    limits: GatewayLimits,
    permits_are_granted: bool,
    /// Number of requests so far; one in as many as there are gateways asks for a spare
    /// permit.
    arrival_count: u64,
    /// Paths to back ends that failed lately.
    paths: PathMonitor,
    /// Builds of engines by the leader's list, which may be ahead of the configuration.
    builds: HashMap<BackendId, BuildId>,
    /// Services whose engines are, or were lately, of several builds.
    mixed: MixedServices,
    /// Makes the draws of this gateway differ from those of its peers.
    seed: u64,
}

/// What was learned of a service from its requests.
#[derive(Debug, Default)]
struct Learned {
    prefill: PrefillPace,
    token_time: TokenTime,
    output_length: OutputLength,
    pending_retries: PendingRetries,
    prompt_rate: PromptRate,
}

impl Forwarder {
    /// Creates a forwarder without any configuration.
    pub fn new(settings: ForwarderSettings) -> Self {
        let seed = settings.first_draw.to_bits();
        Forwarder {
            settings,
            configuration: Configuration::default(),
            loader: ConfigurationLoader::default(),
            unconfirmed_since: None,
            routes: RouteIndex::default(),
            backends: BTreeMap::new(),
            groups: BackendGroups::default(),
            with_own_work: BTreeSet::new(),
            records_applied: 0,
            in_last_digest: Vec::new(),
            residency: BTreeMap::new(),
            budgets: HashMap::new(),
            draws: HashMap::new(),
            gateways: 1,
            sharing: SharingGateways::default(),
            shared_among: 1,
            draw_count: 0,
            learned: HashMap::new(),
            answer_times: HashMap::new(),
            pending_copies: Vec::new(),
            reporting: Reporting::default(),
            estimate_age: EstimateAge::default(),
            crash_log: CrashLog::default(),
            prompt_log: PromptLog::default(),
            limits: GatewayLimits::default(),
            permits_are_granted: true,
            arrival_count: 0,
            paths: PathMonitor::default(),
            builds: HashMap::new(),
            mixed: MixedServices::default(),
            seed,
        }
    }

    // ---- Routing ----

    /// Returns the route of a request and the service that takes it.
    pub fn route(&mut self, host: &str, path: &str) -> Option<RouteChoice> {
        let route = self.routes.find(host, path)?;
        let first = self.settings.first_draw;
        let draw = self.draws.entry(route.name.clone()).or_insert(first);
        *draw = (*draw + GOLDEN_RATIO_CONJUGATE).fract();
        let service = route.pick_service(*draw)?.clone();
        let route = route.clone();
        Some(RouteChoice { route, service })
    }

    /// Returns the tenant of a request on `route`, if callers need keys.
    ///
    /// # Errors
    ///
    /// Returns why the request is denied by the route table in force.
    pub fn authorize(
        &self,
        route: &Route,
        credential: &Credential,
    ) -> Result<Option<&Tenant>, AccessDenied> {
        authorize(&self.routes, route, credential)
    }

    /// Priority of a request on `route`, 0 first.
    pub fn priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        self.routes.priority(route, tenant)
    }

    /// Priority of a request on `route` of the tenant with this name.
    pub fn priority_of(&self, route: &Route, tenant: Option<&TenantId>) -> u8 {
        let tenants = self.routes.table().tenants.as_deref().unwrap_or_default();
        let named = tenant.and_then(|name| tenants.iter().find(|tenant| tenant.name == *name));
        self.priority(route, named)
    }

    /// Whether callers authenticate to this gateway; their credentials are then not
    /// passed on.
    pub fn asks_for_keys(&self) -> bool {
        self.routes.asks_for_keys()
    }

    /// Chooses where the request goes now. `None` if no back end can take it.
    pub fn place(
        &mut self,
        service: &ServiceId,
        work: &Work,
        tried: &[BackendId],
        may_hand_over: bool,
        now: Millis,
    ) -> Option<Placement> {
        self.draw_count += 1;
        let context = PlacementContext {
            may_hand_over,
            build: work.build.as_ref(),
            ..self.context(tried, now)
        };
        let place = |failures| self.place_with(service, work, &context.with(failures));
        Failures::in_order(tried).find_map(place)
    }

    fn context<'a>(&'a self, tried: &'a [BackendId], now: Millis) -> PlacementContext<'a> {
        PlacementContext {
            zone: &self.settings.zone,
            limits: &self.limits,
            now,
            tried,
            may_hand_over: true,
            failures: Failures::Recovering,
            ignore_connections: false,
            any_engine: false,
            sampled: 0,
            draw: self.draw_count,
            build: None,
        }
    }

    fn place_with(
        &self,
        service: &ServiceId,
        work: &Work,
        context: &PlacementContext<'_>,
    ) -> Option<Placement> {
        let of_service = self.backends_of(service);
        let Some(prompt) = &work.prompt else {
            return place_application(of_service, context).map(Placement::One);
        };
        let engines = of_service.filter(|backend| backend.registration.kind == BackendKind::Engine);
        let engines = self.engine_views(engines);
        let context = PlacementContext {
            sampled: self.engines_to_sample(service),
            // Gateways that start together have equal counters.
            draw: context.draw.wrapping_add(self.seed),
            ..*context
        };
        place_engines(&engines, prompt, &context)
    }

    /// Chooses the engine that decodes from the KV cache that `prefill_engine` made.
    pub fn place_decode(
        &mut self,
        service: &ServiceId,
        prefill_engine: &BackendId,
        tried: &[BackendId],
        now: Millis,
    ) -> Option<BackendId> {
        self.draw_count += 1;
        let prefill_engine = self.backends.get(prefill_engine)?;
        let zone = &prefill_engine.registration.zone;
        let context = self.context(tried, now);
        // A KV cache of one build is of no use to another, or to one that is not known.
        let of_same_build = || {
            let backends = self.backends_of(service);
            backends.filter(|backend| backend.build == prefill_engine.build)
        };
        let place = |failures| place_decode(of_same_build(), zone, &context.with(failures));
        Failures::in_order(tried).find_map(place)
    }

    /// Pairs engines, given in order of their ids, with the estimates of their caches.
    fn engine_views<'a>(
        &'a self,
        engines: impl Iterator<Item = &'a Backend>,
    ) -> Vec<EngineView<'a>> {
        // Both sequences are sorted, so no lookup is needed: a gateway has estimates for
        // the caches of few engines only.
        let mut caches = self.residency.iter().peekable();
        let view = |backend: &'a Backend| {
            let id = &backend.registration.id;
            while caches.next_if(|(other, _)| *other < id).is_some() {}
            let residency = caches.peek().filter(|(other, _)| *other == id);
            let residency = residency.map(|(_, residency)| *residency);
            EngineView { backend, residency }
        };
        engines.map(view).collect()
    }

    fn backends_of(&self, service: &ServiceId) -> impl Iterator<Item = &Backend> {
        self.backends
            .values()
            .filter(move |backend| backend.registration.service == *service)
    }

    /// Returns a back end.
    pub fn backend(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Returns the address of a back end.
    pub fn address(&self, id: &BackendId) -> Option<&str> {
        Some(&self.backend(id)?.registration.address)
    }

    /// Number of back ends that take work now, and number of known back ends.
    pub fn open_backends(&self, now: Millis) -> (usize, usize) {
        let open = self.backends.values().filter(|b| b.is_open(now, false));
        (open.count(), self.backends.len())
    }

    /// Ids of the known back ends in their order.
    pub fn backend_ids(&self) -> impl Iterator<Item = &BackendId> {
        self.backends.keys()
    }

    /// Number of known back ends.
    pub fn known_backends(&self) -> usize {
        self.backends.len()
    }

    // ---- Budgets ----

    /// Counts the first attempt of a request.
    pub fn earn_repeats(&mut self, service: &ServiceId, now: Millis) {
        let shared_budget = self.settings.budget;
        self.budget(service, now).earn(&shared_budget, now);
    }

    /// Spends one repeat from the service's budget; returns `false` if none is left.
    pub fn spend_repeat(&mut self, service: &ServiceId, now: Millis) -> bool {
        let shared_budget = self.settings.budget;
        let gateways = self.gateways_that_share();
        self.budget(service, now)
            .spend(&shared_budget, gateways, now)
    }

    /// Whether a repeat could be spent now.
    pub fn has_repeat(&mut self, service: &ServiceId, now: Millis) -> bool {
        let shared_budget = self.settings.budget;
        let gateways = self.gateways_that_share();
        self.budget(service, now)
            .has_left(&shared_budget, gateways, now)
    }

    fn gateways_that_share(&self) -> u64 {
        match self.unconfirmed_since {
            Some(_) => UNKNOWN_GATEWAYS,
            None => self.gateways,
        }
    }

    fn budget(&mut self, service: &ServiceId, now: Millis) -> &mut ServiceBudget {
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| ServiceBudget::starting_at(now))
    }
}
