//! Back ends with a limit on requests per second from all gateways together, and permits
//! to send to them.

use garnet_control::LimitUpdate;
use garnet_limits::{
    GatewayLimits, LimitReports, PermitAnswer, PermitLookup, PermitRequest, RequestRate,
};
use garnet_types::{BackendId, Millis, ServiceId};

use crate::backends::Backend;
use crate::work::Work;

use super::Forwarder;

/// The limit in an answer of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedLimit {
    /// The requests per second that it takes.
    Limited(RequestRate),
    /// A valid answer without a limit.
    Unlimited,
    /// The limit is malformed, or it is missing from an answer that shows nothing by that,
    /// such as an error.
    Unknown,
}

impl Forwarder {
    /// Sets whether the leader grants permits. A leader of an earlier version does not,
    /// and requests are then sent without permits, as before limits existed.
    pub(super) fn set_permits_granted(&mut self, are_granted: bool) {
        self.permits_are_granted = are_granted;
        if !are_granted {
            self.limits = GatewayLimits::default();
            for backend in self.backends.values_mut() {
                backend.has_limit = false;
            }
        }
    }

    // ---- Reports of back ends ----

    /// Records the limit in an answer to a request that was sent at `sent_at`. Returns
    /// the limit if it is new.
    pub fn note_limit(
        &mut self,
        id: &BackendId,
        reported: ReportedLimit,
        sent_at: Millis,
        now: Millis,
    ) -> Option<RequestRate> {
        if !self.permits_are_granted {
            return None;
        }
        let backend = self.backends.get_mut(id)?;
        let start = backend.start;
        match reported {
            ReportedLimit::Limited(rate) => {
                backend.has_limit = true;
                let is_new = self.limits.limit_reported(id, start, rate, now);
                is_new.then_some(rate)
            }
            ReportedLimit::Unlimited => {
                self.limits.no_limit_reported(id, start, sent_at);
                None
            }
            ReportedLimit::Unknown => None,
        }
    }

    /// Returns the limit reports to send to the leader, if any.
    pub fn limit_reports(&mut self, now: Millis) -> Option<LimitReports> {
        self.limits.reports(now)
    }

    /// Applies the leader's list of limits. Returns the back ends whose limit ended.
    pub fn take_limits(&mut self, update: &LimitUpdate, now: Millis) -> Vec<BackendId> {
        let ended = self.limits.apply_list(update.list(), now);
        let listed = update.limits.iter().map(|entry| &entry.backend);
        for id in listed.chain(&ended) {
            self.note_whether_limited(id);
        }
        ended
    }

    /// Updates [`Backend::has_limit`] after a change of the limits.
    pub(super) fn note_whether_limited(&mut self, id: &BackendId) {
        let has_limit = self.limits.rate(id).is_some();
        if let Some(backend) = self.backends.get_mut(id) {
            backend.has_limit = has_limit;
        }
    }

    /// Number of back ends with a known limit.
    pub fn limited_backends(&self) -> usize {
        self.limits.len()
    }

    // ---- Permits ----

    /// Whether a request may be sent to a back end now: it takes requests, and it has no
    /// limit or there is a permit.
    pub fn may_send(&self, id: &BackendId, now: Millis) -> bool {
        let backend = self.backends.get(id);
        let takes_requests = backend
            .is_some_and(|backend| backend.is_in_service(now) && backend.availability.allows(now));
        takes_requests && self.limits.may_send(id, now)
    }

    /// Decides what to do if no back end may be sent a request now: asks for a permit for
    /// one of the limited back ends that could do the whole request.
    pub fn ask_for_permit(
        &mut self,
        service: &ServiceId,
        work: &Work,
        tried: &[BackendId],
        now: Millis,
    ) -> PermitLookup {
        if self.limits.is_empty() {
            return PermitLookup::Unlimited;
        }
        let could_take = |backend: &&Backend| {
            let id = &backend.registration.id;
            let does_all = work.prompt.is_none() || backend.generates();
            does_all && backend.has_limit && backend.is_open(now, true) && !tried.contains(id)
        };
        let limited: Vec<BackendId> = self
            .backends_of(service)
            .filter(could_take)
            .map(|backend| backend.registration.id.clone())
            .collect();
        self.limits
            .request_permit(limited.iter(), work.priority, now)
    }

    /// Asks for a permit with one in n requests, where n is the number of gateways, even if
    /// the request needs none. A limited engine is thus sent requests, and the end of its
    /// limit is noticed, also while other engines have capacity.
    pub fn ask_for_spare_permit(
        &mut self,
        service: &ServiceId,
        work: &Work,
        now: Millis,
    ) -> Option<PermitRequest> {
        if self.limits.is_empty() {
            return None;
        }
        self.arrival_count = self.arrival_count.wrapping_add(1);
        let sequence = self.arrival_count.wrapping_add(self.seed);
        if !sequence.is_multiple_of(self.gateways.max(1)) {
            return None;
        }
        let needs_permit = |backend: &&Backend| {
            backend.has_limit
                && backend.is_open(now, false)
                && !self.limits.may_send(&backend.registration.id, now)
        };
        let candidates: Vec<BackendId> = self
            .backends_of(service)
            .filter(needs_permit)
            .map(|backend| backend.registration.id.clone())
            .collect();
        // A back end that has not been sent a request for long is as likely as any other.
        let drawn = self.arrival_count as usize / self.gateways.max(1) as usize;
        let one = candidates.get(drawn % candidates.len().max(1))?;
        match self
            .limits
            .request_permit([one].into_iter(), work.priority, now)
        {
            PermitLookup::AskLeader(ask) => Some(ask),
            PermitLookup::Exhausted(_) | PermitLookup::Unlimited => None,
        }
    }

    /// Applies the leader's answer to a permit request.
    pub fn on_permit_answer(&mut self, answer: &PermitAnswer, now: Millis) {
        self.limits.answered(answer, now);
    }
}
