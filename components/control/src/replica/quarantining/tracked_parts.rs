//! Reports of runs of prompts, and the list of parts of which gateways report whether they are
//! sound.

use std::collections::BTreeMap;

use garnet_quarantine::{PromptReport, TrackedParts};
use garnet_types::{EncodingVersion, GatewayId, Millis};

use crate::effects::Effect;
use crate::messages::ControlReply;
use crate::replica::Replica;

use super::RESEND_INTERVAL;

/// Who receives the list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Receiver {
    /// A gateway, on its connection to the leader.
    Gateway(GatewayId),
    /// The gateway at the other end of a report connection.
    ReportConnection(u64),
}

/// The list that a receiver was last sent.
#[derive(Debug)]
struct SentParts {
    connection: u64,
    parts: Vec<TrackedParts>,
    at: Millis,
}

/// The lists that were last sent.
#[derive(Debug, Default)]
pub(super) struct SentTrackedParts {
    sent: BTreeMap<Receiver, SentParts>,
}

impl SentTrackedParts {
    /// What remains after a start or an end of the leadership: report connections stay open.
    pub(super) fn after_leadership_change(mut self) -> Self {
        self.sent
            .retain(|receiver, _| matches!(receiver, Receiver::ReportConnection(_)));
        self
    }

    /// Forgets gateways of which `is_known` does not hold.
    pub(super) fn prune(&mut self, is_known: impl Fn(&GatewayId) -> bool) {
        self.sent.retain(|receiver, _| match receiver {
            Receiver::Gateway(gateway) => is_known(gateway),
            Receiver::ReportConnection(_) => true,
        });
    }

    pub(super) fn on_connection_closed(&mut self, connection: u64) {
        self.sent.remove(&Receiver::ReportConnection(connection));
    }

    /// Whether the list is to be sent. One that is not empty is sent again after a time, as the
    /// answer may be lost.
    fn is_due(
        &mut self,
        receiver: Receiver,
        connection: u64,
        parts: &[TrackedParts],
        now: Millis,
    ) -> bool {
        let previous = self.sent.get(&receiver);
        let previous = previous.filter(|sent| sent.connection == connection);
        let is_due = match previous {
            None => !parts.is_empty(),
            Some(sent) if sent.parts != parts => true,
            Some(sent) => !parts.is_empty() && now.since(sent.at) >= RESEND_INTERVAL,
        };
        if is_due {
            let sent = SentParts {
                connection,
                parts: parts.to_vec(),
                at: now,
            };
            self.sent.insert(receiver, sent);
        }
        is_due
    }
}

impl Replica {
    /// Applies a gateway's report of runs of prompts.
    pub(in crate::replica) fn handle_prompt_report(
        &mut self,
        connection: u64,
        report: &PromptReport,
    ) {
        let prompts = &mut self.quarantining.prompts;
        prompts.apply_report(report, self.now);
        if !report.broken.is_empty() {
            let through = report.through;
            let reply = ControlReply::PromptRunsNoted { through };
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }

    /// Sends the gateway the parts of which it reports whether they are sound.
    pub(in crate::replica) fn send_tracked_parts(&mut self, gateway: &GatewayId, connection: u64) {
        if self.versions.of_connection(connection) >= EncodingVersion::V20 {
            self.send_tracked_parts_to(Receiver::Gateway(gateway.clone()), connection);
        }
    }

    /// Sends them on a report connection. The codec leaves them out if its version lacks them.
    pub(in crate::replica) fn send_tracked_parts_to_reporter(&mut self, connection: u64) {
        self.send_tracked_parts_to(Receiver::ReportConnection(connection), connection);
    }

    fn send_tracked_parts_to(&mut self, receiver: Receiver, connection: u64) {
        let now = self.now;
        let parts = self.quarantining.prompts.tracked();
        let sent = &mut self.quarantining.tracked_parts;
        if sent.is_due(receiver, connection, parts, now) {
            let reply = ControlReply::TrackedParts(parts.to_vec());
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }
}
