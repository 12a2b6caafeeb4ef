//! Requests under which engines end: what this gateway saw of them, and what
//! the leader and the configuration say.

use garnet_control::UNTOLD_START;
use garnet_quarantine::{
    EngineStart, RequestFingerprint, RunReport, Standing, Suspects, own_backend,
};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use super::Forwarder;

/// What a caller is told to wait that comes with a refused request, before the
/// log says until when it is refused.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(60);

impl Forwarder {
    /// Whether nothing is known of any request, so that none need be looked up.
    pub fn has_no_suspects(&self) -> bool {
        self.crash_log.is_empty() && self.configuration.quarantine.is_empty()
    }

    /// How a request stands.
    pub fn standing(&self, fingerprint: RequestFingerprint) -> Standing {
        if self.configuration.quarantine.contains_key(&fingerprint) {
            return Standing::Refused;
        }
        self.crash_log.standing(fingerprint)
    }

    /// For how long a refused request will be refused.
    pub fn refused_for(&self, fingerprint: RequestFingerprint, now: Millis) -> Millis {
        let record = self.configuration.quarantine.get(&fingerprint);
        record.map_or(DEFAULT_RETRY_AFTER, |record| record.until.since(now))
    }

    /// Notes a run that broke off as a crash of its back end breaks it off.
    pub fn run_crashed(&mut self, fingerprint: RequestFingerprint, id: &BackendId, now: Millis) {
        let engine = EngineStart {
            backend: id.clone(),
            incarnation: self.backend(id).map_or(UNTOLD_START, |engine| engine.start),
        };
        self.crash_log.crashed(fingerprint, engine, now);
    }

    /// Notes a run that came to its proper end.
    pub fn run_completed(&mut self, fingerprint: RequestFingerprint, now: Millis) {
        self.crash_log.completed(fingerprint, now);
    }

    /// What the leader has not heard yet of such runs.
    pub fn run_report(&mut self, now: Millis) -> Option<RunReport> {
        self.crash_log.report(now)
    }

    /// The leader has taken the runs up to this number.
    pub fn runs_confirmed(&mut self, through: u64) {
        self.crash_log.confirmed(through);
    }

    /// Another leader may have been found.
    pub fn resend_runs(&mut self) {
        self.crash_log.tell_anew();
    }

    /// Takes the requests that the leader has in view.
    pub fn take_suspects(&mut self, suspects: Suspects) {
        self.crash_log.take(suspects);
    }

    /// Back ends that a suspected request leaves to the others: all but its
    /// own one of those that are open.
    pub fn excluded_for_suspect(
        &self,
        service: &ServiceId,
        fingerprint: RequestFingerprint,
        tried: &[BackendId],
        now: Millis,
    ) -> Vec<BackendId> {
        let runs = |role: Option<EngineRole>| role.is_none_or(EngineRole::generates);
        let open: Vec<&BackendId> = self
            .backends_of(service)
            .filter(|backend| runs(backend.role) && backend.is_open(now, false))
            .map(|backend| &backend.registration.id)
            .filter(|id| !tried.contains(id))
            .collect();
        let own = own_backend(fingerprint, open.iter().copied());
        let others = open.iter().filter(|id| Some(**id) != own);
        others.map(|id| (*id).clone()).collect()
    }
}
