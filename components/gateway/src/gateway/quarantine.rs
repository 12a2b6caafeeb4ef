//! Requests that crash engines: reports crashes to the leader and refuses quarantined requests.

use garnet_control::{BackendRecord, ControlReply, GatewayRequest};
use garnet_quarantine::{
    EngineStart, QuarantineStatus, RequestFingerprint, RunReport, Suspects, isolation_backend,
};
use garnet_types::{BackendId, EncodingVersion, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::BackendRef;
use crate::effects::Effect;
use crate::request::Request;

use super::Gateway;

/// After this time without an answer, the leader may have changed.
const LEADER_SILENCE_LIMIT: Millis = Millis(1000);
/// Retry time for a quarantined request until the configuration contains the end of the
/// quarantine.
const UNCONFIRMED_QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(60);

impl Gateway {
    /// Reports requests to the leader whose engine crashed while running them.
    pub(super) fn send_run_report(&mut self) {
        self.crash_log.update(self.now);
        if self.crash_log.uses_report_connection() {
            return;
        }
        if let Some(report) = self.crash_log.report(self.now) {
            self.emit(Effect::SendControl(GatewayRequest::Runs(report)));
        }
    }

    /// Whether runs are reported to a replica other than the leader.
    pub fn uses_report_connection(&self) -> bool {
        self.crash_log.uses_report_connection()
    }

    /// The report for another replica, or `None` while the leader takes the reports. It is
    /// empty if there is nothing to report.
    pub fn next_run_report(&mut self, now: Millis) -> Option<RunReport> {
        self.now = self.now.max(now);
        let report = self.crash_log.report(self.now).unwrap_or_default();
        self.crash_log.uses_report_connection().then_some(report)
    }

    /// Handles a reply to such a report. Only the leader's replies say what is in force, so that
    /// the rest of a watch answer is ignored.
    pub(super) fn handle_report_reply(&mut self, reply: ControlReply) {
        // A late reply must not confirm runs that the leader does not have.
        if !self.crash_log.uses_report_connection() {
            return;
        }
        match reply {
            ControlReply::RunsNoted { through } => self.on_runs_acknowledged(through),
            ControlReply::Watch { suspects, .. } => self.on_suspects(suspects),
            _ => {}
        }
    }

    pub(super) fn on_leader_connected(&mut self, version: EncodingVersion) {
        let uses_report_connection = version < EncodingVersion::V16;
        self.crash_log
            .set_uses_report_connection(uses_report_connection);
        self.on_leader_contact(Millis::NEVER);
    }

    /// Handles a reply of a control replica. `silence` is the time since the previous answer of
    /// the leader, or [`Millis::NEVER`] if the replica isn't the leader. After a long silence the
    /// leader may have changed, so all reports are sent again.
    pub(super) fn on_leader_contact(&mut self, silence: Millis) {
        if silence >= LEADER_SILENCE_LIMIT {
            self.crash_log.on_leader_change(self.now);
            self.limits.connected();
        }
    }

    pub(super) fn on_runs_acknowledged(&mut self, through: u64) {
        self.crash_log.confirmed(through);
    }

    /// Applies the quarantine list of a new configuration.
    pub(super) fn update_quarantine(&mut self) {
        let quarantined = self.watched.configuration.quarantine.keys().copied();
        self.crash_log.update_quarantined(quarantined);
    }

    pub(super) fn on_suspects(&mut self, suspects: Option<Suspects>) {
        if let Some(suspects) = suspects {
            self.crash_log.update_suspects(suspects);
        }
    }

    /// Records that the connection to a back end broke before the answer was complete.
    pub(crate) fn record_crash(&mut self, id: RequestId, backend: &BackendId) {
        if !self.settings.records_crashes {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let fingerprint = request.fingerprint();
        let engine = EngineStart {
            backend: backend.clone(),
            incarnation: self.incarnation_of(backend),
        };
        self.crash_log.crashed(fingerprint, engine, self.now);
        // Reported at once: more engines may crash until the leader receives the report.
        self.send_run_report();
    }

    /// The highest known incarnation of a back end, from its reports and its record.
    pub(super) fn incarnation_of(&self, backend: &BackendId) -> u64 {
        let reported = self.backends.view_of(backend).map(|view| view.incarnation);
        let record = self.watched.configuration.backends.get(backend);
        reported
            .max(record.map(BackendRecord::start))
            .unwrap_or_default()
    }

    /// Records that a request completed normally.
    pub(crate) fn record_completed_run(&mut self, id: RequestId) {
        if self.has_no_suspects() {
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            self.crash_log.completed(request.fingerprint(), self.now);
        }
    }

    fn has_no_suspects(&self) -> bool {
        self.crash_log.is_empty() && self.watched.configuration.quarantine.is_empty()
    }

    fn quarantine_status(&self, request: &Request) -> QuarantineStatus {
        if self.has_no_suspects() {
            return QuarantineStatus::Clear;
        }
        let fingerprint = request.fingerprint();
        let quarantine = &self.watched.configuration.quarantine;
        if quarantine.contains_key(&fingerprint) {
            return QuarantineStatus::Refused;
        }
        self.crash_log.status(fingerprint)
    }

    /// Ends a request if it is quarantined. Returns whether it did.
    pub(crate) fn refuse_if_quarantined(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if self.quarantine_status(request) != QuarantineStatus::Refused {
            return false;
        }
        let message = "engines crashed while running this request";
        let retry_after = self.quarantine_retry_after(request.fingerprint());
        let refusal = Refusal::not_run(OutcomeCode::Quarantined, retry_after, message);
        self.end_without_answer(id, refusal);
        true
    }

    /// Whether an interrupted request is suspected of having crashed more than one engine, so
    /// that it must not be retried.
    pub(crate) fn is_suspected(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        request
            .is_some_and(|request| self.quarantine_status(request) == QuarantineStatus::Suspected)
    }

    fn quarantine_retry_after(&self, fingerprint: RequestFingerprint) -> Millis {
        let quarantine = &self.watched.configuration.quarantine;
        let record = quarantine.get(&fingerprint);
        record.map_or(UNCONFIRMED_QUARANTINE_RETRY_AFTER, |record| {
            record.until.since(self.now)
        })
    }

    /// Restricts the back ends for a suspected request: it is decoded only at the one engine that
    /// is assigned to its fingerprint.
    pub(crate) fn restrict_suspected<'a>(
        &self,
        request: &Request,
        backends: Vec<BackendRef<'a>>,
    ) -> Vec<BackendRef<'a>> {
        if self.quarantine_status(request) != QuarantineStatus::Suspected {
            return backends;
        }
        let decode_backends = backends
            .iter()
            .filter(|candidate| candidate.role.generates());
        let Some(own_engine) = isolation_backend(
            request.fingerprint(),
            decode_backends.map(|candidate| candidate.id),
        )
        .cloned() else {
            return backends;
        };
        let is_allowed =
            |candidate: &BackendRef<'a>| !candidate.role.generates() || *candidate.id == own_engine;
        backends.into_iter().filter(is_allowed).collect()
    }
}
