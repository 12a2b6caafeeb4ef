//! Handles the events of the report connection.

use std::rc::Rc;

use garnet_control::ControlReply;
use garnet_quarantine::{PromptReport, RunReport};
use garnet_runtime::report_link::ReportLinkHandler;

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::watch::Watch;

/// Reports ended runs to a replica that does not lead, and takes its suspects.
pub(crate) struct ReportHandler<C, B> {
    pub(crate) gateway: Rc<Gateway<C, B>>,
    pub(crate) watch: Rc<Watch<C, B>>,
}

impl<C, B> Clone for ReportHandler<C, B> {
    fn clone(&self) -> Self {
        ReportHandler {
            gateway: Rc::clone(&self.gateway),
            watch: Rc::clone(&self.watch),
        }
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> ReportLinkHandler for ReportHandler<C, B> {
    fn replicas(&self) -> Vec<String> {
        if !self.gateway.forwarder.borrow().uses_report_connection() {
            return Vec::new();
        }
        let mut replicas = self.watch.known_replicas();
        replicas.sort();
        replicas.dedup();
        replicas
    }

    fn on_connected(&self) {
        let now = self.gateway.now();
        self.gateway.forwarder.borrow_mut().on_leader_change(now);
    }

    fn next_report(&self) -> RunReport {
        let now = self.gateway.now();
        self.gateway.forwarder.borrow_mut().next_report(now)
    }

    fn next_prompt_report(&self) -> Option<PromptReport> {
        let now = self.gateway.now();
        self.gateway.forwarder.borrow_mut().next_prompt_report(now)
    }

    /// Handles the only replies that a replica sends on a report connection. Of a watch
    /// answer only the suspects count: the replica's configuration may lag behind the leader's.
    fn on_reply(&self, reply: ControlReply) {
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        if !forwarder.uses_report_connection() {
            // The leader takes the reports by now, and has not confirmed these runs.
            return;
        }
        match reply {
            ControlReply::RunsNoted { through } => forwarder.runs_confirmed(through),
            ControlReply::PromptRunsNoted { through } => forwarder.prompt_runs_confirmed(through),
            ControlReply::PromptEvidence(evidence) => {
                forwarder.take_prompt_evidence(evidence, self.gateway.now());
            }
            ControlReply::Watch {
                suspects: Some(suspects),
                ..
            } => forwarder.take_suspects(suspects),
            _ => {}
        }
    }
}
