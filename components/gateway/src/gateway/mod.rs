//! The gateway's state and its entry points.

mod answers;
mod arrival;
mod attempts;
mod availability;
mod control;
mod limits;
mod quarantine;
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

/// Told to callers when the gateway itself can't take work.
const SHORT_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Buckets of tenants are looked through for full ones each time that so many
/// more are kept.
const BUCKET_CLEANUP_STEP: usize = 8192;
/// A refused request that comes back within this time is no new demand.
const RESEND_WINDOW: Millis = Millis::from_secs(60);
/// Most refused requests that are remembered in one window.
const MAX_REMEMBERED_REFUSALS: usize = 16 * 1024;

/// What a gateway has counted since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub calls: u64,
    /// Whole answers given.
    pub completed: u64,
    /// Refusals by code.
    pub refused: BTreeMap<OutcomeCode, u64>,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Streams that another engine took over.
    pub resumed: u64,
    /// Policy conditions that failed while they ran.
    pub policy_failures: u64,
    /// Times that the beliefs about a prefix cache were dropped for a gap.
    pub cache_event_gaps: u64,
}

/// A pool: engines of one service that hold one model.
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
    /// Gateways, as the leader counts them.
    gateway_count: u64,
    /// Requests that came so far.
    spare_permit_counter: u64,
    timers: BTreeSet<(Millis, RequestId)>,
    buckets: BTreeMap<TenantId, TokenBucket>,
    bucket_cleanup_threshold: usize,
    offered: BTreeMap<Pool, PoolMix>,
    /// Requests that were refused with a time to come back.
    recently_refused: RecentSet,
    effects: Vec<Effect>,
    next_attempt: u64,
    watch_sent_at: Option<Millis>,
    draining: bool,
}

impl Gateway {
    /// A gateway that knows no configuration yet.
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
            settings,
        }
    }

    /// Takes what happened.
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Call(call) => self.on_call(call),
            Event::CallerDisconnected(request) => self.on_caller_disconnected(request),
            Event::Attempt(attempt, event) => self.handle_attempt(attempt, event),
            Event::Control(reply) => self.handle_control(reply),
            Event::Load(backend, report) => {
                if self.incarnation_of(&backend) < report.incarnation {
                    // One that has started again has named nothing.
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
            Event::Drain => self.draining = true,
        }
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What was counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Configuration index that the gateway works by.
    pub fn configuration_index(&self) -> u64 {
        self.watched.configuration.index
    }

    /// The configuration that the gateway works by.
    pub fn configuration(&self) -> &garnet_control::Configuration {
        &self.watched.configuration
    }

    /// Whether new work may be taken at `now`.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.watched.holds_lease(now) && !self.draining
    }

    /// Whether a planned stop may end the process: every request has its
    /// answer and every result is recorded.
    pub fn is_drained(&self) -> bool {
        self.draining && self.requests.is_empty() && self.unacknowledged_claims.is_empty()
    }

    /// Requests without a final answer, and results that are being recorded.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait for room.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Models that callers may ask for.
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
