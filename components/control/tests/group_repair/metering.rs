//! Gateways that count what begins to run, and report it to the leader.

use garnet_control::{ControlReply, UsageReport};
use garnet_forwarding::UsageMeter;
use garnet_types::{GatewayId, Millis, TenantId};

/// How often a gateway reports.
const REPORT_INTERVAL: Millis = Millis(250);
/// A machine that answers nothing for so long is left for the next one.
const SILENCE: Millis = Millis(1200);

pub struct MeteringGateway {
    meter: UsageMeter,
    reported_at: Millis,
    heard_at: Millis,
    /// The machine that it reports to, counted on.
    pub asks: usize,
    /// Requests that came too late for their window.
    pub lost: u64,
}

impl MeteringGateway {
    pub fn new(id: String, window_length: Millis, now: Millis) -> Self {
        MeteringGateway {
            meter: UsageMeter::new(GatewayId::new(id), window_length),
            reported_at: Millis::ZERO,
            heard_at: now,
            asks: 0,
            lost: 0,
        }
    }

    pub fn begin(&mut self, tenant: &str, now: Millis) {
        self.meter.note(&TenantId::new(tenant), now);
    }

    /// Requests that are not known to be in the log: what a kill takes along.
    pub fn unlogged(&self) -> u64 {
        self.meter.unlogged()
    }

    /// The next report, when it is time for one.
    pub fn report(&mut self, now: Millis) -> Option<UsageReport> {
        if now.since(self.heard_at) >= SILENCE {
            self.turn_elsewhere(now);
        }
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(self.meter.report())
    }

    pub fn hear(&mut self, reply: &ControlReply, now: Millis) {
        match reply {
            ControlReply::Usage(receipt) => {
                self.heard_at = now;
                self.lost += self.meter.take(receipt, now);
            }
            ControlReply::NotLeader { .. } => self.turn_elsewhere(now),
            _ => {}
        }
    }

    fn turn_elsewhere(&mut self, now: Millis) {
        self.asks += 1;
        self.heard_at = now;
        self.reported_at = Millis::ZERO;
    }
}
