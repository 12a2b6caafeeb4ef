//! State that all requests of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use garnet_forwarding::{Forwarder, PathChange, RelayDirectory, UsageMeter};
use garnet_routes::CallerLimits;
use garnet_runtime::{ByteBudget, Clock, ConnectionPool, ConnectionTimeouts, Shared, Timers};
use garnet_types::{BackendId, Millis, TenantId};
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};

use crate::connection_queue::ConnectionQueue;
use crate::metrics::GatewayMetrics;
use crate::permits::PermitClient;
use crate::ports::{BackendPort, CallerPort};
use crate::stopping::StopEnd;
use crate::stream_builds::StreamBuilds;
use crate::unknown_headers::UnknownHeaders;
use crate::unmarked_ends::UnmarkedEnds;

/// Expected time until a gateway has its configuration, when the control group starts
/// together with its gateways: the group elects a leader, which then sends it.
const TIME_TO_CONFIGURATION: Millis = Millis(900);
/// Shortest Retry-After of requests that come before the configuration.
const MIN_CONFIGURATION_WAIT: Millis = Millis(250);

/// The state of a gateway process.
pub(crate) struct Gateway<C, B> {
    pub(crate) callers: C,
    pub(crate) backends: B,
    pub(crate) forwarder: RefCell<Forwarder>,
    /// Counts requests that begin to run; `None` if usage is not reported.
    pub(crate) usage: Option<RefCell<UsageMeter>>,
    pub(crate) pool: ConnectionPool,
    /// For the bytes that all requests of the process buffer.
    pub(crate) budget: ByteBudget,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) clock: Clock,
    pub(crate) timers: Timers,
    pub(crate) started_at: Millis,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) permits: PermitClient,
    /// Requests that wait for a connection to a back end.
    pub(crate) connections: ConnectionQueue,
    /// Unknown headers in answers of back ends.
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) unmarked_ends: UnmarkedEnds,
    pub(crate) stream_builds: StreamBuilds,
    /// Timeouts of callers' connections, from the route table in force.
    pub(crate) connection_timeouts: Shared<ConnectionTimeouts>,
    /// When the route table in force took effect.
    pub(crate) routes_since: Cell<Millis>,
    /// When a SIGHUP last reloaded the settings.
    pub(crate) reloaded_at: Shared<Option<Millis>>,
    /// When a planned stop that has begun answers the last requests. Answers ask callers to
    /// close their connections from its beginning on.
    pub(crate) stop_ends_at: Cell<Option<Millis>>,
    /// Open until shortly before the end of a planned stop.
    pub(crate) stop_end: StopEnd,
    /// Number of requests without their final answer.
    pub(crate) open_requests: Rc<Cell<usize>>,
    /// Number of these that peer gateways handed over.
    pub(crate) relayed_requests: Rc<Cell<usize>>,
    /// Wakes the child that sends probes.
    pub(crate) path_failed: Sender<()>,
    /// Receives what `path_failed` sends.
    pub(crate) path_failures: Receiver<()>,
    /// Peer gateways that relay requests for this one.
    pub(crate) relays: RefCell<RelayDirectory>,
}

/// Timeouts of callers' connections under these limits.
pub(crate) fn connection_timeouts(limits: CallerLimits) -> ConnectionTimeouts {
    ConnectionTimeouts {
        head: Duration::from_millis(limits.head_timeout_ms.0),
        idle: Duration::from_millis(limits.idle_timeout_ms.0),
    }
}

impl<C: CallerPort, B: BackendPort> Gateway<C, B> {
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Estimated time until a gateway that has just started has its configuration.
    pub(crate) fn expected_configuration_wait(&self, now: Millis) -> Millis {
        let running_for = now.since(self.started_at);
        (TIME_TO_CONFIGURATION - running_for).max(MIN_CONFIGURATION_WAIT)
    }

    /// Counts a request of the tenant that began to run at `began`.
    pub(crate) fn count_usage(&self, tenant: Option<&TenantId>, began: Millis) {
        if let (Some(usage), Some(tenant)) = (&self.usage, tenant) {
            usage.borrow_mut().note(tenant, began);
        }
    }

    /// Records that a back end has answered a request that was sent at `sent_at`.
    pub(crate) fn on_path_answered(&self, backend: &BackendId, sent_at: Millis) {
        let now = self.now();
        let mut forwarder = self.forwarder.borrow_mut();
        let changes = forwarder.path_answered(backend, sent_at, now);
        drop(forwarder);
        changes.iter().for_each(log_path_change);
    }

    /// Records that a connection to a back end failed; `may_be_crash` if a request was in flight
    /// on it.
    pub(crate) fn on_path_failed(&self, backend: &BackendId, may_be_crash: bool) {
        let now = self.now();
        let mut forwarder = self.forwarder.borrow_mut();
        let changes = forwarder.path_failed(backend, may_be_crash, now);
        drop(forwarder);
        // A child that is already awake needs no second signal.
        let _awake = self.path_failed.try_send(());
        changes.iter().for_each(log_path_change);
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_ends_at.get().is_some()
    }

    /// Whether the gateway is ready for new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.forwarder.borrow().routes_version().is_some()
    }
}

fn log_path_change(change: &PathChange) {
    match change {
        PathChange::Lost(path) => log::warn!(
            service = path.service.as_str(),
            phase = path.phase.as_str();
            "path_lost"
        ),
        PathChange::Regained { path, lost_for } => log::info!(
            service = path.service.as_str(),
            phase = path.phase.as_str(),
            lost_for_ms = lost_for.0;
            "path_regained"
        ),
    }
}
