//! Watches and claims of gateways.

use garnet_consensus::Member;
use garnet_types::{EncodingVersion, GatewayId, Millis};

use crate::command::{Command, CommandEnvelope};
use crate::configuration::Configuration;
use crate::effects::Effect;
use crate::messages::{ClaimRequest, ControlReply, GatewayRequest, GroupView, WatchUpdate};
use crate::shared::Shared;

use super::{Asker, Replica};

/// What a replica knows is told for so long after it knew a leader last. One
/// that is cut off from the others must not go on telling it.
const LAST_KNOWN_FOR: Millis = Millis::from_secs(5);

impl Replica {
    pub(super) fn handle_gateway(&mut self, connection: u64, request: GatewayRequest) {
        // The lease is checked with the clock read for this very event, so a
        // leader that was paused does not speak for the group.
        if !self.may_answer_reads() {
            let last_known = self.last_known_for(&request);
            self.refer_to_leader(connection, last_known);
            return;
        }
        match request {
            GatewayRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                group_index,
                mix,
                backlogs,
                evidence,
                copies,
            } => {
                self.note_gateway_name(connection, &gateway);
                if let Some(planning) = &mut self.planning {
                    planning.add(&mix);
                }
                self.copies.record(&gateway, copies, self.now);
                self.note_living(&evidence);
                self.fleet_load
                    .record_report(&gateway, sent_at, backlogs, evidence, self.now);
                let update = self.update_for(&gateway, connection, configuration_index);
                let reply = self.watch_reply(&gateway, connection, update, group_index, sent_at);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
                self.send_limits(&gateway, connection);
                self.gateways.grant(gateway, configuration_index, self.now);
                self.serve_waiters();
            }
            GatewayRequest::LimitReports { gateway, reports } => {
                self.take_limit_reports(&gateway, &reports);
            }
            GatewayRequest::Permit(ask) => {
                let reply = self.give_permit(&ask);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Part(place) => {
                let reply = ControlReply::Part(self.recent.part(place));
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Claim(request) => self.handle_claim(connection, request),
            GatewayRequest::Usage(report) => {
                let receipt = self.take_usage(report);
                let reply = ControlReply::Usage(receipt);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Runs(report) => {
                let reply = self.take_runs(&report);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
        }
    }

    fn update_for(&mut self, gateway: &GatewayId, connection: u64, asked: u64) -> WatchUpdate {
        if self.versions.of_gateway(connection) <= EncodingVersion::V11 {
            let configuration = &self.state.configuration;
            return self.recent.update_in_one(asked, configuration);
        }
        self.sent_updates.update_for(
            gateway,
            connection,
            asked,
            self.now,
            &mut self.recent,
            &self.state.configuration,
        )
    }

    fn watch_reply(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        update: WatchUpdate,
        group_index: u64,
        sent_at: Millis,
    ) -> ControlReply {
        let membership = self.node.membership();
        let current = self.node.membership_index();
        let group = (current != group_index).then(|| GroupView {
            index: current,
            addresses: membership
                .members
                .values()
                .map(|member| member.peer_address.clone())
                .collect(),
        });
        let configuration = &self.state.configuration;
        let digest = self.fleet_load.digest_for(gateway, configuration, self.now);
        ControlReply::Watch {
            sent_at,
            update,
            group,
            gateways: self.gateways.count(self.now),
            digest,
            copies: self.copies.updates_for(gateway, configuration),
            suspects: self.quarantining.news_for(gateway, connection, self.now),
        }
    }

    pub(super) fn handle_claim(&mut self, connection: u64, request: ClaimRequest) {
        let claim = request.claim().clone();
        let command = match request {
            ClaimRequest::Claim(claim) => Command::Claim(claim),
            ClaimRequest::Release(claim) => Command::ReleaseClaim(claim),
            ClaimRequest::Record { claim, response } => Command::RecordResult { claim, response },
        };
        let envelope = CommandEnvelope::unnamed(command, self.now);
        let asker = Asker::Gateway { connection, claim };
        if self.propose(&envelope, asker).is_err() {
            self.reply_not_leader(connection);
        }
    }

    /// What a gateway without any configuration may go by until there is a
    /// leader again.
    ///
    /// Invariant: all of the log is committed, so nothing that was accepted
    /// and that this replica holds is missing, and nothing that was not
    /// accepted is in it. Other replicas may hold more.
    fn last_known_for(&mut self, request: &GatewayRequest) -> Option<Shared<Configuration>> {
        let knows_nothing = matches!(
            request,
            GatewayRequest::Watch {
                configuration_index: 0,
                ..
            }
        );
        let knows_leader = self.node.status().leader.is_some();
        let is_recent = self.now.since(self.knew_leader_at) <= LAST_KNOWN_FOR;
        let is_sure = self.node.is_wholly_committed() && self.state.configuration.index > 0;
        (knows_nothing && !knows_leader && is_recent && is_sure)
            .then(|| self.recent.full_configuration(&self.state.configuration))
    }

    pub(super) fn reply_not_leader(&mut self, connection: u64) {
        self.refer_to_leader(connection, None);
    }

    fn refer_to_leader(&mut self, connection: u64, last_known: Option<Shared<Configuration>>) {
        let reply = ControlReply::NotLeader {
            leader: self.leader().map(|member| member.peer_address.clone()),
            last_known,
        };
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
    }

    pub(super) fn leader(&self) -> Option<&Member> {
        let leader = self.node.status().leader?;
        self.node.membership().members.get(&leader)
    }

    pub(super) fn leader_admin_address(&self) -> Option<String> {
        self.leader().map(|member| member.admin_address.clone())
    }
}
