//! Reports of runs of prompts, and the evidence that gateways are sent: the parts of which they
//! report whether they are sound and, for some of them, the runs and sound parts that others
//! reported.

use std::collections::BTreeMap;

use garnet_quarantine::{PromptEvidence, PromptReport, TrackedParts};
use garnet_types::{EncodingVersion, GatewayId, Millis};

use crate::effects::Effect;
use crate::messages::ControlReply;
use crate::replica::Replica;

use super::RESEND_INTERVAL;

/// Number of gateways that keep the runs of all others: the leader and the gateway that saw a run
/// may restart together.
const MAX_WITNESSES: usize = 8;

/// Who receives the evidence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Receiver {
    /// A gateway, on its connection to the leader.
    Gateway(GatewayId),
    /// The gateway at the other end of a report connection.
    ReportConnection(u64),
}

/// What a receiver was last sent.
#[derive(Debug)]
struct Sent {
    connection: u64,
    tracked: Vec<TrackedParts>,
    /// Number of crashes that were known.
    crashes: usize,
    at: Millis,
}

/// What receivers were last sent.
#[derive(Debug, Default)]
pub(super) struct SentEvidence {
    sent: BTreeMap<Receiver, Sent>,
}

impl SentEvidence {
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

    /// Whether the receiver is to be sent `next`, and records that. It is sent again after a time
    /// if it is not empty, as the answer may be lost.
    fn take_due(&mut self, receiver: Receiver, next: Sent) -> bool {
        let previous = self.sent.get(&receiver);
        let previous = previous.filter(|sent| sent.connection == next.connection);
        let is_due = match previous {
            None => !next.tracked.is_empty(),
            Some(sent) if sent.tracked != next.tracked || sent.crashes != next.crashes => true,
            Some(sent) => !next.tracked.is_empty() && next.at.since(sent.at) >= RESEND_INTERVAL,
        };
        if is_due {
            self.sent.insert(receiver, next);
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

    /// Sends the gateway the evidence, if its version has it.
    pub(in crate::replica) fn send_prompt_evidence(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
    ) {
        if self.versions.of_connection(connection) < EncodingVersion::V20 {
            return;
        }
        let is_witness = self
            .gateways
            .is_among_first(gateway, MAX_WITNESSES, self.now);
        self.send_evidence_to(Receiver::Gateway(gateway.clone()), connection, is_witness);
    }

    /// Sends the evidence on a report connection. The codec leaves it out if its version lacks it.
    pub(in crate::replica) fn send_prompt_evidence_to_reporter(&mut self, connection: u64) {
        let connections = &self.quarantining.report_connections;
        let mut first = connections.keys().take(MAX_WITNESSES);
        let is_witness = first.any(|other| *other == connection);
        self.send_evidence_to(
            Receiver::ReportConnection(connection),
            connection,
            is_witness,
        );
    }

    fn send_evidence_to(&mut self, receiver: Receiver, connection: u64, is_witness: bool) {
        let prompts = &self.quarantining.prompts;
        let next = Sent {
            connection,
            tracked: prompts.tracked().to_vec(),
            crashes: prompts.crashes(),
            at: self.now,
        };
        if !self.quarantining.sent_evidence.take_due(receiver, next) {
            return;
        }
        let prompts = &self.quarantining.prompts;
        let mut evidence = PromptEvidence {
            tracked: prompts.tracked().to_vec(),
            ..PromptEvidence::default()
        };
        if is_witness {
            evidence.runs = prompts.shared_runs(self.now);
            evidence.sound = prompts.shared_sound_parts(self.now);
        }
        let reply = ControlReply::PromptEvidence(evidence);
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
    }
}
