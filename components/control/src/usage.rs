//! How many requests of each tenant began to run, by window of true time.
//!
//! Gateways hand their counts in again and again until they stand in the log;
//! counts are totals of a gateway's life, so the largest one holds whatever
//! the order. A window is closed by a command of the log: from then on what is
//! told of it never changes, whoever tells it and how often.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{GatewayId, Millis, TenantId, UsageWindow};
use serde::{Deserialize, Serialize};

/// Closed windows that are kept until they are told. At windows of 5 s it is
/// ten minutes: a platform that is away for longer loses the oldest ones.
const MOST_CLOSED: usize = 120;
/// Windows that one command closes at most: those that passed while there was
/// no leader.
const MOST_CLOSED_AT_ONCE: u64 = 24;

/// How often counts are handed on, by a gateway to the leader and by the leader
/// to the log, in microseconds for each gateway: what all of them take along when
/// everything loses its power at once. Each of 80 gateways tells ten times a
/// second, which bounds that to a fifth of a second; of 400 twice.
const INTERVAL_PER_GATEWAY_US: u64 = 1250;
const SHORTEST_INTERVAL: Millis = Millis(100);
const LONGEST_INTERVAL: Millis = Millis(500);

/// How often counts are handed on where there are so many gateways.
pub fn usage_interval(gateways: u64) -> Millis {
    let interval = Millis(gateways.saturating_mul(INTERVAL_PER_GATEWAY_US) / 1000);
    interval.clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
}

/// Requests of a tenant that began to run at one gateway in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The window.
    pub window: UsageWindow,
    /// The tenant.
    pub tenant: TenantId,
    /// All that the gateway counted so far.
    pub requests: u64,
}

/// What a gateway counted and does not know to be in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The gateway, unique for each start of the process.
    pub gateway: GatewayId,
    /// Rises with each report of this gateway.
    pub number: u64,
    /// The counts that changed since the last report known to be in the log.
    pub counts: Vec<UsageCount>,
}

/// What the leader answers to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Number of the gateway's last report that stands in the log.
    pub logged: u64,
    /// Windows up to here are closed: what was not logged before is lost.
    pub closed_through: Option<UsageWindow>,
    /// The time of day by which windows go: the median of all clocks.
    pub time: Millis,
}

/// Requests by tenant in one window: what is told of it.
pub type WindowCounts = BTreeMap<TenantId, u64>;

/// Counts of the windows that are open, and of those that are yet to be told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    open: BTreeMap<UsageWindow, BTreeMap<GatewayId, WindowCounts>>,
    /// Number of the last report of each gateway that counted in an open window
    /// or in one of those that were closed last.
    logged: BTreeMap<GatewayId, u64>,
    closed: BTreeMap<UsageWindow, WindowCounts>,
    closed_through: Option<UsageWindow>,
}

impl Usage {
    /// Takes a report.
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
        let earliest = window.before(MOST_CLOSED_AT_ONCE - 1);
        let first = match self.closed_through {
            Some(through) => through.next().max(earliest),
            None => self
                .first_open()
                .map_or(window, |open| open.clamp(earliest, window)),
        };
        let mut heard = BTreeSet::new();
        for number in first.0..=window.0 {
            let window = UsageWindow(number);
            let gateways = self.open.remove(&window).unwrap_or_default();
            heard.extend(gateways.keys().cloned());
            self.closed.insert(window, sum(gateways.into_values()));
        }
        self.closed_through = Some(window);
        self.open.retain(|open, _| *open > window);
        while self.closed.len() > MOST_CLOSED {
            self.closed.pop_first();
        }
        // Who counted in what is closed now has yet to hear that it is logged.
        heard.extend(self.open.values().flat_map(BTreeMap::keys).cloned());
        self.logged.retain(|gateway, _| heard.contains(gateway));
    }

    /// The platform has taken what is told of `window`.
    pub(crate) fn mark_reported(&mut self, window: UsageWindow) {
        self.closed.remove(&window);
    }

    /// Number of the last report of a gateway that stands in the log; zero
    /// where none of its counts is open.
    pub fn logged(&self, gateway: &GatewayId) -> u64 {
        self.logged.get(gateway).copied().unwrap_or_default()
    }

    /// The last window that is closed.
    pub fn closed_through(&self) -> Option<UsageWindow> {
        self.closed_through
    }

    /// Windows that are closed and not told, the oldest first.
    pub fn unreported(&self) -> &BTreeMap<UsageWindow, WindowCounts> {
        &self.closed
    }

    /// Windows that gateways have counted in and that are not closed.
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
