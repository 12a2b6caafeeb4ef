//! Gateways that count the requests that start, and report them to the leader.

use garnet_control::{ControlReply, UsageReport};
use garnet_forwarding::UsageMeter;
use garnet_types::{GatewayId, Millis, TenantId};

/// Interval between two reports of a gateway.
const REPORT_INTERVAL: Millis = Millis(250);
/// A gateway reports to the next machine after it has received no reply for this time.
const REPLY_TIMEOUT: Millis = Millis(1200);

pub struct MeteringGateway {
    meter: UsageMeter,
    reported_at: Millis,
    received_at: Millis,
    /// Counter whose remainder by the number of machines is the machine that it reports to.
    pub target: usize,
    /// Requests that were counted too late for their window.
    pub late_requests: u64,
}

impl MeteringGateway {
    pub fn new(id: String, window_length: Millis, now: Millis) -> Self {
        MeteringGateway {
            meter: UsageMeter::new(GatewayId::new(id), window_length),
            reported_at: Millis::ZERO,
            received_at: now,
            target: 0,
            late_requests: 0,
        }
    }

    pub fn start_request(&mut self, tenant: &str, now: Millis) {
        self.meter.note(&TenantId::new(tenant), now);
    }

    /// Requests that are not known to be in the log, and would be lost if the gateway was
    /// killed.
    pub fn unlogged(&self) -> u64 {
        self.meter.unlogged()
    }

    /// The next report, if one is due.
    pub fn report(&mut self, now: Millis) -> Option<UsageReport> {
        if now.since(self.received_at) >= REPLY_TIMEOUT {
            self.switch_target(now);
        }
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(self.meter.report())
    }

    pub fn handle_reply(&mut self, reply: &ControlReply, now: Millis) {
        match reply {
            ControlReply::Usage(receipt) => {
                self.received_at = now;
                self.late_requests += self.meter.on_receipt(receipt, now);
            }
            ControlReply::NotLeader { .. } => self.switch_target(now),
            _ => {}
        }
    }

    fn switch_target(&mut self, now: Millis) {
        self.target += 1;
        self.received_at = now;
        self.reported_at = Millis::ZERO;
    }
}
