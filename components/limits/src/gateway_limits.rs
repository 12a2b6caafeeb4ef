//! One gateway's view of the limits, and its permits.

use std::collections::{BTreeSet, HashMap, VecDeque};

use garnet_types::{BackendId, Millis, UNKNOWN_START};

use crate::messages::{
    LimitList, LimitReport, LimitReports, PERMIT_LIFETIME, PermitAnswer, PermitOutcome,
    PermitRequest,
};
use crate::rate::RequestRate;

/// Maximum number of pending reports, some 30 bytes each. A dropped report is replaced by the
/// one of the next answer.
const MAX_PENDING_REPORTS: usize = 64;
/// Maximum number of back ends in one permit request, some 300 bytes: enough to find one with a
/// permit.
const MAX_BACKENDS_PER_REQUEST: usize = 16;
/// Maximum number of pending permit requests; older ones were answered or lost.
const MAX_PENDING_REQUESTS: usize = 64;

/// Permission to send one request.
#[derive(Debug, Clone, Copy)]
struct Permit {
    until: Millis,
    is_due: bool,
}

/// The leader has no permit for requests of this or a less urgent priority until `until`.
#[derive(Debug, Clone, Copy)]
struct NoPermits {
    priority: u8,
    until: Millis,
    /// When a refused caller may retry.
    retry_at: Millis,
}

/// The limit of one back end.
#[derive(Debug)]
struct Limit {
    rate: RequestRate,
    start: u64,
    /// When the limit was last reported here, or first listed by the leader. An answer without a
    /// limit counts only if its request was sent later.
    reported_at: Millis,
    /// Whether an answer to this gateway reported the limit.
    was_reported_here: bool,
    leader_view: LeaderView,
    permits: VecDeque<Permit>,
    no_permits: Option<NoPermits>,
}

impl Limit {
    fn new(rate: RequestRate, start: u64, leader_view: LeaderView, now: Millis) -> Self {
        Limit {
            rate,
            start,
            reported_at: now,
            was_reported_here: false,
            leader_view,
            permits: VecDeque::new(),
            no_permits: None,
        }
    }
}

/// Whether the leader has a limit on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderView {
    /// The limit was not sent to this leader.
    Unsent,
    /// The limit was sent in the message with this number.
    Sent(u64),
    /// The limit is in the leader's list.
    Listed,
}

/// A report that has not been sent.
#[derive(Debug)]
struct PendingReport {
    backend: BackendId,
    start: u64,
    rate: Option<RequestRate>,
    /// When the answer with the limit arrived, or when the request was sent whose answer had none.
    at: Millis,
}

/// A permit request that the leader has not answered.
#[derive(Debug)]
struct PendingPermitRequest {
    number: u64,
    at: Millis,
    priority: u8,
    backends: Vec<BackendId>,
}

/// How a gateway can get a permit for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitLookup {
    /// Send this request to the leader.
    AskLeader(PermitRequest),
    /// The leader has no permit at present; the caller may retry after this time.
    Exhausted(Millis),
    /// No permit is needed: none of the back ends has a limit.
    Unlimited,
}

/// The limits that one gateway knows of, and its permits.
#[derive(Debug, Default)]
pub struct GatewayLimits {
    known: HashMap<BackendId, Limit>,
    pending_reports: VecDeque<PendingReport>,
    permit_requests: VecDeque<PendingPermitRequest>,
    last_request_number: u64,
    last_report_number: u64,
    /// Term and number of the newest list received on this connection.
    list: Option<(u64, u64)>,
}

impl GatewayLimits {
    /// Whether no back end is known to have a limit, so that lookups can be skipped.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of back ends that are known to have a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// The limit of a back end, if it has one.
    pub fn rate(&self, id: &BackendId) -> Option<RequestRate> {
        Some(self.known.get(id)?.rate)
    }

    /// Whether a request may be sent to a back end now: the back end has no limit, or there is a
    /// permit for it.
    pub fn may_send(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return true;
        };
        known.permits.iter().any(|permit| now <= permit.until)
    }

    /// Whether there is a permit for a back end whose limit is due to be refreshed, so that the
    /// next request should go there.
    pub fn is_due(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return false;
        };
        let mut permits = known.permits.iter();
        permits.any(|permit| now <= permit.until && permit.is_due)
    }

    /// Records a request sent to a back end, which uses up a permit.
    pub fn sent(&mut self, id: &BackendId, now: Millis) {
        if let Some(known) = self.known.get_mut(id) {
            known.permits.retain(|permit| now <= permit.until);
            known.permits.pop_front();
        }
    }

    // ---- Reports of back ends ----

    /// Records the limit that an answer reported. Returns whether it is new or has changed.
    pub fn limit_reported(
        &mut self,
        id: &BackendId,
        start: u64,
        rate: RequestRate,
        now: Millis,
    ) -> bool {
        let known = self.known.entry(id.clone());
        let known = known.or_insert_with(|| Limit::new(rate, start, LeaderView::Unsent, now));
        let is_new = known.rate != rate || !known.was_reported_here;
        known.rate = rate;
        known.start = start;
        known.reported_at = now;
        known.was_reported_here = true;
        self.push(PendingReport {
            backend: id.clone(),
            start,
            rate: Some(rate),
            at: now,
        });
        is_new
    }

    /// Records an answer without a limit to a request that was sent at `sent_at`. The leader
    /// decides from the reports of all gateways whether the limit has ended.
    pub fn no_limit_reported(&mut self, id: &BackendId, start: u64, sent_at: Millis) {
        let known = self.known.get(id);
        if known.is_some_and(|known| sent_at > known.reported_at) {
            self.push(PendingReport {
                backend: id.clone(),
                start,
                rate: None,
                at: sent_at,
            });
        }
    }

    /// Adds a pending report. Only the newest reported limit of each back end is kept.
    fn push(&mut self, report: PendingReport) {
        if report.rate.is_some() {
            let is_older =
                |old: &PendingReport| old.backend == report.backend && old.rate.is_some();
            self.pending_reports.retain(|old| !is_older(old));
        }
        if self.pending_reports.len() == MAX_PENDING_REPORTS {
            self.pending_reports.pop_front();
        }
        self.pending_reports.push_back(report);
    }

    /// Removes a back end that was removed from the fleet or has restarted.
    pub fn forget(&mut self, id: &BackendId) {
        self.known.remove(id);
        self.pending_reports.retain(|report| report.backend != *id);
    }

    // ---- Messages from the leader ----

    /// Handles a new connection, which may be to a new leader without any limit on record.
    pub fn connected(&mut self) {
        self.list = None;
        self.permit_requests.clear();
        for known in self.known.values_mut() {
            known.leader_view = LeaderView::Unsent;
            known.no_permits = None;
        }
    }

    /// Removes all back ends for which `is_known` is false.
    pub fn retain_known(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.known.retain(|id, _| is_known(id));
        self.pending_reports
            .retain(|report| is_known(&report.backend));
    }

    /// Applies a leader's list of limits. Returns the back ends whose limit has ended.
    ///
    /// Invariant: a limit whose report that leader has not applied is kept.
    pub fn apply_list(&mut self, list: LimitList<'_>, now: Millis) -> Vec<BackendId> {
        let newest = self.list.unwrap_or_default();
        if (list.term, list.number) < newest {
            return Vec::new();
        }
        if list.term != newest.0 {
            self.connected();
        }
        self.list = Some((list.term, list.number));
        for entry in list.limits {
            let known = self.known.entry(entry.backend.clone());
            let known = known
                .or_insert_with(|| Limit::new(entry.rate, UNKNOWN_START, LeaderView::Listed, now));
            if known.leader_view != LeaderView::Unsent {
                known.rate = entry.rate;
            }
            known.leader_view = LeaderView::Listed;
        }
        let listed: BTreeSet<&BackendId> = list.limits.iter().map(|entry| &entry.backend).collect();
        let has_ended = |known: &Limit| match known.leader_view {
            LeaderView::Unsent => false,
            LeaderView::Sent(number) => number <= list.reports_taken,
            LeaderView::Listed => true,
        };
        let ended = self.known.iter();
        let ended = ended.filter(|(id, known)| has_ended(known) && !listed.contains(id));
        let ended: Vec<BackendId> = ended.map(|(id, _)| id.clone()).collect();
        for id in &ended {
            self.known.remove(id);
        }
        ended
    }

    /// Takes the reports to send to the leader. Limits that are missing from its list are sent
    /// again, since a new leader has none on record.
    pub fn reports(&mut self, now: Millis) -> Option<LimitReports> {
        let mut reports: Vec<LimitReport> = Vec::new();
        let number = self.last_report_number + 1;
        for report in self.pending_reports.drain(..) {
            if let Some(known) = self.known.get_mut(&report.backend)
                && known.leader_view != LeaderView::Listed
                && report.rate.is_some()
            {
                known.leader_view = LeaderView::Sent(number);
            }
            reports.push(LimitReport {
                backend: report.backend,
                start: report.start,
                rate: report.rate,
                ago: now.since(report.at),
            });
        }
        if self.list.is_some() {
            self.repeat_unlisted(number, &mut reports, now);
        }
        if reports.is_empty() {
            return None;
        }
        self.last_report_number = number;
        Some(LimitReports { number, reports })
    }

    /// Adds the limits that are missing from the leader's list, since messages may be lost. Those
    /// that were never sent come first.
    fn repeat_unlisted(&mut self, number: u64, reports: &mut Vec<LimitReport>, now: Millis) {
        let is_new =
            |known: &Limit| matches!(known.leader_view, LeaderView::Sent(sent) if sent == number);
        let unlisted = self.known.iter_mut();
        let unlisted =
            unlisted.filter(|(_, known)| known.leader_view != LeaderView::Listed && !is_new(known));
        let mut unlisted: Vec<(&BackendId, &mut Limit)> = unlisted.collect();
        unlisted.sort_unstable_by_key(|(_, known)| known.leader_view != LeaderView::Unsent);
        for (id, known) in unlisted.into_iter().take(MAX_PENDING_REPORTS) {
            known.leader_view = LeaderView::Sent(number);
            reports.push(LimitReport {
                backend: id.clone(),
                start: known.start,
                rate: Some(known.rate),
                ago: now.since(known.reported_at),
            });
        }
    }

    // ---- Permits ----

    /// How to get a permit for a request of this priority that any of `backends` can take.
    pub fn request_permit<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a BackendId>,
        priority: u8,
        now: Millis,
    ) -> PermitLookup {
        let mut candidates: Vec<BackendId> = Vec::new();
        let mut retry_at: Option<Millis> = None;
        for id in backends {
            let Some(known) = self.known.get(id) else {
                continue;
            };
            let applies =
                |no_permits: &&NoPermits| no_permits.priority <= priority && now < no_permits.until;
            match known.no_permits.as_ref().filter(applies) {
                Some(no_permits) => {
                    let earlier = retry_at.unwrap_or(Millis::NEVER);
                    retry_at = Some(no_permits.retry_at.min(earlier));
                }
                None if candidates.len() < MAX_BACKENDS_PER_REQUEST => candidates.push(id.clone()),
                None => {}
            }
        }
        if !candidates.is_empty() {
            return PermitLookup::AskLeader(self.new_request(candidates, priority, now));
        }
        match retry_at {
            Some(at) => PermitLookup::Exhausted(at.since(now)),
            None => PermitLookup::Unlimited,
        }
    }

    /// Creates a permit request and records it as pending.
    fn new_request(
        &mut self,
        backends: Vec<BackendId>,
        priority: u8,
        now: Millis,
    ) -> PermitRequest {
        self.last_request_number += 1;
        let number = self.last_request_number;
        if self.permit_requests.len() == MAX_PENDING_REQUESTS {
            self.permit_requests.pop_front();
        }
        self.permit_requests.push_back(PendingPermitRequest {
            number,
            at: now,
            priority,
            backends: backends.clone(),
        });
        PermitRequest {
            number,
            backends,
            priority,
        }
    }

    /// Applies the leader's answer. The lifetime of a permit counts from its request, which is
    /// earlier than the leader's decision.
    pub fn answered(&mut self, answer: &PermitAnswer, now: Millis) {
        let mut pending = self.permit_requests.iter();
        let index = pending.position(|request| request.number == answer.number);
        let Some(request) = index.and_then(|index| self.permit_requests.remove(index)) else {
            return;
        };
        match &answer.outcome {
            PermitOutcome::Granted { backend, is_due } => {
                if let Some(known) = self.known.get_mut(backend) {
                    known.permits.push_back(Permit {
                        until: request.at + PERMIT_LIFETIME,
                        is_due: *is_due,
                    });
                }
            }
            PermitOutcome::Refused { wait, retry_after } => {
                let no_permits = NoPermits {
                    priority: request.priority,
                    until: now + *wait,
                    retry_at: now + *retry_after,
                };
                for id in &request.backends {
                    if let Some(known) = self.known.get_mut(id) {
                        known.no_permits = Some(no_permits);
                    }
                }
            }
        }
    }
}
