//! Parts of prompts that crash engines: what this gateway observed of them.

use garnet_quarantine::{
    BrokenPrompt, PartId, PromptEvidence, PromptReport, QuarantineStatus, RequestFingerprint,
    matching_fingerprints,
};
use garnet_types::{BackendId, Millis, ServiceId};

use crate::work::Prompt;

use super::Forwarder;

impl Prompt {
    /// The ids of the parts that other requests may share.
    pub fn shared_part_ids(&self) -> Vec<PartId> {
        let parts = self.shared_parts().iter();
        parts.map(|part| PartId(part.id)).collect()
    }

    /// The sets of parts for which a request with this prompt may be refused at the service.
    pub fn part_sets(&self, service: &ServiceId) -> Vec<RequestFingerprint> {
        matching_fingerprints(service, &self.shared_part_ids())
    }
}

impl Forwarder {
    /// Whether prompts with a set of parts are suspected or refused.
    pub fn part_set_status(&self, set: RequestFingerprint) -> QuarantineStatus {
        if self.configuration.quarantine.contains_key(&set) || self.prompt_log.is_refused(&set) {
            return QuarantineStatus::Refused;
        }
        self.crash_log.published_status(set)
    }

    /// Records a run of a prompt that broke off as it does when its back end crashes. It counts
    /// also while the path is taken for lost, as it is when all back ends of a phase crash: what
    /// engines answer is never refused, and an engine that answers another gateway has not crashed.
    pub fn prompt_run_crashed(
        &mut self,
        request: RequestFingerprint,
        prompt: &Prompt,
        id: &BackendId,
        now: Millis,
    ) {
        let Some(service) = self.service_of(id) else {
            return;
        };
        let run = BrokenPrompt {
            service,
            request,
            parts: prompt.shared_part_ids(),
            engine: self.engine_start(id),
        };
        self.prompt_log.crashed(run, now);
    }

    /// Records that a back end wrote an answer on a prompt.
    pub fn prompt_is_sound(&mut self, prompt: &Prompt, id: &BackendId, now: Millis) {
        if let Some(service) = self.service_of(id) {
            let parts = prompt.shared_part_ids();
            self.prompt_log.sound(&service, &parts, now);
        }
    }

    fn service_of(&self, id: &BackendId) -> Option<ServiceId> {
        let backend = self.backend(id)?;
        Some(backend.registration.service.clone())
    }

    /// Returns the runs of prompts to report to the leader, if any. There are none while it does
    /// not take them.
    pub fn prompt_report(&mut self, now: Millis) -> Option<PromptReport> {
        self.prompt_log.update(now);
        if self.uses_report_connection() {
            return None;
        }
        self.prompt_log.report(now)
    }

    /// Returns the next report of prompts for the report connection, if there is any.
    pub fn next_prompt_report(&mut self, now: Millis) -> Option<PromptReport> {
        if !self.uses_report_connection() {
            return None;
        }
        self.prompt_log.report(now)
    }

    /// Records that the receiver of the reports has the runs of prompts up to this number.
    pub fn prompt_runs_confirmed(&mut self, through: u64) {
        self.prompt_log.confirmed(through);
    }

    /// Takes what the receiver of the reports knows.
    pub fn take_prompt_evidence(&mut self, evidence: PromptEvidence, now: Millis) {
        self.prompt_log.take_evidence(evidence, now);
    }
}
