//! What all requests of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use garnet_forwarding::{Forwarder, UsageMeter};
use garnet_routes::CallerLimits;
use garnet_runtime::{Clock, ConnectionPool, ConnectionTimeouts, Shared, Timers};
use garnet_types::{Millis, TenantId};
use smol::LocalExecutor;

use crate::connection_queue::ConnectionQueue;
use crate::metrics::GatewayMetrics;
use crate::permits::PermitDesk;
use crate::ports::{BackendPort, CallerPort};
use crate::unknown_names::UnknownNames;

/// Time in which a group that starts together with its gateways elects a
/// leader, which then sends them the configuration.
const TIME_TO_CONFIGURATION: Millis = Millis(900);
/// Shortest wait that callers are told.
const SHORTEST_WAIT: Millis = Millis(250);

/// The process.
pub(crate) struct Gateway<C, B> {
    pub(crate) callers: C,
    pub(crate) backends: B,
    pub(crate) forwarder: RefCell<Forwarder>,
    /// Counts what begins to run, where usage is told.
    pub(crate) usage: Option<RefCell<UsageMeter>>,
    pub(crate) pool: ConnectionPool,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) clock: Clock,
    pub(crate) timers: Timers,
    pub(crate) started_at: Millis,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) permits: PermitDesk,
    /// Requests that wait for a connection to a back end.
    pub(crate) connections: ConnectionQueue,
    /// Unknown header names in answers of back ends.
    pub(crate) unknown_names: UnknownNames,
    /// Bounds on the time of callers' connections, by the route table in force.
    pub(crate) connection_times: Shared<ConnectionTimeouts>,
    /// Since when the route table in force has been so.
    pub(crate) routes_since: Cell<Millis>,
    /// Set by a planned stop, with the end of its grace time: callers are asked
    /// to leave.
    pub(crate) gone_by: Cell<Option<Millis>>,
    /// Requests without their final answer.
    pub(crate) open_requests: Rc<Cell<usize>>,
}

/// Bounds on the time of a caller's connection.
pub(crate) fn connection_times(limits: CallerLimits) -> ConnectionTimeouts {
    ConnectionTimeouts {
        head: Duration::from_millis(limits.head_timeout_ms.0),
        idle: Duration::from_millis(limits.idle_timeout_ms.0),
    }
}

impl<C: CallerPort, B: BackendPort> Gateway<C, B> {
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// When a gateway that has just started will probably have its
    /// configuration.
    pub(crate) fn expected_configuration(&self, now: Millis) -> Millis {
        let running_for = now.since(self.started_at);
        (TIME_TO_CONFIGURATION - running_for).max(SHORTEST_WAIT)
    }

    /// A request began to run at `began`.
    pub(crate) fn note_begun(&self, tenant: Option<&TenantId>, began: Millis) {
        if let (Some(usage), Some(tenant)) = (&self.usage, tenant) {
            usage.borrow_mut().note(tenant, began);
        }
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.gone_by.get().is_some()
    }

    /// Whether new callers may come.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.forwarder.borrow().routes_version().is_some()
    }
}
