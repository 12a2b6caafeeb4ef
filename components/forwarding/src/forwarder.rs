//! What a gateway believes, and the decisions that rest on it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use garnet_control::{Backlog, Configuration, PromptCopy, WatchUpdate};
use garnet_routes::{CallerLimits, Route, RouteIndex};
use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::backends::{Backend, LoadReport};
use crate::patience::ReadingPace;
use crate::placement::{
    EngineView, Placement, Preference, place_application, place_engines, place_generator,
};
use crate::residency::Residency;
use crate::share::{BudgetShare, ServiceBudget};
use crate::work::{Prompt, Work};

/// Draws that go on by this part of one are spread evenly at any count.
const GOLDEN_PART: f64 = 0.618_033_988_749_894_9;

/// An unconfirmed configuration is given up when no leader has confirmed it for
/// so long.
const LONGEST_UNCONFIRMED: Millis = Millis::from_secs(10);
/// Gateways that share the budgets while that is not known: none of the fixed
/// part may be used.
const UNKNOWN_GATEWAYS: u64 = u64::MAX;

/// Copies that wait to be told at most; what is left out is told of when it is
/// used again.
const MOST_NEWS: usize = 64;

/// Settings of a forwarder.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Zone of the gateway.
    pub zone: String,
    /// Repeats that all gateways together may send a service.
    pub budget: BudgetShare,
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
    /// Since when the configuration is one that no leader has confirmed yet.
    unconfirmed_since: Option<Millis>,
    routes: RouteIndex,
    backends: BTreeMap<BackendId, Backend>,
    residency: BTreeMap<BackendId, Residency>,
    budgets: HashMap<ServiceId, ServiceBudget>,
    draws: HashMap<String, f64>,
    gateways: u64,
    drawn: u64,
    pace: ReadingPace,
    /// Copies that the other gateways should hear of.
    news: Vec<PromptCopy>,
}

impl Forwarder {
    /// A forwarder that knows nothing yet.
    pub fn new(settings: ForwarderSettings) -> Self {
        Forwarder {
            settings,
            configuration: Configuration::default(),
            unconfirmed_since: None,
            routes: RouteIndex::default(),
            backends: BTreeMap::new(),
            residency: BTreeMap::new(),
            budgets: HashMap::new(),
            draws: HashMap::new(),
            gateways: 1,
            drawn: 0,
            pace: ReadingPace::default(),
            news: Vec::new(),
        }
    }

    // ---- Configuration ----

    /// Takes what the leader says is new. An older configuration than the one
    /// in force is left aside, so nothing reverts.
    pub fn update(&mut self, update: WatchUpdate) {
        self.unconfirmed_since = None;
        match update {
            WatchUpdate::Current => return,
            WatchUpdate::Snapshot(configuration) => {
                if configuration.index < self.configuration.index {
                    return;
                }
                self.configuration = Arc::unwrap_or_clone(configuration);
            }
            WatchUpdate::Changes { from, changes, to } => {
                if from > self.configuration.index || to < self.configuration.index {
                    return;
                }
                let known = self.configuration.index;
                for (index, change) in changes.iter().filter(|(index, _)| *index > known) {
                    self.configuration.change(*index, change);
                }
            }
        }
        self.apply_configuration();
    }

    /// Takes what a replica knew last while there is no leader, where nothing
    /// is known here: a gateway that has just started need not wait for the
    /// group. Until a leader confirms it, unknown routes are not denied and
    /// the budgets' fixed part is left alone.
    pub fn take_unconfirmed(&mut self, configuration: Arc<Configuration>, now: Millis) {
        if self.configuration.index == 0 {
            self.unconfirmed_since = Some(now);
            self.configuration = Arc::unwrap_or_clone(configuration);
            self.apply_configuration();
        }
    }

    /// Forgets an unconfirmed configuration that has grown too old.
    pub fn forget_unconfirmed(&mut self, now: Millis) {
        let is_old = |since| now.since(since) > LONGEST_UNCONFIRMED;
        if self.unconfirmed_since.is_some_and(is_old) {
            self.unconfirmed_since = None;
            self.configuration = Configuration::default();
            self.routes = RouteIndex::default();
            self.apply_configuration();
        }
    }

    /// Whether a leader has confirmed the configuration in force here.
    pub fn is_confirmed(&self) -> bool {
        self.configuration.index > 0 && self.unconfirmed_since.is_none()
    }

    /// Notes how many gateways share the budgets.
    pub fn set_gateways(&mut self, gateways: u64) {
        self.gateways = gateways.max(1);
    }

    /// Gateways that share the budgets, as far as known.
    pub fn gateways(&self) -> u64 {
        self.gateways
    }

    /// Log index of the configuration in force here.
    pub fn configuration_index(&self) -> u64 {
        self.configuration.index
    }

    /// Version of the route table in force here.
    pub fn routes_version(&self) -> Option<u64> {
        Some(self.configuration.routes.as_ref()?.version)
    }

    /// Bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.routes.table().limits
    }

    fn apply_configuration(&mut self) {
        if let Some(table) = &self.configuration.routes
            && table.version != self.routes.table().version
        {
            self.routes = RouteIndex::new((**table).clone());
        }
        let records = &self.configuration.backends;
        self.backends.retain(|id, _| records.contains_key(id));
        self.residency.retain(|id, _| records.contains_key(id));
        for (id, record) in records {
            match self.backends.get_mut(id) {
                Some(backend) => backend.update(record),
                None => {
                    self.backends.insert(id.clone(), Backend::new(record));
                }
            }
        }
    }

    // ---- Routing ----

    /// The route of a request and the service that takes it.
    pub fn route(&mut self, host: &str, path: &str) -> Option<RouteChoice> {
        let route = self.routes.find(host, path)?;
        let first = self.settings.first_draw;
        let draw = self.draws.entry(route.name.clone()).or_insert(first);
        *draw = (*draw + GOLDEN_PART).fract();
        let service = route.pick_service(*draw)?.clone();
        let route = route.clone();
        Some(RouteChoice { route, service })
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
        let preference = Preference {
            zone: &self.settings.zone,
            now,
            tried,
            may_hand_over,
            despite_failures: false,
            draw: self.drawn,
        };
        // A back end that failed lately is better than none.
        self.place_by(service, work, &preference).or_else(|| {
            let preference = Preference {
                despite_failures: true,
                ..preference
            };
            self.place_by(service, work, &preference)
        })
    }

    fn place_by(
        &self,
        service: &ServiceId,
        work: &Work,
        preference: &Preference<'_>,
    ) -> Option<Placement> {
        let of_service = self
            .backends
            .values()
            .filter(|backend| backend.registration.service == *service);
        let Some(prompt) = &work.prompt else {
            return place_application(of_service, preference).map(Placement::One);
        };
        let engines: Vec<EngineView<'_>> = of_service
            .filter(|backend| backend.registration.kind == BackendKind::Engine)
            .map(|backend| EngineView {
                backend,
                residency: self.residency.get(&backend.registration.id),
            })
            .collect();
        place_engines(&engines, prompt, preference)
    }

    /// Who generates from the KV cache that `reader` made, as things stand now.
    pub fn place_generator(
        &mut self,
        service: &ServiceId,
        reader: &BackendId,
        tried: &[BackendId],
        now: Millis,
    ) -> Option<BackendId> {
        self.drawn += 1;
        let zone = &self.backends.get(reader)?.registration.zone;
        let find = |despite_failures| {
            let preference = Preference {
                zone: &self.settings.zone,
                now,
                tried,
                may_hand_over: true,
                despite_failures,
                draw: self.drawn,
            };
            let of_service = self
                .backends
                .values()
                .filter(|backend| backend.registration.service == *service);
            place_generator(of_service, zone, &preference)
        };
        find(false).or_else(|| find(true))
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

    // ---- Budgets ----

    /// Notes the first attempt of a request.
    pub fn earn_repeats(&mut self, service: &ServiceId, now: Millis) {
        let share = self.settings.budget;
        self.budget(service, now).earn(&share, now);
    }

    /// Takes one repeat from the service's budget; `false` when none is left.
    pub fn spend_repeat(&mut self, service: &ServiceId, now: Millis) -> bool {
        let share = self.settings.budget;
        let gateways = match self.unconfirmed_since {
            Some(_) => UNKNOWN_GATEWAYS,
            None => self.gateways,
        };
        self.budget(service, now).spend(&share, gateways, now)
    }

    fn budget(&mut self, service: &ServiceId, now: Millis) -> &mut ServiceBudget {
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| ServiceBudget::beginning_at(now))
    }

    // ---- Other gateways ----

    /// Own work under way, for the other gateways.
    pub fn own_backlogs(&self) -> Vec<Backlog> {
        let backlog = |(id, backend): (&BackendId, &Backend)| backend.load.own(id);
        self.backends.iter().filter_map(backlog).collect()
    }

    /// Takes what the other gateways have under way.
    pub fn heard_of_others(&mut self, backlogs: &[Backlog], now: Millis) {
        for (id, backend) in &mut self.backends {
            let backlog = backlogs.iter().find(|backlog| backlog.backend == *id);
            backend.load.heard_of_others(backlog, now);
        }
    }

    /// Copies to tell the other gateways of.
    pub fn take_copies(&mut self) -> Vec<PromptCopy> {
        std::mem::take(&mut self.news)
    }

    /// Takes what the other gateways know of copies.
    pub fn heard_of_copies(&mut self, copies: &[PromptCopy], now: Millis) {
        for copy in copies {
            // One that is not known yet is told of again later.
            if self.backends.contains_key(&copy.backend) {
                let residency = self.residency.entry(copy.backend.clone()).or_default();
                residency.note_told(copy.prefix, now);
            }
        }
    }

    // ---- What attempts show ----

    /// Notes a request that is sent to a back end, which copies what it lacks
    /// from `source`. Returns the prompt tokens that it has yet to read for it.
    pub fn sent(
        &mut self,
        id: &BackendId,
        prompt: Option<&Prompt>,
        source: Option<&BackendId>,
        now: Millis,
    ) -> u64 {
        let Some(backend) = self.backends.get_mut(id) else {
            return 0;
        };
        backend.breaker.sent();
        let Some(prompt) = prompt else {
            backend.load.sent(0, 0);
            return 0;
        };
        let unread = unread_tokens(&self.residency, id, prompt, source, now);
        backend.load.sent(unread, prompt.held_tokens());
        self.residency
            .entry(id.clone())
            .or_default()
            .note_sent(prompt, now);
        unread
    }

    /// Prompt tokens that a back end would have to read, with what it copies
    /// from `source`.
    pub fn unread_tokens(
        &self,
        id: &BackendId,
        prompt: &Prompt,
        source: Option<&BackendId>,
        now: Millis,
    ) -> u64 {
        unread_tokens(&self.residency, id, prompt, source, now)
    }

    /// Notes a request that goes on from a KV cache at a back end.
    pub fn handed_over(&mut self, id: &BackendId, prompt: &Prompt, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.sent();
            backend.load.sent(0, prompt.held_tokens());
            self.residency
                .entry(id.clone())
                .or_default()
                .note_sent(prompt, now);
        }
    }

    /// Longest time that a reader should take for a prompt of which it has
    /// `unread` tokens to read, with what is queued there.
    pub fn reading_patience(&self, id: &BackendId, unread: u64, now: Millis) -> Millis {
        let backend = self.backends.get(id);
        let queued = backend.map_or(0, |backend| backend.load.unread_tokens(now));
        self.pace.patience(queued.max(unread))
    }

    /// Notes how long the reading of a prompt took.
    pub fn note_pace(&mut self, unread: u64, took: Millis) {
        self.pace.note(unread, took);
    }

    /// Notes that a back end was silent for too long.
    pub fn silent(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.silent(now);
        }
    }

    /// Notes that a prompt was read.
    pub fn read(&mut self, id: &BackendId, unread: u64) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.read(unread);
        }
    }

    /// Notes that an engine holds a prompt: it has read it, or took it over.
    pub fn holds(&mut self, id: &BackendId, prompt: &Prompt, now: Millis) {
        if !self.backends.contains_key(id) {
            return;
        }
        let residency = self.residency.entry(id.clone()).or_default();
        let news = residency.note_read(prompt, now);
        let room = MOST_NEWS.saturating_sub(self.news.len());
        let copy = |prefix| PromptCopy {
            prefix,
            backend: id.clone(),
        };
        self.news.extend(news.into_iter().take(room).map(copy));
    }

    /// Notes that a request is over at a back end, whatever its outcome.
    pub fn ended(&mut self, id: &BackendId, prompt: Option<&Prompt>) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.ended(prompt.map_or(0, Prompt::held_tokens));
        }
    }

    /// Takes a load report.
    pub fn told(&mut self, id: &BackendId, report: LoadReport, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.load.told(report, now);
        }
    }

    /// Notes a whole answer.
    pub fn succeeded(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.succeeded();
        }
    }

    /// Notes a request that ended without a verdict on the back end.
    pub fn released(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.released();
        }
    }

    /// Notes a failure to connect, or a broken or failed answer.
    pub fn failed(&mut self, id: &BackendId, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.breaker.failed(now);
        }
    }

    /// Notes that a back end said it leaves, or that another one stands at its
    /// address.
    pub fn gone(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.gone = true;
        }
    }
}

fn unread_tokens(
    residency: &BTreeMap<BackendId, Residency>,
    id: &BackendId,
    prompt: &Prompt,
    source: Option<&BackendId>,
    now: Millis,
) -> u64 {
    let prefixes = prompt.prefixes();
    let held = residency.get(id);
    let held = held.map_or(0, |residency| residency.held_tokens(&prefixes, now));
    let copied = source.and_then(|source| residency.get(source));
    let copied = copied.map_or(0, |residency| residency.copyable_tokens(&prefixes, now));
    prompt.tokens.saturating_sub(held.max(copied))
}
