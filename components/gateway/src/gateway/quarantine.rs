//! Requests under which engines end: what this gateway saw of them, and which
//! of them it sends to no engine.

use garnet_control::{BackendRecord, GatewayRequest};
use garnet_quarantine::{
    EngineStart, QuarantineStatus, RequestFingerprint, Suspects, isolation_backend,
};
use garnet_types::{BackendId, Millis, OutcomeCode, Refusal, RequestId};

use crate::backends::Eligible;
use crate::effects::Effect;
use crate::request::Request;

use super::Gateway;

/// A leader that was not heard for so long may be another one since.
const LEADER_MAY_HAVE_CHANGED: Millis = Millis(1000);
/// What a caller is told to wait that comes with a refused request, before the
/// configuration says until when it is refused.
const UNTIL_LOGGED: Millis = Millis::from_secs(60);

impl Gateway {
    /// Tells the leader of runs that ended with their engine.
    pub(super) fn tell_runs(&mut self) {
        if let Some(report) = self.crash_log.report(self.now) {
            self.emit(Effect::SendControl(GatewayRequest::Runs(report)));
        }
    }

    /// A replica said that it does not lead, or is heard after a pause: what
    /// was told may be told to another one.
    pub(super) fn note_leader(&mut self, heard_after: Millis) {
        if heard_after >= LEADER_MAY_HAVE_CHANGED {
            self.crash_log.resend_all();
            self.limits.connected();
        }
    }

    pub(super) fn runs_noted(&mut self, through: u64) {
        self.crash_log.confirmed(through);
    }

    /// The configuration has changed.
    pub(super) fn follow_quarantine(&mut self) {
        let quarantined = self.watched.configuration.quarantine.keys().copied();
        self.crash_log.update_quarantined(quarantined);
    }

    pub(super) fn take_suspects(&mut self, suspects: Option<Suspects>) {
        if let Some(suspects) = suspects {
            self.crash_log.update_suspects(suspects);
        }
    }

    /// The connection to a back end ended before its answer did.
    pub(crate) fn run_crashed(&mut self, id: RequestId, backend: &BackendId) {
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
        self.tell_runs();
    }

    /// The start of a back end that is known, as it told last.
    pub(super) fn incarnation_of(&self, backend: &BackendId) -> u64 {
        let told = self
            .backends
            .known(backend)
            .map(|belief| belief.incarnation);
        let record = self.watched.configuration.backends.get(backend);
        told.max(record.map(BackendRecord::start))
            .unwrap_or_default()
    }

    /// A run came to its proper end.
    pub(crate) fn run_completed(&mut self, id: RequestId) {
        if self.suspects_nobody() {
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            self.crash_log.completed(request.fingerprint(), self.now);
        }
    }

    fn suspects_nobody(&self) -> bool {
        self.crash_log.is_empty() && self.watched.configuration.quarantine.is_empty()
    }

    fn standing(&self, request: &Request) -> QuarantineStatus {
        if self.suspects_nobody() {
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
        let retry_after = self.refused_for(request.fingerprint());
        let refusal = Refusal::not_run(OutcomeCode::Quarantined, retry_after, message);
        self.end_without_answer(id, refusal);
        true
    }

    /// Whether a request whose run broke off has probably ended an engine, and
    /// another one before: this attempt ends no more of them.
    pub(crate) fn has_ended_enough(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(|request| self.standing(request) == QuarantineStatus::Suspected)
    }

    fn refused_for(&self, fingerprint: RequestFingerprint) -> Millis {
        let quarantine = &self.watched.configuration.quarantine;
        let record = quarantine.get(&fingerprint);
        record.map_or(UNTIL_LOGGED, |record| record.until.since(self.now))
    }

    /// Of back ends that may take a request, those that it may go to: a
    /// suspected one generates at its own only.
    pub(crate) fn keep_apart<'a>(
        &self,
        request: &Request,
        backends: Vec<Eligible<'a>>,
    ) -> Vec<Eligible<'a>> {
        if self.standing(request) != QuarantineStatus::Suspected {
            return backends;
        }
        let generate = backends.iter().filter(|one| one.role.generates());
        let Some(own) =
            isolation_backend(request.fingerprint(), generate.map(|one| one.id)).cloned()
        else {
            return backends;
        };
        let may_go = |one: &Eligible<'a>| !one.role.generates() || *one.id == own;
        backends.into_iter().filter(may_go).collect()
    }
}
