//! Requests under which engines end: what this gateway saw of them, and which
//! of them it sends to no engine.

use garnet_control::{BackendRecord, GatewayRequest};
use garnet_quarantine::{
    EngineStart, QuarantineStatus, RequestFingerprint, Suspects, isolation_backend,
};
use garnet_types::{BackendId, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::BackendRef;
use crate::effects::Effect;
use crate::request::Request;

use super::Gateway;

/// A leader that was not heard for so long may be another one since.
const LEADER_SILENCE_LIMIT: Millis = Millis(1000);
/// What a caller is told to wait that comes with a refused request, before the
/// configuration says until when it is refused.
const UNCONFIRMED_QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(60);

impl Gateway {
    /// Tells the leader of runs that ended with their engine.
    pub(super) fn send_run_report(&mut self) {
        if let Some(report) = self.crash_log.report(self.now) {
            self.emit(Effect::SendControl(GatewayRequest::Runs(report)));
        }
    }

    /// A replica said that it does not lead, or is heard after a pause: what
    /// was told may be told to another one.
    pub(super) fn on_leader_contact(&mut self, silence: Millis) {
        if silence >= LEADER_SILENCE_LIMIT {
            self.crash_log.resend_all();
            self.limits.connected();
        }
    }

    pub(super) fn on_runs_acknowledged(&mut self, through: u64) {
        self.crash_log.confirmed(through);
    }

    /// The configuration has changed.
    pub(super) fn update_quarantine(&mut self) {
        let quarantined = self.watched.configuration.quarantine.keys().copied();
        self.crash_log.update_quarantined(quarantined);
    }

    pub(super) fn update_suspects(&mut self, suspects: Option<Suspects>) {
        if let Some(suspects) = suspects {
            self.crash_log.update_suspects(suspects);
        }
    }

    /// The connection to a back end ended before its answer did.
    pub(crate) fn record_crash(&mut self, id: RequestId, backend: &BackendId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let fingerprint = request.fingerprint();
        let engine = EngineStart {
            backend: backend.clone(),
            incarnation: self.incarnation_of(backend),
        };
        self.crash_log.crashed(fingerprint, engine, self.now);
        // Until the leader knows, more engines may end.
        self.send_run_report();
    }

    /// The start of a back end that is known, as it told last.
    pub(super) fn incarnation_of(&self, backend: &BackendId) -> u64 {
        let reported = self.backends.view_of(backend).map(|view| view.incarnation);
        let record = self.watched.configuration.backends.get(backend);
        reported
            .max(record.map(BackendRecord::start))
            .unwrap_or_default()
    }

    /// A run came to its proper end.
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

    fn standing(&self, request: &Request) -> QuarantineStatus {
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

    /// Ends a request that no engine may run. Whether it did so.
    pub(crate) fn refuse_if_quarantined(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if self.standing(request) != QuarantineStatus::Refused {
            return false;
        }
        let message = "engines ended under this request";
        let retry_after = self.quarantine_retry_after(request.fingerprint());
        let refusal = Refusal::not_run(OutcomeCode::Quarantined, retry_after, message);
        self.end_without_answer(id, refusal);
        true
    }

    /// Whether a request whose run broke off has probably ended an engine, and
    /// another one before: this attempt ends no more of them.
    pub(crate) fn is_suspected(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(|request| self.standing(request) == QuarantineStatus::Suspected)
    }

    fn quarantine_retry_after(&self, fingerprint: RequestFingerprint) -> Millis {
        let quarantine = &self.watched.configuration.quarantine;
        let record = quarantine.get(&fingerprint);
        record.map_or(UNCONFIRMED_QUARANTINE_RETRY_AFTER, |record| {
            record.until.since(self.now)
        })
    }

    /// Of back ends that may take a request, those that it may go to: a
    /// suspected one generates at its own only.
    pub(crate) fn restrict_suspected<'a>(
        &self,
        request: &Request,
        backends: Vec<BackendRef<'a>>,
    ) -> Vec<BackendRef<'a>> {
        if self.standing(request) != QuarantineStatus::Suspected {
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
