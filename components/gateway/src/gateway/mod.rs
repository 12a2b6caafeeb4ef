//! The state of the gateway and its entry points.

mod answers;
mod arrival;
mod attempts;
mod availability;
mod control;
mod limits;
mod quarantine;
mod stopping;
mod ticks;

use std::collections::{BTreeMap, BTreeSet};

use garnet_control::{ClaimRequest, PoolMix};
use garnet_limits::GatewayLimits;
use garnet_quarantine::CrashLog;
use garnet_routing::{RecentSet, RetryBudget, TokenBucket, WaitingQueue};
use garnet_types::{
    BackendId, ClaimId, Millis, ModelId, OutcomeCode, RequestId, ServiceId, TenantId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::backends::Backends;
use crate::configuration::WatchedConfiguration;
use crate::effects::{AttemptId, Effect, Event};
use crate::request::Request;
use crate::settings::GatewaySettings;

pub(crate) use limits::AwaitedPermit;

/// Retry time for callers when the gateway itself can't accept requests.
const SHORT_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Full token buckets are removed each time the number of buckets has grown by this much.
const BUCKET_CLEANUP_STEP: usize = 8192;
/// A refused request that is sent again within this time doesn't count as new demand.
const RESEND_WINDOW: Millis = Millis::from_secs(60);
/// Maximum number of refused requests remembered in one window.
const MAX_REMEMBERED_REFUSALS: usize = 16 * 1024;

/// Counters of the gateway since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub calls: u64,
    /// Requests answered completely.
    pub completed: u64,
    /// Refusals by code.
    pub refused: BTreeMap<OutcomeCode, u64>,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Streams resumed at another engine.
    pub resumed: u64,
    /// Policy conditions whose evaluation failed.
    pub policy_failures: u64,
    /// Times that the view of a prefix cache was discarded because cache events were missing.
    pub cache_event_gaps: u64,
}

/// A pool: the engines of one service with one model.
type Pool = (ServiceId, ModelId);

/// The state machine of one gateway.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) watched: WatchedConfiguration,
    pub(crate) backends: Backends,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) attempts: BTreeMap<AttemptId, (RequestId, BackendId)>,
    pub(crate) waiting: WaitingQueue<RequestId>,
    pub(crate) budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(crate) unacknowledged_claims: BTreeMap<ClaimId, (ClaimRequest, Millis)>,
    pub(crate) random: Pcg64Mcg,
    pub(crate) counters: Counters,
    pub(crate) now: Millis,
    crash_log: CrashLog,
    limits: GatewayLimits,
    /// Number of gateways, as reported by the leader.
    gateway_count: u64,
    /// Counts requests, to decide which ones request a spare permit.
    spare_permit_counter: u64,
    timers: BTreeSet<(Millis, RequestId)>,
    buckets: BTreeMap<TenantId, TokenBucket>,
    bucket_cleanup_threshold: usize,
    offered: BTreeMap<Pool, PoolMix>,
    /// Requests that were recently refused with a retry time.
    recently_refused: RecentSet,
    effects: Vec<Effect>,
    next_attempt: u64,
    watch_sent_at: Option<Millis>,
    draining: bool,
    /// When the last requests are answered in a planned stop, if its end is known.
    stop_ends_at: Option<Millis>,
}

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(settings: GatewaySettings) -> Self {
        Gateway {
            watched: WatchedConfiguration::new(settings.highest_index),
            waiting: WaitingQueue::new(settings.waiting_capacity),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            backends: Backends::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            unacknowledged_claims: BTreeMap::new(),
            counters: Counters::default(),
            now: Millis::ZERO,
            crash_log: CrashLog::default(),
            limits: GatewayLimits::default(),
            gateway_count: 1,
            spare_permit_counter: 0,
            timers: BTreeSet::new(),
            buckets: BTreeMap::new(),
            bucket_cleanup_threshold: BUCKET_CLEANUP_STEP,
            offered: BTreeMap::new(),
            recently_refused: RecentSet::new(RESEND_WINDOW, MAX_REMEMBERED_REFUSALS),
            effects: Vec::new(),
            next_attempt: 0,
            watch_sent_at: None,
            draining: false,
            stop_ends_at: None,
            settings,
        }
    }

    /// Handles an event at the given time.
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Call(call) => self.on_call(call),
            Event::CallerDisconnected(request) => self.on_caller_disconnected(request),
            Event::Attempt(attempt, event) => self.handle_attempt(attempt, event),
            Event::Control(reply) => self.handle_control(reply),
            Event::LeaderConnected(version) => self.on_leader_connected(version),
            Event::ReportConnected => self.crash_log.on_leader_change(self.now),
            Event::ReportReply(reply) => self.handle_report_reply(reply),
            Event::Load(backend, report) => {
                if self.incarnation_of(&backend) < report.incarnation {
                    // A restarted back end has not reported a limit yet.
                    self.limits.forget(&backend);
                }
                self.backends.observe(&backend, &report, self.now);
                if let Some(record) = self.watched.configuration.backends.get(&backend) {
                    self.backends.update_start(record);
                }
                self.counters.cache_event_gaps = self.backends.prefixes.gaps;
                self.serve_waiting();
            }
            Event::IndexPersisted(index) => {
                self.watched.persisted_index = self.watched.persisted_index.max(index);
            }
            Event::Drain { ends_at } => {
                self.draining = true;
                self.stop_ends_at = ends_at;
            }
        }
    }

    /// Takes the effects produced since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Index of the current configuration.
    pub fn configuration_index(&self) -> u64 {
        self.watched.configuration.index
    }

    /// The current configuration.
    pub fn configuration(&self) -> &garnet_control::Configuration {
        &self.watched.configuration
    }

    /// Whether the gateway accepts new requests at `now`.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.watched.holds_lease(now) && !self.draining
    }

    /// Whether the process may exit after a planned stop began: all requests are answered and all
    /// results are recorded.
    pub fn is_drained(&self) -> bool {
        self.draining && self.requests.is_empty() && self.unacknowledged_claims.is_empty()
    }

    /// Number of requests without a final answer, or whose attempt continues so that its result
    /// is recorded.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests that wait for capacity.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Models that callers may request.
    pub fn models(&self) -> BTreeSet<ModelId> {
        let backends = self.watched.configuration.backends.values();
        backends
            .filter_map(|record| record.assignment())
            .map(|assignment| assignment.model.clone())
            .collect()
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}
