//! Report connections: a gateway before a leader of an earlier build reports the runs that
//! ended with their engine to a replica of the current build.

use garnet_control::{ControlReply, Event as ControlEvent, GatewayRequest};
use garnet_gateway::Event as GatewayEvent;
use garnet_quarantine::RunReport;
use garnet_types::{EncodingVersion, Millis};

use crate::message::{Host, Message};

use super::World;

/// Time between two reports.
const REPORT_INTERVAL: Millis = Millis(100);
/// Report connections have numbers from here on; those to the leader have the gateway's place.
const FIRST_CONNECTION: u64 = 1 << 32;

/// The replica at the other end of a report connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportTarget {
    place: usize,
    starts: u64,
}

impl World {
    /// Opens the connections of a gateway that this build would open, and sends its report.
    pub(super) fn report_runs(&mut self, place: usize) {
        let is_current = self.gateways[place].version == EncodingVersion::CURRENT;
        if self.scenario.build_before.is_none() || !is_current {
            return;
        }
        self.open_leader_connection(place);
        if self.now.since(self.gateways[place].reported_at) < REPORT_INTERVAL {
            return;
        }
        self.gateways[place].reported_at = self.now;
        let target = self.report_target(place);
        let is_new = self.gateways[place].report_target != target;
        self.gateways[place].report_target = target;
        let Some(target) = target else {
            return;
        };
        if is_new {
            self.gateway_event(place, GatewayEvent::ReportConnected);
            self.send_report(place, target, RunReport::default());
        }
        let now = self.clock(Host::Gateway(place));
        let gateway = self.gateways[place].gateway.as_mut();
        let report = gateway.and_then(|gateway| gateway.next_run_report(now));
        if let Some(report) = report {
            self.send_report(place, target, report);
        }
    }

    /// Tells a gateway the version of the replica that it now takes for the leader.
    fn open_leader_connection(&mut self, place: usize) {
        let control = self.gateways[place].control;
        let version = self.connection_version(place, control);
        let starts = self.controls[control].starts();
        let connection = Some((control, starts, version));
        if self.gateways[place].leader_connection == connection {
            return;
        }
        self.gateways[place].leader_connection = connection;
        self.gateway_event(place, GatewayEvent::LeaderConnected(version));
    }

    /// The first replica of the current build that the gateway reaches.
    fn report_target(&self, place: usize) -> Option<ReportTarget> {
        let gateway = Host::Gateway(place);
        let is_target = |control: &usize| {
            let host = &self.controls[*control];
            let replica = Host::Control(*control);
            let is_cut =
                self.network.is_cut(gateway, replica) || self.network.is_cut(replica, gateway);
            host.running.is_some() && host.version == EncodingVersion::CURRENT && !is_cut
        };
        let place = (0..self.controls.len()).find(is_target)?;
        let starts = self.controls[place].starts();
        Some(ReportTarget { place, starts })
    }

    fn send_report(&mut self, place: usize, target: ReportTarget, report: RunReport) {
        let message = Message::FromReporter {
            connection: self.report_connection(place),
            request: GatewayRequest::Runs(report),
        };
        self.send(Host::Gateway(place), Host::Control(target.place), message);
    }

    fn report_connection(&self, place: usize) -> u64 {
        let starts = self.gateways[place].starts();
        FIRST_CONNECTION * (starts + 1) + place as u64
    }

    pub(super) fn report_received(
        &mut self,
        place: usize,
        connection: u64,
        request: GatewayRequest,
    ) {
        let event = ControlEvent::Gateway {
            connection,
            request,
        };
        self.control_event(place, event);
    }

    /// The gateway of a report connection, if `connection` is one.
    pub(super) fn reporter(connection: u64) -> Option<usize> {
        let is_reporter = connection >= FIRST_CONNECTION;
        is_reporter.then_some((connection % FIRST_CONNECTION) as usize)
    }

    pub(super) fn report_answered(&mut self, place: usize, reply: ControlReply) {
        if matches!(reply, ControlReply::NotLeader { .. }) {
            // The replica has not received the first report of this connection.
            self.gateways[place].report_target = None;
            return;
        }
        self.gateway_event(place, GatewayEvent::ReportReply(reply));
    }
}
