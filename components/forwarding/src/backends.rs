//! A gateway's estimate of the state of one back end.

use garnet_control::{BackendRecord, BackendRegistration, Backlog, PriorityCounts, UNKNOWN_START};
use garnet_routing::{Availability, CircuitBreaker};
use garnet_types::{BackendId, BackendKind, BuildId, EngineRole, Millis};

use crate::connections::ConnectionShare;
use crate::peer_load::PeerLoad;
use crate::work::Prompt;

/// A load report older than this is ignored.
const REPORT_LIFETIME: Millis = Millis(2000);
/// How long the leader's statement that a back end fails holds without being renewed.
const FAILING_LIFETIME: Millis = Millis::from_secs(3);

/// The load that a back end reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that may run at once.
    pub slots: u64,
}

#[derive(Debug, Clone, Copy)]
struct TimedReport {
    report: LoadReport,
    at: Millis,
    own_at_report: u64,
}

/// Load of a back end: this gateway's own work, the work that peer gateways report, and
/// the last report of the back end itself.
#[derive(Debug, Clone, Default)]
pub struct BackendLoad {
    own: PriorityCounts,
    own_uncached: PriorityCounts,
    own_held_tokens: u64,
    /// Likely output of own requests.
    own_output_tokens: u64,
    peers: PeerLoad,
    last_report: Option<TimedReport>,
}

impl BackendLoad {
    /// Estimated number of requests that run or wait.
    pub fn requests(&self, now: Millis) -> u64 {
        let own = self.own.total();
        let counted = own + self.peers.requests(now);
        let reported = self.fresh_report(now).map_or(0, |timed| {
            let all_then = timed.report.running + timed.report.waiting;
            all_then.saturating_sub(timed.own_at_report) + own
        });
        counted.max(reported)
    }

    /// Estimated prompt tokens that are still to be prefilled.
    pub fn uncached_tokens(&self, now: Millis) -> u64 {
        self.own_uncached.total() + self.peers.uncached(now).total()
    }

    /// Estimated uncached tokens that are prefilled before a new request of this engine
    /// priority.
    pub fn tokens_ahead_of(&self, engine_priority: u8, now: Millis) -> u64 {
        self.own_uncached.ahead_of(engine_priority)
            + self.peers.uncached(now).ahead_of(engine_priority)
    }

    /// The tokens of [`Self::tokens_ahead_of`] that belong to peer gateways' requests, as
    /// the leader reported them.
    pub(crate) fn peer_tokens_ahead_of(&self, engine_priority: u8, now: Millis) -> u64 {
        self.peers.uncached(now).ahead_of(engine_priority)
    }

    /// Age of the leader's last report about peer gateways.
    pub(crate) fn peer_load_age(&self, now: Millis) -> Millis {
        self.peers.age(now)
    }

    /// Estimated tokens of KV cache that requests in flight hold.
    pub fn held_tokens(&self, now: Millis) -> u64 {
        self.own_held_tokens + self.peers.held_tokens(now)
    }

    /// Own work in flight at `backend`, to be reported to peer gateways.
    pub fn own_backlog(&self, backend: &BackendId) -> Option<Backlog> {
        let any = self.own.total() > 0 || self.own_uncached.total() > 0;
        any.then(|| Backlog {
            backend: backend.clone(),
            requests: self.own.total(),
            uncached: self.own_uncached,
            held_tokens: self.own_held_tokens,
        })
    }

    /// Adds a request that is sent with this engine priority.
    pub fn sent(&mut self, engine_priority: u8, uncached_tokens: u64, prompt: Option<&Prompt>) {
        self.own.add(engine_priority, 1);
        self.own_uncached.add(engine_priority, uncached_tokens);
        self.own_held_tokens += prompt.map_or(0, Prompt::held_tokens);
        self.own_output_tokens += prompt.map_or(0, Prompt::likely_output);
    }

    /// Removes the uncached tokens of a request whose prompt was prefilled.
    pub fn prefilled(&mut self, engine_priority: u8, uncached_tokens: u64) {
        self.own_uncached.remove(engine_priority, uncached_tokens);
    }

    /// Removes a request that ended.
    pub fn ended(&mut self, engine_priority: u8, prompt: Option<&Prompt>) {
        let held = prompt.map_or(0, Prompt::held_tokens);
        let output = prompt.map_or(0, Prompt::likely_output);
        self.own.remove(engine_priority, 1);
        self.own_held_tokens = self.own_held_tokens.saturating_sub(held);
        self.own_output_tokens = self.own_output_tokens.saturating_sub(output);
    }

    /// Mean output of own requests in flight. Long requests are in flight for longer and
    /// are sampled more often.
    pub fn mean_output_tokens(&self) -> f64 {
        self.own_output_tokens as f64 / self.own.total().max(1) as f64
    }

    /// Own requests in flight, by engine priority.
    pub fn own_by_priority(&self) -> PriorityCounts {
        self.own
    }

    /// Stores a report of the back end.
    pub fn note_report(&mut self, report: LoadReport, now: Millis) {
        self.last_report = Some(TimedReport {
            report,
            at: now,
            own_at_report: self.own.total(),
        });
    }

    /// What peer gateways have in flight.
    pub(crate) fn peers_mut(&mut self) -> &mut PeerLoad {
        &mut self.peers
    }

    /// Forgets the last report of the back end.
    fn forget_report(&mut self) {
        self.last_report = None;
    }

    fn fresh_report(&self, now: Millis) -> Option<&TimedReport> {
        let fresh = |timed: &&TimedReport| now.since(timed.at) <= REPORT_LIFETIME;
        self.last_report.as_ref().filter(fresh)
    }
}

/// One back end.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Its registration.
    pub registration: BackendRegistration,
    /// Its start (incarnation), if known.
    pub start: u64,
    /// Phases that an engine serves; `None` for an application.
    pub role: Option<EngineRole>,
    /// Whether the configuration lets it take new work.
    pub takes_work: bool,
    /// Set when it reported that it leaves, or when another back end answered at its
    /// address.
    pub gone: bool,
    /// Its health, as seen by own requests.
    pub breaker: CircuitBreaker,
    /// Whether it takes requests, by its own reports.
    pub(crate) availability: Availability,
    /// When the leader last reported that requests of several gateways fail there.
    pub(crate) failing_at: Option<Millis>,
    /// Whether this gateway is the one that probes the back end while it fails.
    pub(crate) may_probe: bool,
    /// Whether it reported a rate limit. Spares looking up all others: of thousands of
    /// engines a few have one.
    pub(crate) has_limit: bool,
    /// Build of an engine's software, if the leader has sent it.
    pub build: Option<BuildId>,
    /// Connections that this gateway may have to it.
    pub(crate) connections: ConnectionShare,
    /// Its load.
    pub load: BackendLoad,
}

impl Backend {
    /// Creates a back end of which only the record is known.
    pub fn new(record: &BackendRecord) -> Self {
        let mut backend = Backend {
            registration: record.registration.clone(),
            start: UNKNOWN_START,
            role: None,
            takes_work: false,
            gone: false,
            breaker: CircuitBreaker::default(),
            availability: Availability::default(),
            failing_at: None,
            may_probe: false,
            has_limit: false,
            build: None,
            connections: ConnectionShare::unbounded(),
            load: BackendLoad::default(),
        };
        backend.update(record);
        backend
    }

    /// Applies a newer record. Returns `true` if it belongs to another start of the
    /// back end, whose caches and state are empty; own requests in flight at the previous
    /// start end by themselves.
    pub fn update(&mut self, record: &BackendRecord) -> bool {
        self.registration = record.registration.clone();
        self.takes_work = record.takes_work();
        self.role = match record.registration.kind {
            BackendKind::Application => None,
            BackendKind::Engine => record.assignment().map(|assignment| assignment.role),
        };
        let new_start = record.start();
        let before = std::mem::replace(&mut self.start, new_start);
        let has_restarted =
            before != new_start && before != UNKNOWN_START && new_start != UNKNOWN_START;
        if has_restarted {
            self.gone = false;
            self.breaker = CircuitBreaker::default();
            self.availability.reset();
            self.failing_at = None;
            self.load.forget_report();
        }
        has_restarted
    }

    /// Whether a new request may be sent to it.
    pub fn is_open(&self, now: Millis, ignore_failures: bool) -> bool {
        let healthy = self.breaker.allows(now) && !self.is_failing(now);
        self.is_in_service(now) && self.availability.allows(now) && (ignore_failures || healthy)
    }

    /// Whether it takes requests at all, now or after a backoff.
    pub fn is_in_service(&self, now: Millis) -> bool {
        self.takes_work && !self.gone && !self.availability.is_draining(now)
    }

    /// Whether this gateway has a connection for one more request.
    pub(crate) fn has_connection(&self) -> bool {
        self.load.own_by_priority().total() < self.connections.in_use
    }

    /// Whether it is an engine that decodes.
    pub(crate) fn generates(&self) -> bool {
        self.role.is_some_and(EngineRole::generates)
    }

    /// Whether the leader reports it as failing and another gateway probes it.
    fn is_failing(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now.since(at) <= FAILING_LIFETIME;
        !self.may_probe && self.failing_at.is_some_and(is_recent)
    }
}
