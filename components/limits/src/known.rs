//! The limits that one gateway knows, and the permits that it has.

use std::collections::{BTreeSet, HashMap, VecDeque};

use garnet_types::{BackendId, Millis, UNTOLD_START};

use crate::messages::{
    LimitList, LimitReport, LimitReports, PERMIT_LASTS, PermitAnswer, PermitAsk, PermitOutcome,
};
use crate::rate::RequestRate;

/// Reports that wait to be sent at most, some 30 bytes each. What is dropped comes again
/// with the next answer.
const MAX_REPORTS: usize = 64;
/// Back ends that one question names at most: enough to find the one with a permit
/// among a few, at some 300 bytes.
const MOST_ASKED: usize = 16;
/// Questions that are remembered; older ones are answered or lost.
const MOST_QUESTIONS: usize = 64;

/// A request that may be sent.
#[derive(Debug, Clone, Copy)]
struct Permit {
    until: Millis,
    is_due: bool,
}

/// The leader has no permit for requests of a rank until then.
#[derive(Debug, Clone, Copy)]
struct Closed {
    rank: u8,
    until: Millis,
    /// When a caller who was refused may come again.
    returns_at: Millis,
}

#[derive(Debug)]
struct Known {
    rate: RequestRate,
    start: u64,
    /// An answer without a limit counts only if its request was sent later.
    since: Millis,
    /// Whether an answer to this gateway named it.
    was_reported_here: bool,
    leader_knows: LeaderKnows,
    permits: VecDeque<Permit>,
    closed: Option<Closed>,
}

impl Known {
    fn new(rate: RequestRate, start: u64, leader_knows: LeaderKnows, now: Millis) -> Self {
        Known {
            rate,
            start,
            since: now,
            was_reported_here: false,
            leader_knows,
            permits: VecDeque::new(),
            closed: None,
        }
    }
}

/// Whether the leader knows a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderKnows {
    /// It was not sent.
    Nothing,
    /// It was sent in the message of this number.
    Sent(u64),
    /// The leader lists it.
    Listed,
}

/// A report that is not sent yet.
#[derive(Debug)]
struct PendingReport {
    backend: BackendId,
    start: u64,
    rate: Option<RequestRate>,
    at: Millis,
}

#[derive(Debug)]
struct Question {
    number: u64,
    at: Millis,
    rank: u8,
    backends: Vec<BackendId>,
}

/// What a gateway that lacks a permit does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asking {
    /// Ask the leader.
    Ask(PermitAsk),
    /// The leader has none for now: the caller may come again after this time.
    Closed(Millis),
    /// None of the back ends has a limit.
    Unlimited,
}

/// What one gateway knows.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: HashMap<BackendId, Known>,
    pending: VecDeque<PendingReport>,
    questions: VecDeque<Question>,
    last_question: u64,
    last_reports: u64,
    /// The newest list that came on this connection: term of its leader, and number.
    list: Option<(u64, u64)>,
}

impl KnownLimits {
    /// Whether no back end is known to have a limit, so that none need be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Back ends that are known to have a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// The limit of a back end, where it has one.
    pub fn rate(&self, id: &BackendId) -> Option<RequestRate> {
        Some(self.known.get(id)?.rate)
    }

    /// Whether a request may be sent to a back end now: it has no limit, or there is
    /// a permit.
    pub fn may_send(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return true;
        };
        known.permits.iter().any(|permit| now <= permit.until)
    }

    /// Whether the next request should go to a back end, to refresh what is known of its
    /// limit; there is a permit for it.
    pub fn is_due(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return false;
        };
        let mut permits = known.permits.iter();
        permits.any(|permit| now <= permit.until && permit.is_due)
    }

    /// Notes that a request is sent to a back end.
    pub fn sent(&mut self, id: &BackendId, now: Millis) {
        if let Some(known) = self.known.get_mut(id) {
            known.permits.retain(|permit| now <= permit.until);
            known.permits.pop_front();
        }
    }

    // ---- Reports of back ends ----

    /// Takes a limit that an answer named. `true` where it is new.
    pub fn named(&mut self, id: &BackendId, start: u64, rate: RequestRate, now: Millis) -> bool {
        let known = self.known.entry(id.clone());
        let known = known.or_insert_with(|| Known::new(rate, start, LeaderKnows::Nothing, now));
        let is_new = known.rate != rate || !known.was_reported_here;
        known.rate = rate;
        known.start = start;
        known.since = now;
        known.was_reported_here = true;
        self.push(PendingReport {
            backend: id.clone(),
            start,
            rate: Some(rate),
            at: now,
        });
        is_new
    }

    /// Takes an answer that names no limit, to a request that was sent at `sent_at`. The
    /// leader decides whether the limit is over, from the reports of all gateways.
    pub fn named_none(&mut self, id: &BackendId, start: u64, sent_at: Millis) {
        let known = self.known.get(id);
        if known.is_some_and(|known| sent_at > known.since) {
            self.push(PendingReport {
                backend: id.clone(),
                start,
                rate: None,
                at: sent_at,
            });
        }
    }

    /// Only the newest report of a limit is kept for each back end.
    fn push(&mut self, report: PendingReport) {
        if report.rate.is_some() {
            let is_older =
                |old: &PendingReport| old.backend == report.backend && old.rate.is_some();
            self.pending.retain(|old| !is_older(old));
        }
        if self.pending.len() == MAX_REPORTS {
            self.pending.pop_front();
        }
        self.pending.push_back(report);
    }

    /// Forgets a back end that is gone, or has started again.
    pub fn forget(&mut self, id: &BackendId) {
        self.known.remove(id);
        self.pending.retain(|report| report.backend != *id);
    }

    // ---- Messages of the leader ----

    /// Notes a new connection: it may be to another leader, which knows nothing yet.
    pub fn connected(&mut self) {
        self.list = None;
        self.questions.clear();
        for known in self.known.values_mut() {
            known.leader_knows = LeaderKnows::Nothing;
            known.closed = None;
        }
    }

    /// Forgets all back ends but these.
    pub fn keep(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.known.retain(|id, _| is_known(id));
        self.pending.retain(|report| is_known(&report.backend));
    }

    /// Applies the list of the leader of a term. Gives the back ends whose limit is over.
    ///
    /// Invariant: a limit whose report that leader has not applied is kept.
    pub fn take_list(&mut self, list: LimitList<'_>, now: Millis) -> Vec<BackendId> {
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
                .or_insert_with(|| Known::new(entry.rate, UNTOLD_START, LeaderKnows::Listed, now));
            if known.leader_knows != LeaderKnows::Nothing {
                known.rate = entry.rate;
            }
            known.leader_knows = LeaderKnows::Listed;
        }
        let listed: BTreeSet<&BackendId> = list.limits.iter().map(|entry| &entry.backend).collect();
        let is_over = |known: &Known| match known.leader_knows {
            LeaderKnows::Nothing => false,
            LeaderKnows::Sent(number) => number <= list.reports_taken,
            LeaderKnows::Listed => true,
        };
        let over = self.known.iter();
        let over = over.filter(|(id, known)| is_over(known) && !listed.contains(id));
        let over: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.known.remove(id);
        }
        over
    }

    /// Reports to send to the leader. Limits that are missing from its list are sent again,
    /// since a new leader knows none.
    pub fn reports(&mut self, now: Millis) -> Option<LimitReports> {
        let mut reports: Vec<LimitReport> = Vec::new();
        let number = self.last_reports + 1;
        for report in self.pending.drain(..) {
            if let Some(known) = self.known.get_mut(&report.backend)
                && known.leader_knows != LeaderKnows::Listed
                && report.rate.is_some()
            {
                known.leader_knows = LeaderKnows::Sent(number);
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
        self.last_reports = number;
        Some(LimitReports { number, reports })
    }

    /// Adds the limits that are missing from the leader's list: messages may be lost. Those
    /// that were never sent come first.
    fn repeat_unlisted(&mut self, number: u64, reports: &mut Vec<LimitReport>, now: Millis) {
        let is_new =
            |known: &Known| matches!(known.leader_knows, LeaderKnows::Sent(sent) if sent == number);
        let unlisted = self.known.iter_mut();
        let unlisted = unlisted
            .filter(|(_, known)| known.leader_knows != LeaderKnows::Listed && !is_new(known));
        let mut unlisted: Vec<(&BackendId, &mut Known)> = unlisted.collect();
        unlisted.sort_unstable_by_key(|(_, known)| known.leader_knows != LeaderKnows::Nothing);
        for (id, known) in unlisted.into_iter().take(MAX_REPORTS) {
            known.leader_knows = LeaderKnows::Sent(number);
            reports.push(LimitReport {
                backend: id.clone(),
                start: known.start,
                rate: Some(known.rate),
                ago: now.since(known.since),
            });
        }
    }

    // ---- Permits ----

    /// What to do for a request of this rank that one of these back ends could take.
    pub fn ask<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a BackendId>,
        rank: u8,
        now: Millis,
    ) -> Asking {
        let mut open: Vec<BackendId> = Vec::new();
        let mut returns_at: Option<Millis> = None;
        for id in backends {
            let Some(known) = self.known.get(id) else {
                continue;
            };
            let is_closed = |closed: &&Closed| closed.rank <= rank && now < closed.until;
            match known.closed.as_ref().filter(is_closed) {
                Some(closed) => {
                    let earlier = returns_at.unwrap_or(Millis::NEVER);
                    returns_at = Some(closed.returns_at.min(earlier));
                }
                None if open.len() < MOST_ASKED => open.push(id.clone()),
                None => {}
            }
        }
        if !open.is_empty() {
            return Asking::Ask(self.question(open, rank, now));
        }
        match returns_at {
            Some(at) => Asking::Closed(at.since(now)),
            None => Asking::Unlimited,
        }
    }

    fn question(&mut self, backends: Vec<BackendId>, rank: u8, now: Millis) -> PermitAsk {
        self.last_question += 1;
        let number = self.last_question;
        if self.questions.len() == MOST_QUESTIONS {
            self.questions.pop_front();
        }
        self.questions.push_back(Question {
            number,
            at: now,
            rank,
            backends: backends.clone(),
        });
        PermitAsk {
            number,
            backends,
            rank,
        }
    }

    /// Takes the leader's answer. A permit counts from the moment of the question: the
    /// leader's own moment is later.
    pub fn answered(&mut self, answer: &PermitAnswer, now: Millis) {
        let mut asked = self.questions.iter();
        let place = asked.position(|question| question.number == answer.number);
        let Some(question) = place.and_then(|place| self.questions.remove(place)) else {
            return;
        };
        match &answer.outcome {
            PermitOutcome::Granted { backend, is_due } => {
                if let Some(known) = self.known.get_mut(backend) {
                    known.permits.push_back(Permit {
                        until: question.at + PERMIT_LASTS,
                        is_due: *is_due,
                    });
                }
            }
            PermitOutcome::Refused { wait, retry_after } => {
                let closed = Closed {
                    rank: question.rank,
                    until: now + *wait,
                    returns_at: now + *retry_after,
                };
                for id in &question.backends {
                    if let Some(known) = self.known.get_mut(id) {
                        known.closed = Some(closed);
                    }
                }
            }
        }
    }
}
