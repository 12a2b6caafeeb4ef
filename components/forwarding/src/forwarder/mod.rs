//! What a gateway believes, and the decisions that rest on it.

mod admission;
mod availability;
mod configuration;
mod connections;
mod estimates;
mod limits;
mod load_exchange;
mod quarantine;

pub use estimates::PrefillWork;
pub use limits::ReportedLimit;
pub use load_exchange::GatewayReport;

use load_exchange::{EstimateAge, Reporting};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use garnet_control::{Configuration, Loader, PromptCopy};
use garnet_limits::KnownLimits;
use garnet_quarantine::CrashLog;
use garnet_routes::{Route, RouteIndex, Tenant};
use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::access::{AccessDenied, Credential, authorize};
use crate::admission::PendingRetries;
use crate::backend_groups::BackendGroups;
use crate::backends::Backend;
use crate::cache_lifetime::PromptRate;
use crate::connections::SharingGateways;
use crate::output_length::OutputLength;
use crate::pace::{PrefillPace, TokenTime};
use crate::placement::{
    EngineView, Placement, PlacementContext, place_application, place_decode, place_engines,
};
use crate::residency::Residency;
use crate::retry_budget::{ServiceBudget, SharedRetryBudget};
use crate::work::Work;

/// Draws that go on by this part of one are spread evenly at any count.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// Gateways that share the budgets while that is not known: none of the fixed
/// part may be used.
const UNKNOWN_GATEWAYS: u64 = u64::MAX;

/// Settings of a forwarder.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the gateway.
    pub zone: String,
    /// Repeats that all gateways together may send a service.
    pub budget: SharedRetryBudget,
    /// Where the draws of split routes begin, between 0 and 1.
    pub first_draw: f64,
}

/// A route and the service that takes this request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The route.
    pub route: Route,
    /// The service.
    pub service: ServiceId,
}

/// Beliefs and decisions of one gateway.
#[derive(Debug)]
pub struct Forwarder {
    settings: ForwarderSettings,
    configuration: Configuration,
    /// A whole configuration that comes in parts.
    loader: Loader,
    /// Since when the configuration is one that no leader has confirmed yet.
    unconfirmed_since: Option<Millis>,
    routes: RouteIndex,
    backends: BTreeMap<BackendId, Backend>,
    /// Their places, and who does the same work.
    groups: BackendGroups,
    /// Back ends that this gateway may have work at.
    with_own_work: BTreeSet<BackendId>,
    /// Records of back ends that were followed so far.
    records_applied: u64,
    /// Back ends that the leader's newest digest names.
    in_last_digest: Vec<BackendId>,
    residency: BTreeMap<BackendId, Residency>,
    budgets: HashMap<ServiceId, ServiceBudget>,
    draws: HashMap<String, f64>,
    gateways: u64,
    sharing: SharingGateways,
    /// Gateways among which the connections are shared out now.
    shared_among: u64,
    drawn: u64,
    learned: HashMap<ServiceId, Learned>,
    /// Copies that the other gateways should hear of.
    pending_copies: Vec<PromptCopy>,
    reporting: Reporting,
    estimate_age: EstimateAge,
    crash_log: CrashLog,
    /// Limits of back ends, and permits for them.
    limits: KnownLimits,
    permits_are_granted: bool,
    /// Requests that came so far, to share out who asks for a spare permit.
    arrived: u64,
    /// Parts this gateway's draws from those of the others.
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
    /// A forwarder that knows nothing yet.
    pub fn new(settings: ForwarderSettings) -> Self {
        let seed = settings.first_draw.to_bits();
        Forwarder {
            settings,
            configuration: Configuration::default(),
            loader: Loader::default(),
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
            drawn: 0,
            learned: HashMap::new(),
            pending_copies: Vec::new(),
            reporting: Reporting::default(),
            estimate_age: EstimateAge::default(),
            crash_log: CrashLog::default(),
            limits: KnownLimits::default(),
            permits_are_granted: true,
            arrived: 0,
            seed,
        }
    }

    // ---- Routing ----

    /// The route of a request and the service that takes it.
    pub fn route(&mut self, host: &str, path: &str) -> Option<RouteChoice> {
        let route = self.routes.find(host, path)?;
        let first = self.settings.first_draw;
        let draw = self.draws.entry(route.name.clone()).or_insert(first);
        *draw = (*draw + GOLDEN_RATIO_CONJUGATE).fract();
        let service = route.pick_service(*draw)?.clone();
        let route = route.clone();
        Some(RouteChoice { route, service })
    }

    /// The tenant of a request on `route`, where callers are asked for keys.
    ///
    /// # Errors
    /// Why the request is not let in, by the table in force.
    pub fn authorize(
        &self,
        route: &Route,
        credential: &Credential,
    ) -> Result<Option<&Tenant>, AccessDenied> {
        authorize(&self.routes, route, credential)
    }

    /// Rank of a request on `route`, 0 first.
    pub fn priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        self.routes.priority(route, tenant)
    }

    /// Whether callers prove who they are to this gateway: what they present
    /// is not passed on.
    pub fn asks_for_keys(&self) -> bool {
        self.routes.asks_for_keys()
    }

    /// Where the request goes now. `None` when no back end can take it.
    pub fn place(
        &mut self,
        service: &ServiceId,
        work: &Work,
        tried: &[BackendId],
        may_hand_over: bool,
        now: Millis,
    ) -> Option<Placement> {
        self.drawn += 1;
        let context = PlacementContext {
            may_hand_over,
            ..self.context(tried, now)
        };
        // A back end that failed lately is better than none.
        self.place_by(service, work, &context).or_else(|| {
            let context = PlacementContext {
                ignore_failures: true,
                ..context
            };
            self.place_by(service, work, &context)
        })
    }

    fn context<'a>(&'a self, tried: &'a [BackendId], now: Millis) -> PlacementContext<'a> {
        PlacementContext {
            zone: &self.settings.zone,
            limits: &self.limits,
            now,
            tried,
            may_hand_over: true,
            ignore_failures: false,
            ignore_connections: false,
            any_engine: false,
            sampled: 0,
            draw: self.drawn,
        }
    }

    fn place_by(
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
        let engines = self.views(engines);
        let context = PlacementContext {
            sampled: self.engines_to_sample(service),
            // Gateways that start together count alike.
            draw: context.draw.wrapping_add(self.seed),
            ..*context
        };
        place_engines(&engines, prompt, &context)
    }

    /// Who generates from the KV cache that `prefill_engine` made, as things stand now.
    pub fn place_decode(
        &mut self,
        service: &ServiceId,
        prefill_engine: &BackendId,
        tried: &[BackendId],
        now: Millis,
    ) -> Option<BackendId> {
        self.drawn += 1;
        let zone = &self.backends.get(prefill_engine)?.registration.zone;
        let find = |ignore_failures| {
            let context = PlacementContext {
                ignore_failures,
                ..self.context(tried, now)
            };
            place_decode(self.backends_of(service), zone, &context)
        };
        find(false).or_else(|| find(true))
    }

    /// Engines, given in their order, with what is believed of their caches.
    fn views<'a>(&'a self, engines: impl Iterator<Item = &'a Backend>) -> Vec<EngineView<'a>> {
        // Both are in order, so that no engine is looked up: a gateway knows the caches
        // of a small part of the engines.
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

    /// A back end.
    pub fn backend(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// The address of a back end.
    pub fn address(&self, id: &BackendId) -> Option<&str> {
        Some(&self.backend(id)?.registration.address)
    }

    /// Back ends that take work now, of all that are known.
    pub fn open_backends(&self, now: Millis) -> (usize, usize) {
        let open = self.backends.values().filter(|b| b.is_open(now, false));
        (open.count(), self.backends.len())
    }

    /// The back ends that are known, in their order.
    pub fn backend_ids(&self) -> impl Iterator<Item = &BackendId> {
        self.backends.keys()
    }

    /// Back ends that are known.
    pub fn known_backends(&self) -> usize {
        self.backends.len()
    }

    // ---- Budgets ----

    /// Notes the first attempt of a request.
    pub fn earn_repeats(&mut self, service: &ServiceId, now: Millis) {
        let share = self.settings.budget;
        self.budget(service, now).earn(&share, now);
    }

    /// Takes one repeat from the service's budget; `false` when none is left.
    pub fn spend_repeat(&mut self, service: &ServiceId, now: Millis) -> bool {
        let share = self.settings.budget;
        let gateways = self.gateways_that_share();
        self.budget(service, now).spend(&share, gateways, now)
    }

    /// Whether a repeat could be spent now.
    pub fn has_repeat(&mut self, service: &ServiceId, now: Millis) -> bool {
        let share = self.settings.budget;
        let gateways = self.gateways_that_share();
        self.budget(service, now).has_left(&share, gateways, now)
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
