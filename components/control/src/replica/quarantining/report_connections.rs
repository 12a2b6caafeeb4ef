//! Report connections: gateways before a leader of a version without run reports send them to
//! another replica.
//!
//! Such a connection begins with an empty report. On any other connection a replica that does
//! not lead names the leader, as gateways of all builds expect.

use garnet_quarantine::{RunReport, Suspects};
use garnet_types::Millis;

use crate::effects::Effect;
use crate::messages::{ControlReply, CopyUpdates, GatewayRequest, WatchUpdate};
use crate::replica::{RECONCILE_INTERVAL, Replica};

use super::{Quarantining, SentList};

/// A watch answer that carries only suspects.
fn suspects_reply(suspects: Suspects) -> ControlReply {
    ControlReply::Watch {
        sent_at: Millis::ZERO,
        update: WatchUpdate::Current,
        group: None,
        gateways: 0,
        digest: None,
        copies: CopyUpdates::default(),
        suspects: Some(suspects),
    }
}

impl Quarantining {
    pub(in crate::replica) fn on_connection_closed(&mut self, connection: u64) {
        self.report_connections.remove(&connection);
        self.sent_evidence.on_connection_closed(connection);
    }

    /// The list for a report connection, unless it is known to have been received.
    fn suspects_for_reporter(&mut self, connection: u64, now: Millis) -> Option<Suspects> {
        let sent = SentList {
            number: self.number,
            connection,
            at: now,
        };
        let previous = self.report_connections.get(&connection).copied()?;
        if previous.is_some_and(|previous| self.is_known(&previous, &sent)) {
            return None;
        }
        self.report_connections.insert(connection, Some(sent));
        Some(self.suspects.clone())
    }
}

impl Replica {
    /// Applies a gateway's report of ended runs.
    pub(in crate::replica) fn handle_run_report(&mut self, connection: u64, report: &RunReport) {
        self.quarantining.tracker.apply_report(report, self.now);
        if report.runs.is_empty() {
            let connections = &mut self.quarantining.report_connections;
            connections.entry(connection).or_insert(None);
        }
        let through = report.through;
        self.reply_to_gateway(connection, ControlReply::RunsNoted { through });
        let suspects = self
            .quarantining
            .suspects_for_reporter(connection, self.now);
        if let Some(suspects) = suspects {
            self.reply_to_gateway(connection, suspects_reply(suspects));
        }
        if self
            .quarantining
            .report_connections
            .contains_key(&connection)
        {
            self.send_prompt_evidence_to_reporter(connection);
        }
    }

    /// Whether this replica takes the report although it does not lead. On other connections
    /// the gateway expects the leader.
    pub(in crate::replica) fn takes_report_without_leading(
        &self,
        connection: u64,
        request: &GatewayRequest,
    ) -> bool {
        let connections = &self.quarantining.report_connections;
        let is_reporter = connections.contains_key(&connection);
        let takes = match request {
            GatewayRequest::Runs(report) => report.runs.is_empty() || is_reporter,
            GatewayRequest::PromptRuns(_) => is_reporter,
            _ => false,
        };
        takes && self.halted.is_none()
    }

    fn reply_to_gateway(&mut self, connection: u64, reply: ControlReply) {
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
    }

    /// Decides on the runs that gateways report to this replica while the leader is of a version
    /// without reports.
    pub(in crate::replica) fn quarantine_without_leading(&mut self) {
        let is_due = self.now.since(self.quarantining.decided_at) >= RECONCILE_INTERVAL;
        let has_reporters = !self.quarantining.report_connections.is_empty();
        if !is_due || !has_reporters || self.node.is_leader() || self.halted.is_some() {
            return;
        }
        self.quarantining.decided_at = self.now;
        self.sync_with_log();
        self.decide_verdicts();
        self.release_unlogged();
        self.quarantining.update_list();
    }
}
