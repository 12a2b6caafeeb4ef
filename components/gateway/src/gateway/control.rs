//! Messages to and from the control group.

use garnet_control::{
    ConfigurationPart, ControlReply, GatewayRequest, PartOutcome, PartRequest, WatchUpdate,
};
use garnet_types::{Millis, RequestId};

use crate::effects::Effect;
use crate::request::Stage;

use super::Gateway;

/// Minimum time between watches that are sent early because of an unknown name.
const URGENT_WATCH_INTERVAL: Millis = Millis(50);

impl Gateway {
    pub(super) fn time_since_watch(&self) -> Millis {
        self.watch_sent_at
            .map_or(Millis::NEVER, |at| self.now.since(at))
    }

    pub(super) fn send_urgent_watch(&mut self) {
        if self.time_since_watch() >= URGENT_WATCH_INTERVAL {
            self.send_watch();
        }
    }

    /// Sends a watch to the leader: it requests the configuration changes after the current index,
    /// and reports the load that callers offered since the last watch.
    pub(super) fn send_watch(&mut self) {
        self.watch_sent_at = Some(self.now);
        let mix = std::mem::take(&mut self.offered).into_values().collect();
        // Only an index that is on disk is confirmed.
        let configuration_index = self
            .watched
            .persisted_index
            .min(self.watched.configuration.index);
        self.emit(Effect::SendControl(GatewayRequest::Watch {
            gateway: self.settings.id.clone(),
            configuration_index,
            sent_at: self.now,
            // The addresses of the replicas come from this gateway's settings.
            group_index: 0,
            mix,
            backlogs: Vec::new(),
            evidence: Vec::new(),
            copies: Vec::new(),
        }));
        self.send_run_report();
        self.send_limit_reports();
    }

    pub(super) fn handle_control(&mut self, reply: ControlReply) {
        match reply {
            ControlReply::Watch {
                sent_at,
                update,
                suspects,
                gateways,
                ..
            } => {
                self.gateway_count = gateways;
                let previous = self.watched.answered_watch_sent_at.unwrap_or_default();
                self.on_leader_contact(sent_at.since(previous));
                self.on_suspects(suspects);
                if let WatchUpdate::Parts { index } = update {
                    let next = self.watched.loader.on_offer(index, self.now);
                    self.request_part(next);
                }
                if let Some(index) = self.watched.apply_watch_answer(sent_at, update) {
                    self.on_configuration_changed(index);
                }
                self.resolve_awaiting();
                self.serve_waiting();
            }
            ControlReply::Part(part) => self.on_configuration_part(part),
            ControlReply::Claim { claim, answer } => self.handle_claim_answer(&claim, answer),
            // The driver connects to the named leader; unacknowledged messages are sent again.
            ControlReply::NotLeader { .. } => self.on_leader_contact(Millis::NEVER),
            // This gateway sends neither usage reports nor relay reports.
            ControlReply::Usage(_)
            | ControlReply::Relays(_)
            // The interface of engines names no builds.
            | ControlReply::Builds(_)
            | ControlReply::StreamBuild { .. }
            | ControlReply::PromptRunsNoted { .. }
            | ControlReply::PromptEvidence(_) => {}
            ControlReply::Limits(limit_update) => self.on_limit_update(&limit_update),
            ControlReply::Permit(answer) => self.on_permit_answer(&answer),
            ControlReply::RunsNoted { through } => self.on_runs_acknowledged(through),
        }
    }

    fn on_configuration_part(&mut self, part: Option<ConfigurationPart>) {
        // A part that isn't available any more is offered again with another index.
        let Some(part) = part else {
            return;
        };
        match self.watched.loader.take(part, self.now) {
            PartOutcome::Next(next) => self.request_part(Some(next)),
            PartOutcome::Complete(configuration) => {
                if let Some(index) = self.watched.apply_full_configuration(configuration) {
                    self.on_configuration_changed(index);
                }
                self.send_watch();
            }
            PartOutcome::Ignored => {}
        }
    }

    fn request_part(&mut self, part_request: Option<PartRequest>) {
        if let Some(part_request) = part_request {
            self.emit(Effect::SendControl(GatewayRequest::Part(part_request)));
        }
    }

    /// Updates the state that depends on the configuration after its index increased.
    fn on_configuration_changed(&mut self, index: u64) {
        self.backends
            .apply_configuration(&self.watched.configuration);
        self.update_quarantine();
        self.update_limits();
        self.emit(Effect::PersistIndex(index));
    }

    pub(super) fn resolve_awaiting(&mut self) {
        let awaiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.stage == Stage::AwaitingConfiguration)
            .map(|(id, _)| *id)
            .collect();
        for id in awaiting {
            self.resolve(id);
        }
    }
}
