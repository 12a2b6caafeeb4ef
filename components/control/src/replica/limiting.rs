//! The leader's side of limits: collects them from the reports of gateways, sends the list
//! to all gateways and grants permits.

use std::collections::BTreeMap;

use garnet_limits::{LimitEntry, LimitLedger, LimitReport, LimitReports, PermitRequest};
use garnet_types::{BackendId, GatewayId, Millis, UNTOLD_START};

use crate::configuration::Configuration;
use crate::effects::Effect;
use crate::messages::{ControlReply, LimitUpdate};
use crate::shared::Shared;

use super::Replica;

/// Rate at which the list is sent to one gateway, in bytes a millisecond: a sixth of the
/// 24 KB a second that control may cost a node. Faster changes are sent together.
const LIST_BYTES_PER_MS: u64 = 4;
/// Bytes of one limit in the list.
const LIMIT_BYTES: u64 = 24;

/// Limits as the leader knows them. None of it is in the log.
#[derive(Debug, Default)]
pub(super) struct Limiting {
    ledger: LimitLedger,
    /// The list and its number, encoded once for all gateways.
    list: Option<(u64, Shared<Vec<LimitEntry>>)>,
    gateways: BTreeMap<GatewayId, GatewayState>,
}

/// What was exchanged with one gateway.
#[derive(Debug, Clone, Copy, Default)]
struct GatewayState {
    /// The list that it was sent last.
    sent: Option<SentList>,
    /// Number of its last message that is applied.
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

    /// Forgets the limit of a back end that has started again.
    pub(super) fn started_again(&mut self, id: &BackendId) {
        self.ledger.forget(id);
    }

    /// The list for a gateway, unless it has the newest one.
    fn news_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<(SentList, Shared<Vec<LimitEntry>>)> {
        let number = self.ledger.list_number();
        let state = self.gateways.entry(gateway.clone()).or_default();
        let news = SentList {
            number,
            connection,
            reports_taken: state.reports_taken,
            at: now,
        };
        let before = state.sent.filter(|before| before.connection == connection);
        if let Some(before) = before {
            let is_known = SentList { at: now, ..before } == news;
            let length = self.list.as_ref().map_or(0, |(_, list)| list.len()) as u64;
            let interval = Millis(length * LIMIT_BYTES / LIST_BYTES_PER_MS);
            if is_known || now.since(before.at) < interval {
                return None;
            }
        }
        state.sent = Some(news);
        Some((news, self.list()))
    }

    fn list(&mut self) -> Shared<Vec<LimitEntry>> {
        let number = self.ledger.list_number();
        let held = self.list.take().filter(|(of, _)| *of == number);
        let (_, list) = self
            .list
            .insert(held.unwrap_or_else(|| (number, Shared::from(self.ledger.list()))));
        list.clone()
    }

    fn take_reports(
        &mut self,
        gateway: &GatewayId,
        message: &LimitReports,
        configuration: &Configuration,
        now: Millis,
    ) {
        let state = self.gateways.entry(gateway.clone()).or_default();
        state.reports_taken = state.reports_taken.max(message.number);
        let is_of_present = |report: &&LimitReport| is_of_present(report, configuration);
        for report in message.reports.iter().filter(is_of_present) {
            self.ledger.apply_report(report, now);
        }
    }
}

/// Whether a report is of the present start of a back end that is known; a start that is
/// not told matches any.
fn is_of_present(report: &LimitReport, configuration: &Configuration) -> bool {
    let Some(record) = configuration.backends.get(&report.backend) else {
        return false;
    };
    let present = record.start();
    report.start == present || report.start == UNTOLD_START || present == UNTOLD_START
}

impl Replica {
    /// Back ends that have a limit, as far as this leader knows.
    pub fn limited_backends(&self) -> usize {
        self.limiting.backends().count()
    }

    /// Applies the reports of a gateway.
    pub(super) fn take_limit_reports(&mut self, gateway: &GatewayId, reports: &LimitReports) {
        let configuration = &self.state.configuration;
        self.limiting
            .take_reports(gateway, reports, configuration, self.now);
    }

    /// Answers a request for a permit.
    pub(super) fn give_permit(&mut self, ask: &PermitRequest) -> ControlReply {
        ControlReply::Permit(self.limiting.ledger.request_permit(ask, self.now))
    }

    /// Sends the list of limits to a gateway that watches, unless it has the newest one.
    pub(super) fn send_limits(&mut self, gateway: &GatewayId, connection: u64) {
        let news = self.limiting.news_for(gateway, connection, self.now);
        if let Some((news, limits)) = news {
            let reply = ControlReply::Limits(LimitUpdate {
                term: self.node.status().term,
                number: news.number,
                reports_taken: news.reports_taken,
                limits,
            });
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }

    /// Forgets back ends and gateways that are gone.
    pub(super) fn keep_limits(&mut self) {
        let backends = &self.state.configuration.backends;
        self.limiting
            .ledger
            .retain_known(|id| backends.contains_key(id));
        let known = &self.gateways;
        let states = &mut self.limiting.gateways;
        states.retain(|gateway, _| known.is_known(gateway));
    }
}
