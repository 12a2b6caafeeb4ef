//! Reports to the leader whether this gateway relays requests of its peers.

use std::cell::RefCell;
use std::net::SocketAddr;

use garnet_control::RelayReport;
use garnet_types::{GatewayId, Millis};

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};

/// Time between two reports that are equal. The leader forgets a gateway that is silent for
/// three times as long.
const REPORT_INTERVAL: Millis = Millis::from_secs(1);

/// What the gateway reported last.
pub(crate) struct RelayReports {
    id: GatewayId,
    zone: String,
    /// Where it takes requests of peer gateways.
    address: Option<SocketAddr>,
    last: RefCell<Option<(Millis, RelayReport)>>,
}

impl RelayReports {
    pub(crate) fn new(id: GatewayId, zone: String, address: Option<SocketAddr>) -> Self {
        RelayReports {
            id,
            zone,
            address,
            last: RefCell::default(),
        }
    }

    /// The report to send now, if there is news or the last one is old.
    pub(crate) fn next<C: CallerPort, B: BackendPort>(
        &self,
        gateway: &Gateway<C, B>,
    ) -> Option<RelayReport> {
        let now = gateway.now();
        let report = RelayReport {
            gateway: self.id.clone(),
            zone: self.zone.clone(),
            address: self.address.filter(|_| gateway.is_ready()),
            unreached: gateway.forwarder.borrow().unreached_services(),
        };
        let mut last = self.last.borrow_mut();
        let is_old = |(at, last): &(Millis, RelayReport)| {
            *last != report || now.since(*at) >= REPORT_INTERVAL
        };
        if !last.as_ref().is_none_or(is_old) {
            return None;
        }
        *last = Some((now, report.clone()));
        Some(report)
    }

    /// Has the next report sent at once: a new connection may lead to another leader.
    pub(crate) fn on_connected(&self) {
        self.last.take();
    }
}
