//! Counts the requests that began to run, by tenant and by window of the leader's time.
//!
//! A count is reported repeatedly until the leader acknowledges that it is in the log.
//! Windows follow the leader's time of day, which is the median of all clocks: this
//! gateway's own clock may jump.

use std::collections::BTreeMap;

use garnet_control::{UsageCount, UsageReceipt, UsageReport};
use garnet_types::{GatewayId, Millis, TenantId, UsageWindow};

/// Requests of one tenant in one window.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u64,
    /// How many of them are known to be in the log.
    logged: u64,
    /// Number of the first report that contained the current count.
    first_report: Option<u64>,
}

/// The usage meter of one gateway.
#[derive(Debug)]
pub struct UsageMeter {
    gateway: GatewayId,
    window_length: Millis,
    /// The leader's time of day minus this process's clock.
    clock_behind_ms: i64,
    counts: BTreeMap<(UsageWindow, TenantId), Count>,
    /// Number of the last report.
    number: u64,
}

impl UsageMeter {
    /// Creates the meter of a gateway for windows of this length.
    pub fn new(gateway: GatewayId, window_length: Millis) -> Self {
        UsageMeter {
            gateway,
            window_length,
            clock_behind_ms: 0,
            counts: BTreeMap::new(),
            number: 0,
        }
    }

    /// Counts a request of `tenant` that began to run at `began`, by this process's
    /// clock.
    pub fn note(&mut self, tenant: &TenantId, began: Millis) {
        let time = Millis(began.0.saturating_add_signed(self.clock_behind_ms));
        let window = UsageWindow::at(time, self.window_length);
        let count = self.counts.entry((window, tenant.clone())).or_default();
        count.requests += 1;
        count.first_report = None;
    }

    /// Whether some requests are not known to be in the log.
    pub fn has_unlogged(&self) -> bool {
        self.counts.values().any(Count::is_unlogged)
    }

    /// Number of requests that are not known to be in the log: they are lost if this
    /// process ends.
    pub fn unlogged(&self) -> u64 {
        self.counts.values().map(Count::unlogged).sum()
    }

    /// Returns the next report.
    pub fn report(&mut self) -> UsageReport {
        self.number += 1;
        let number = self.number;
        let unlogged_counts = self
            .counts
            .iter_mut()
            .filter(|(_, count)| count.is_unlogged());
        let to_usage_count = |((window, tenant), count): (&(UsageWindow, TenantId), &mut Count)| {
            count.first_report.get_or_insert(number);
            UsageCount {
                window: *window,
                tenant: tenant.clone(),
                requests: count.requests,
            }
        };
        UsageReport {
            gateway: self.gateway.clone(),
            number,
            counts: unlogged_counts.map(to_usage_count).collect(),
        }
    }

    /// Applies the leader's receipt, which arrived at `now`. Returns the number of requests
    /// that came too late for their window and are dropped.
    pub fn on_receipt(&mut self, receipt: &UsageReceipt, now: Millis) -> u64 {
        self.clock_behind_ms = receipt.time.0 as i64 - now.0 as i64;
        for count in self.counts.values_mut() {
            if count
                .first_report
                .is_some_and(|number| number <= receipt.logged)
            {
                count.logged = count.requests;
            }
        }
        let Some(closed) = receipt.closed_through else {
            return 0;
        };
        let open = self.counts.split_off(&(closed.next(), TenantId::default()));
        let closed = std::mem::replace(&mut self.counts, open);
        closed.values().map(Count::unlogged).sum()
    }
}

impl Count {
    fn unlogged(&self) -> u64 {
        self.requests - self.logged
    }

    fn is_unlogged(&self) -> bool {
        self.unlogged() > 0
    }
}
