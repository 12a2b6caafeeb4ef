//! Requests that crash engines: what this gateway observed of them, and what the leader
//! and the configuration report.

use garnet_control::UNKNOWN_START;
use garnet_quarantine::{
    EngineStart, QuarantineStatus, RequestFingerprint, RunReport, Suspects, isolation_backend,
};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};

use super::Forwarder;

/// Time after which the caller of a refused request may retry, while the log does not yet
/// say until when the request is refused.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(60);

/// Longest time for which a crash is not reported, since the path may be lost instead: the
/// connect timeouts of two back ends, and the probes of others.
const MAX_CRASH_HOLD: Millis = Millis(1_000);

impl Forwarder {
    /// Whether no suspected request is known, so that none need be looked up.
    pub fn has_no_suspects(&self) -> bool {
        self.crash_log.is_empty()
            && self.prompt_log.has_no_verdicts()
            && self.configuration.quarantine.is_empty()
    }

    /// Whether a request is suspected or refused, by the configuration and this gateway's
    /// crash log.
    pub fn quarantine_status(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        if self.configuration.quarantine.contains_key(&fingerprint) {
            return QuarantineStatus::Refused;
        }
        self.crash_log.status(fingerprint)
    }

    /// For how long a refused request will still be refused.
    pub fn refused_for(&self, fingerprint: RequestFingerprint, now: Millis) -> Millis {
        match self.configuration.quarantine.get(&fingerprint) {
            Some(record) => record.until.since(now),
            // The crashes are withdrawn if the path turns out to be lost.
            None if self.paths.is_suspected() => MAX_CRASH_HOLD,
            None => DEFAULT_RETRY_AFTER,
        }
    }

    /// Records a run that broke off as it does when its back end crashes, unless the gateway
    /// has no path to the back end.
    pub fn run_crashed(&mut self, fingerprint: RequestFingerprint, id: &BackendId, now: Millis) {
        if self.is_unreached(id, now) {
            return;
        }
        let engine = self.engine_start(id);
        self.crash_log.crashed(fingerprint, engine, now);
    }

    /// The present start of a back end.
    pub(super) fn engine_start(&self, id: &BackendId) -> EngineStart {
        let backend = self.backend(id);
        EngineStart {
            backend: id.clone(),
            incarnation: backend.map_or(UNKNOWN_START, |backend| backend.start),
        }
    }

    /// Records a run that completed.
    pub fn run_completed(&mut self, fingerprint: RequestFingerprint, now: Millis) {
        self.crash_log.completed(fingerprint, now);
    }

    /// Whether the runs are reported on the report connection, to a replica that does not lead.
    /// They are not before the first connection to a leader.
    pub fn uses_report_connection(&self) -> bool {
        self.crash_log.uses_report_connection()
    }

    /// Returns the runs to report to the leader, if any. There are none while it does not take
    /// them.
    pub fn run_report(&mut self, now: Millis) -> Option<RunReport> {
        self.crash_log.update(now);
        if self.uses_report_connection() {
            return None;
        }
        self.report_crashes(now)
    }

    /// Returns the next report for the report connection. It is empty if there are no runs to
    /// report, or the leader takes them.
    pub fn next_report(&mut self, now: Millis) -> RunReport {
        if !self.uses_report_connection() {
            return RunReport::default();
        }
        self.report_crashes(now).unwrap_or_default()
    }

    /// The runs to report, without those that broke off while it is open whether their engine
    /// crashed or the path to it was lost.
    fn report_crashes(&mut self, now: Millis) -> Option<RunReport> {
        let paths = &self.paths;
        let is_held = |engine: &EngineStart, age: Millis| {
            age < MAX_CRASH_HOLD && paths.is_undecided(&engine.backend)
        };
        self.crash_log.report_unless(now, is_held)
    }

    /// Records that the receiver of the reports has the runs up to this number.
    pub fn runs_confirmed(&mut self, through: u64) {
        self.crash_log.confirmed(through);
    }

    /// Handles a possible change of the leader, or of the replica at the report connection; see
    /// [`garnet_quarantine::CrashLog::on_leader_change`].
    pub fn on_leader_change(&mut self, now: Millis) {
        self.crash_log.on_leader_change(now);
        self.prompt_log.on_leader_change(now);
    }

    /// Takes the requests that the receiver of the reports suspects or refuses.
    pub fn take_suspects(&mut self, suspects: Suspects) {
        self.crash_log.update_suspects(suspects);
    }

    /// Returns the open back ends that a suspected request may not use: all but its
    /// [`isolation_backend`].
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
        let own = isolation_backend(fingerprint, open.iter().copied());
        let others = open.iter().filter(|id| Some(**id) != own);
        others.map(|id| (*id).clone()).collect()
    }
}
