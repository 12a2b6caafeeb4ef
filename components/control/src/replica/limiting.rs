//! The leader's side of limits: collects them from the reports of gateways, sends the list
//! of limits to all gateways and grants permits.

use std::collections::BTreeMap;

use garnet_limits::{LimitEntry, LimitLedger, LimitReport, LimitReports, PermitRequest};
use garnet_types::{BackendId, GatewayId, Millis, UNKNOWN_START};

use crate::configuration::Configuration;
use crate::effects::Effect;
use crate::messages::{ControlReply, LimitUpdate};
use crate::shared::Shared;

use super::Replica;

/// Rate at which the list is sent to one gateway, in bytes per millisecond: a sixth of the
/// 24 KB a second that control traffic may cost a node. Changes that come faster are sent
/// together.
const LIST_BYTES_PER_MS: u64 = 4;
/// Size of one limit in the list.
const BYTES_PER_LIMIT: u64 = 24;

/// Limits known to the leader. They are not replicated through the log.
#[derive(Debug, Default)]
pub(super) struct Limiting {
    ledger: LimitLedger,
    /// The list of limits and its number, encoded once for all gateways.
    list: Option<(u64, Shared<Vec<LimitEntry>>)>,
    gateways: BTreeMap<GatewayId, GatewayState>,
}

/// State of the exchange with one gateway.
#[derive(Debug, Clone, Copy, Default)]
struct GatewayState {
    /// The list that was last sent to it.
    sent: Option<SentList>,
    /// Number of the gateway's last message that was applied.
    reports_taken: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentList {
    number: u64,
    connection: u64,
    reports_taken: u64,
    at: Millis,
}

impl Limiting {
    /// Back ends that have a limit.
    pub(super) fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.ledger.backends()
    }

    /// Removes the limit of a back end that has restarted.
    pub(super) fn remove_limit(&mut self, id: &BackendId) {
        self.ledger.forget(id);
    }

    /// The list for a gateway, unless it has the newest one or was sent one too recently.
    fn list_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<(SentList, Shared<Vec<LimitEntry>>)> {
        let number = self.ledger.list_number();
        let state = self.gateways.entry(gateway.clone()).or_default();
        let new_list = SentList {
            number,
            connection,
            reports_taken: state.reports_taken,
            at: now,
        };
        let previous = state
            .sent
            .filter(|previous| previous.connection == connection);
        if let Some(previous) = previous {
            let is_known = SentList {
                at: now,
                ..previous
            } == new_list;
            let length = self.list.as_ref().map_or(0, |(_, list)| list.len()) as u64;
            let interval = Millis(length * BYTES_PER_LIMIT / LIST_BYTES_PER_MS);
            if is_known || now.since(previous.at) < interval {
                return None;
            }
        }
        state.sent = Some(new_list);
        Some((new_list, self.list()))
    }

    fn list(&mut self) -> Shared<Vec<LimitEntry>> {
        let number = self.ledger.list_number();
        let cached = self.list.take().filter(|(of, _)| *of == number);
        let (_, list) = self
            .list
            .insert(cached.unwrap_or_else(|| (number, Shared::from(self.ledger.list()))));
        list.clone()
    }

    fn apply_reports(
        &mut self,
        gateway: &GatewayId,
        message: &LimitReports,
        configuration: &Configuration,
        now: Millis,
    ) {
        let state = self.gateways.entry(gateway.clone()).or_default();
        state.reports_taken = state.reports_taken.max(message.number);
        let is_of_current_start =
            |report: &&LimitReport| is_of_current_start(report, configuration);
        for report in message.reports.iter().filter(is_of_current_start) {
            self.ledger.apply_report(report, now);
        }
    }
}

/// Whether a report concerns the current start of a known back end; an unknown start
/// matches any.
fn is_of_current_start(report: &LimitReport, configuration: &Configuration) -> bool {
    let Some(record) = configuration.backends.get(&report.backend) else {
        return false;
    };
    let current_start = record.start();
    report.start == current_start || report.start == UNKNOWN_START || current_start == UNKNOWN_START
}

impl Replica {
    /// Count of back ends that have a limit known to this leader.
    pub fn limited_backends(&self) -> usize {
        self.limiting.backends().count()
    }

    /// Applies the reports of a gateway.
    pub(super) fn handle_limit_reports(&mut self, gateway: &GatewayId, reports: &LimitReports) {
        let configuration = &self.state.configuration;
        self.limiting
            .apply_reports(gateway, reports, configuration, self.now);
    }

    /// Answers a request for a permit.
    pub(super) fn answer_permit_request(&mut self, request: &PermitRequest) -> ControlReply {
        ControlReply::Permit(self.limiting.ledger.request_permit(request, self.now))
    }

    /// Sends the list of limits to a gateway that watches, unless it has the newest one.
    pub(super) fn send_limits(&mut self, gateway: &GatewayId, connection: u64) {
        let new_list = self.limiting.list_for(gateway, connection, self.now);
        if let Some((new_list, limits)) = new_list {
            let reply = ControlReply::Limits(LimitUpdate {
                term: self.node.status().term,
                number: new_list.number,
                reports_taken: new_list.reports_taken,
                limits,
            });
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }

    /// Removes the limits and states of back ends and gateways that no longer exist.
    pub(super) fn prune_limits(&mut self) {
        let backends = &self.state.configuration.backends;
        self.limiting
            .ledger
            .retain_known(|id| backends.contains_key(id));
        let known_gateways = &self.gateways;
        let states = &mut self.limiting.gateways;
        states.retain(|gateway, _| known_gateways.is_known(gateway));
    }
}
