//! Gateways' requests: watches, claims, and reports.

use garnet_consensus::Member;
use garnet_types::{BuildId, EncodingVersion, GatewayId, Millis};

use crate::command::{Command, CommandEnvelope};
use crate::configuration::Configuration;
use crate::effects::{Effect, Event};
use crate::messages::{
    ClaimRequest, ControlReply, GatewayRequest, GroupView, StreamKey, WatchUpdate,
};
use crate::shared::Shared;

use super::{Replica, Requester};

/// How long after it last knew a leader a replica still sends its own configuration to
/// gateways. A replica that is cut off from the group must not send it any longer.
const LAST_KNOWN_LIFETIME: Millis = Millis::from_secs(5);

impl Replica {
    pub(super) fn handle_gateway(&mut self, connection: u64, request: GatewayRequest) {
        // The lease is checked with the clock read for this very event, so that a leader
        // that was paused does not answer for the group.
        let takes_report = self.takes_report_without_leading(connection, &request);
        if !self.may_answer_reads() && !takes_report {
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
                self.record_gateway_name(connection, &gateway);
                if let Some(planning) = &mut self.planning {
                    planning.add(&mix);
                }
                self.copies.record(&gateway, copies, self.now);
                self.record_answering_backends(&evidence);
                self.fleet_load
                    .record_report(&gateway, sent_at, backlogs, evidence, self.now);
                let update = self.update_for(&gateway, connection, configuration_index);
                let reply = self.watch_reply(&gateway, connection, update, group_index, sent_at);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
                self.send_limits(&gateway, connection);
                self.send_builds(&gateway, connection);
                self.send_prompt_evidence(&gateway, connection);
                self.gateways.grant(gateway, configuration_index, self.now);
                self.answer_waiters();
            }
            GatewayRequest::LimitReports { gateway, reports } => {
                self.handle_limit_reports(&gateway, &reports);
            }
            GatewayRequest::Permit(permit_request) => {
                let reply = self.answer_permit_request(&permit_request);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Part(part_request) => {
                let reply = ControlReply::Part(self.recent.part(part_request));
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Claim(request) => self.handle_claim(connection, request),
            GatewayRequest::Usage(report) => {
                let receipt = self.handle_usage_report(report);
                let reply = ControlReply::Usage(receipt);
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::Runs(report) => {
                self.handle_run_report(connection, &report);
            }
            GatewayRequest::PromptRuns(report) => {
                self.handle_prompt_report(connection, &report);
            }
            GatewayRequest::Relay(report) => {
                let reply = ControlReply::Relays(self.relays.report(report, self.now));
                self.effects
                    .push(Effect::ReplyGateway { connection, reply });
            }
            GatewayRequest::NoteStreams(notes) => self.builds.note(notes, self.now),
            GatewayRequest::FindStream(stream) => {
                let build = self.builds.find(stream).cloned();
                self.answer_stream_build(connection, stream, build);
            }
            GatewayRequest::FindStreamOf { stream, service } => {
                let noted = self.builds.find(stream);
                let build = noted.or_else(|| self.builds.only_build(&service)).cloned();
                self.answer_stream_build(connection, stream, build);
            }
        }
    }

    /// Whether an event may be handled at `now` while the log is written. The builds of streams are
    /// not in the log, and the lease makes the answer valid.
    pub fn may_handle_while_writing(&self, event: &Event, now: Millis) -> bool {
        let is_of_builds = matches!(
            event,
            Event::Gateway {
                request: GatewayRequest::NoteStreams(_)
                    | GatewayRequest::FindStream(_)
                    | GatewayRequest::FindStreamOf { .. },
                ..
            }
        );
        is_of_builds && self.may_answer_reads_at(now)
    }

    /// Whether the answer to `event`, a question for the build of a stream, may depend on an event
    /// that arrived before it. What is noted of a stream does not change with the list of engines.
    pub fn must_precede(&self, earlier: &Event, event: &Event) -> bool {
        match (earlier, event) {
            (
                Event::Machines(_),
                Event::Gateway {
                    request: GatewayRequest::FindStreamOf { stream, .. },
                    ..
                },
            ) => self.builds.find(*stream).is_none(),
            (
                Event::Gateway {
                    request: GatewayRequest::NoteStreams(_),
                    ..
                },
                _,
            ) => true,
            _ => false,
        }
    }

    /// Handles an event of which [`Self::may_handle_while_writing`] holds, and returns its effects.
    /// Those of earlier events remain until the log is written.
    pub fn handle_while_writing(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        let earlier = std::mem::take(&mut self.effects);
        if let Event::Gateway {
            connection,
            request,
        } = event
        {
            self.handle_gateway(connection, request);
        }
        std::mem::replace(&mut self.effects, earlier)
    }

    fn answer_stream_build(&mut self, connection: u64, stream: StreamKey, build: Option<BuildId>) {
        let reply = ControlReply::StreamBuild { stream, build };
        self.effects
            .push(Effect::ReplyGateway { connection, reply });
    }

    /// Sends the gateway the builds of engines that it does not know, if its version has them.
    fn send_builds(&mut self, gateway: &GatewayId, connection: u64) {
        if self.versions.of_connection(connection) < EncodingVersion::V19 {
            return;
        }
        if let Some(update) = self.builds.update_for(gateway, connection) {
            let reply = ControlReply::Builds(update);
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }

    /// Number of streams whose build this replica knows.
    pub fn noted_streams(&self) -> usize {
        self.builds.known_streams()
    }

    pub(super) fn prune_builds(&mut self) {
        let gateways = &self.gateways;
        self.builds
            .prune(self.now, |gateway| gateways.is_known(gateway));
    }

    fn update_for(&mut self, gateway: &GatewayId, connection: u64, from_index: u64) -> WatchUpdate {
        if self.versions.of_connection(connection) <= EncodingVersion::V11 {
            let configuration = &self.state.configuration;
            return self.recent.update_in_one(from_index, configuration);
        }
        self.sent_updates.update_for(
            gateway,
            connection,
            from_index,
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
            suspects: self
                .quarantining
                .suspects_for(gateway, connection, self.now),
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
        let requester = Requester::Gateway { connection, claim };
        if self.propose(&envelope, requester).is_err() {
            self.reply_not_leader(connection);
        }
    }

    /// The configuration for a gateway that has none, while there is no leader.
    ///
    /// Invariant: all of the log is committed, so no accepted command that this replica
    /// holds is missing, and no command is included that was not accepted. Other replicas
    /// may hold more.
    fn last_known_for(&mut self, request: &GatewayRequest) -> Option<Shared<Configuration>> {
        let has_no_configuration = matches!(
            request,
            GatewayRequest::Watch {
                configuration_index: 0,
                ..
            }
        );
        let has_leader = self.node.status().leader.is_some();
        let is_recent = self.now.since(self.leader_known_at) <= LAST_KNOWN_LIFETIME;
        let is_reliable = self.node.has_applied_whole_log() && self.state.configuration.index > 0;
        (has_no_configuration && !has_leader && is_recent && is_reliable)
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
