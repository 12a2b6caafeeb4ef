//! How many requests of each tenant began to run, by window of wall-clock time.
//!
//! Gateways resend their counts until these are in the log. A count is the total since
//! the gateway's process started, so the largest one is right in whatever order reports
//! arrive. A log command closes a window: from then on the counts reported to the
//! platform for it never change, whichever replica reports them and however often.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{GatewayId, Millis, TenantId, UsageWindow};
use serde::{Deserialize, Serialize};

/// Maximum number of closed windows that are kept until they are reported. With windows of
/// 5 s this is ten minutes; during a longer outage of the platform the oldest are lost.
const MAX_CLOSED: usize = 120;
/// Maximum number of windows that one command closes, when windows ended while there was
/// no leader.
const MAX_CLOSED_AT_ONCE: u64 = 24;

/// Interval at which a gateway reports counts to the leader, and the leader writes them to
/// the log, in microseconds for each gateway. It bounds the counts that are lost when the
/// power of all machines fails at once. Each of 80 gateways reports ten times a second,
/// which bounds the loss to the last fifth of a second; each of 400 gateways reports twice
/// a second.
const INTERVAL_PER_GATEWAY_US: u64 = 1250;
const MIN_INTERVAL: Millis = Millis(100);
const MAX_INTERVAL: Millis = Millis(500);

/// Interval of usage reports with this number of gateways.
pub fn usage_interval(gateways: u64) -> Millis {
    let interval = Millis(gateways.saturating_mul(INTERVAL_PER_GATEWAY_US) / 1000);
    interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Requests of a tenant that began to run at one gateway in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The window.
    pub window: UsageWindow,
    /// The tenant.
    pub tenant: TenantId,
    /// Total number of requests so far.
    pub requests: u64,
}

/// Counts of a gateway that are not known to be in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The gateway; the id is unique for each start of the process.
    pub gateway: GatewayId,
    /// Increases with each report of this gateway.
    pub number: u64,
    /// The counts that changed since the last report known to be in the log.
    pub counts: Vec<UsageCount>,
}

/// The leader's answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Number of the gateway's last report that is in the log.
    pub logged: u64,
    /// The last closed window. Counts of closed windows that are not in the log are lost.
    pub closed_through: Option<UsageWindow>,
    /// The time of day that windows are based on: the median of all clocks.
    pub time: Millis,
}

/// Requests by tenant in one window, as reported to the platform.
pub type WindowCounts = BTreeMap<TenantId, u64>;

/// Counts of the open windows and of the closed windows that are not reported yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    open: BTreeMap<UsageWindow, BTreeMap<GatewayId, WindowCounts>>,
    /// Number of the last report of each gateway that has counts in an open window or in
    /// one of the windows that were closed last.
    logged: BTreeMap<GatewayId, u64>,
    closed: BTreeMap<UsageWindow, WindowCounts>,
    closed_through: Option<UsageWindow>,
}

impl Usage {
    /// Adds a report.
    pub(crate) fn count(&mut self, report: &UsageReport) {
        let logged = self.logged.entry(report.gateway.clone()).or_default();
        *logged = report.number.max(*logged);
        for count in &report.counts {
            if self.is_closed(count.window) {
                continue;
            }
            let gateways = self.open.entry(count.window).or_default();
            let tenants = gateways.entry(report.gateway.clone()).or_default();
            let requests = tenants.entry(count.tenant.clone()).or_default();
            *requests = count.requests.max(*requests);
        }
    }

    /// Closes `window` and all before it.
    pub(crate) fn close(&mut self, window: UsageWindow) {
        if self.is_closed(window) {
            return;
        }
        let earliest = window.before(MAX_CLOSED_AT_ONCE - 1);
        let first = match self.closed_through {
            Some(through) => through.next().max(earliest),
            None => self
                .first_open()
                .map_or(window, |open| open.clamp(earliest, window)),
        };
        let mut counted = BTreeSet::new();
        for number in first.0..=window.0 {
            let window = UsageWindow(number);
            let gateways = self.open.remove(&window).unwrap_or_default();
            counted.extend(gateways.keys().cloned());
            self.closed.insert(window, sum(gateways.into_values()));
        }
        self.closed_through = Some(window);
        self.open.retain(|open, _| *open > window);
        while self.closed.len() > MAX_CLOSED {
            self.closed.pop_first();
        }
        // Gateways with counts in the windows closed now still need the receipt for them.
        counted.extend(self.open.values().flat_map(BTreeMap::keys).cloned());
        self.logged.retain(|gateway, _| counted.contains(gateway));
    }

    /// Removes a window whose report the platform has accepted.
    pub(crate) fn mark_reported(&mut self, window: UsageWindow) {
        self.closed.remove(&window);
    }

    /// Number of the last report of a gateway that is in the log; zero if it has no counts
    /// in open or recently closed windows.
    pub fn logged(&self, gateway: &GatewayId) -> u64 {
        self.logged.get(gateway).copied().unwrap_or_default()
    }

    /// The last window that is closed.
    pub fn closed_through(&self) -> Option<UsageWindow> {
        self.closed_through
    }

    /// Closed windows that are not reported yet, oldest first.
    pub fn unreported(&self) -> &BTreeMap<UsageWindow, WindowCounts> {
        &self.closed
    }

    /// Number of open windows that have counts.
    pub fn open_windows(&self) -> usize {
        self.open.len()
    }

    fn is_closed(&self, window: UsageWindow) -> bool {
        self.closed_through.is_some_and(|through| window <= through)
    }

    fn first_open(&self) -> Option<UsageWindow> {
        self.open.keys().next().copied()
    }
}

fn sum(gateways: impl Iterator<Item = WindowCounts>) -> WindowCounts {
    let mut total = WindowCounts::new();
    for (tenant, requests) in gateways.flatten() {
        *total.entry(tenant).or_default() += requests;
    }
    total
}
