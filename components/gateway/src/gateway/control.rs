//! What goes to the control group and comes from it.

use garnet_control::{
    ConfigurationPart, ControlReply, GatewayRequest, PartOutcome, PartRequest, WatchUpdate,
};
use garnet_types::{Millis, RequestId};

use crate::effects::Effect;
use crate::request::Stage;

use super::Gateway;

/// A watch is sent at once for an unknown name, but not more often than this.
const URGENT_WATCH_INTERVAL: Millis = Millis(50);

impl Gateway {
    pub(super) fn watch_elapsed(&self) -> Millis {
        self.watched_at
            .map_or(Millis::NEVER, |at| self.now.since(at))
    }

    pub(super) fn watch_soon(&mut self) {
        if self.watch_elapsed() >= URGENT_WATCH_INTERVAL {
            self.watch();
        }
    }

    pub(super) fn watch(&mut self) {
        self.watched_at = Some(self.now);
        let mix = std::mem::take(&mut self.offered).into_values().collect();
        // Only what is on disk is confirmed.
        let configuration_index = self
            .watched
            .persisted_index
            .min(self.watched.configuration.index);
        self.emit(Effect::SendControl(GatewayRequest::Watch {
            gateway: self.settings.id.clone(),
            configuration_index,
            sent_at: self.now,
            // Its settings name the replicas.
            group_index: 0,
            mix,
            backlogs: Vec::new(),
            evidence: Vec::new(),
            copies: Vec::new(),
        }));
        self.tell_runs();
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
                self.gateways = gateways;
                let before = self.watched.answered_watch_sent_at.unwrap_or_default();
                self.note_leader(sent_at.since(before));
                self.take_suspects(suspects);
                if let WatchUpdate::Parts { index } = update {
                    let next = self.watched.loader.on_offer(index, self.now);
                    self.ask_for_part(next);
                }
                if let Some(index) = self.watched.take(sent_at, update) {
                    self.follow_configuration(index);
                }
                self.resolve_awaiting();
                self.serve_waiting();
            }
            ControlReply::Part(part) => self.take_part(part),
            ControlReply::Claim { claim, answer } => self.handle_claim_answer(&claim, answer),
            // The driver follows the address; whatever matters is sent again.
            ControlReply::NotLeader { .. } => self.note_leader(Millis::NEVER),
            // This gateway reports none.
            ControlReply::Usage(_) => {}
            ControlReply::Limits(told) => self.take_limits(&told),
            ControlReply::Permit(answer) => self.take_permit(&answer),
            ControlReply::RunsNoted { through } => self.runs_noted(through),
        }
    }

    fn take_part(&mut self, part: Option<ConfigurationPart>) {
        // One that is not to be had any more is offered under another index.
        let Some(part) = part else {
            return;
        };
        match self.watched.loader.take(part, self.now) {
            PartOutcome::Next(next) => self.ask_for_part(Some(next)),
            PartOutcome::Complete(configuration) => {
                if let Some(index) = self.watched.take_whole(configuration) {
                    self.follow_configuration(index);
                }
                self.watch();
            }
            PartOutcome::Ignored => {}
        }
    }

    fn ask_for_part(&mut self, place: Option<PartRequest>) {
        if let Some(place) = place {
            self.emit(Effect::SendControl(GatewayRequest::Part(place)));
        }
    }

    /// What follows from a configuration at a higher index.
    fn follow_configuration(&mut self, index: u64) {
        self.backends.follow(&self.watched.configuration);
        self.follow_quarantine();
        self.follow_limits();
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
