//! The leader's record of limits, and the permits that it grants.
//!
//! The record is never replicated: a new leader collects the limits from the gateways, and
//! grants no permit for a back end before it has received that back end's limit.

use std::collections::BTreeMap;

use garnet_types::{BackendId, Millis};

use crate::bucket::{PERMIT_MICROS, PermitBucket};
use crate::demand::Demand;
use crate::messages::{LimitEntry, LimitReport, PermitAnswer, PermitOutcome, PermitRequest};
use crate::rate::RequestRate;

/// Consecutive answers without a limit that end it. A single one may come from a part of the
/// back end that does not report limits.
const ANSWERS_TO_END_LIMIT: u32 = 2;
/// How long the end of a limit is remembered, to ignore reports from before it.
const ENDED_LIMIT_LIFETIME: Millis = Millis::from_secs(10);
/// A limit that no gateway has reported for this long is checked with the next request.
const REPORT_DUE_AFTER: Millis = Millis::from_secs(2);
/// Retry time if the leader has no limit on record for any of the back ends.
const UNKNOWN_LIMIT_WAIT: Millis = Millis(100);
/// Longest retry time for a refused caller.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// The limit of one back end and its permits.
#[derive(Debug)]
struct BackendLimit {
    rate: RequestRate,
    /// When the back end last reported the limit.
    limit_reported_at: Millis,
    /// When the last report arrived, with or without a limit.
    reported_at: Millis,
    /// Consecutive answers without a limit since the last one with a limit.
    answers_without_limit: u32,
    bucket: PermitBucket,
    demand: Demand,
    /// Retry time for the next refused caller.
    next_retry_at: Millis,
}

impl BackendLimit {
    /// Content that the bucket needs for a request of this priority to be granted a permit: one
    /// permit plus a reserve for more urgent requests, in proportion to their share of the
    /// refill rate.
    fn needed_micros(&self, priority: u8, now: Millis) -> u64 {
        let max_reserve = PermitBucket::depth_micros(self.rate) - PERMIT_MICROS;
        let refill_rate = PermitBucket::refill_rate(self.rate).per_s();
        let urgent = self.demand.more_urgent_per_s(priority, now) / refill_rate;
        PERMIT_MICROS + (max_reserve as f64 * urgent.min(1.0)) as u64
    }

    /// Content of the bucket beyond [`Self::needed_micros`]; negative if there is less.
    fn surplus_micros(&mut self, priority: u8, now: Millis) -> i64 {
        let available = self.bucket.available_micros(self.rate, now);
        available as i64 - self.needed_micros(priority, now) as i64
    }

    /// Time in which the bucket gains `micros`.
    fn time_of(&self, micros: u64) -> Millis {
        PermitBucket::refill_rate(self.rate).time_of(micros)
    }
}

/// The limits of all back ends, as the leader has them on record.
#[derive(Debug, Default)]
pub struct LimitLedger {
    limits: BTreeMap<BackendId, BackendLimit>,
    /// Back ends whose limit ended recently, and when.
    ended: BTreeMap<BackendId, Millis>,
    list_number: u64,
}

impl LimitLedger {
    /// Version of [`Self::list`]; increases with each change.
    pub fn list_number(&self) -> u64 {
        self.list_number
    }

    /// The limits, by back end.
    pub fn list(&self) -> Vec<LimitEntry> {
        let entry = |(backend, limit): (&BackendId, &BackendLimit)| LimitEntry {
            backend: backend.clone(),
            rate: limit.rate,
        };
        self.limits.iter().map(entry).collect()
    }

    /// Back ends that have a limit.
    pub fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.limits.keys()
    }

    /// Applies a gateway's report.
    pub fn apply_report(&mut self, report: &LimitReport, now: Millis) {
        let at = now - report.ago;
        self.ended
            .retain(|_, ended| now.since(*ended) < ENDED_LIMIT_LIFETIME);
        if self
            .ended
            .get(&report.backend)
            .is_some_and(|end| at <= *end)
        {
            return;
        }
        match report.rate {
            Some(rate) => self.limit_reported(&report.backend, rate, at, now),
            None => self.no_limit_reported(&report.backend, at, now),
        }
    }

    fn limit_reported(&mut self, backend: &BackendId, rate: RequestRate, at: Millis, now: Millis) {
        let Some(limit) = self.limits.get_mut(backend) else {
            let limit = BackendLimit {
                rate,
                limit_reported_at: at,
                reported_at: now,
                answers_without_limit: 0,
                bucket: PermitBucket::empty(now),
                demand: Demand::default(),
                next_retry_at: now,
            };
            self.limits.insert(backend.clone(), limit);
            self.list_number += 1;
            return;
        };
        limit.reported_at = now;
        if at < limit.limit_reported_at {
            return;
        }
        limit.limit_reported_at = at;
        limit.answers_without_limit = 0;
        if limit.rate != rate {
            // Refill at the old rate up to now.
            limit.bucket.available_micros(limit.rate, now);
            limit.rate = rate;
            self.list_number += 1;
        }
    }

    fn no_limit_reported(&mut self, backend: &BackendId, at: Millis, now: Millis) {
        let Some(limit) = self.limits.get_mut(backend) else {
            return;
        };
        if at <= limit.limit_reported_at {
            return;
        }
        limit.reported_at = now;
        limit.answers_without_limit += 1;
        if limit.answers_without_limit >= ANSWERS_TO_END_LIMIT {
            self.forget(backend);
            self.ended.insert(backend.clone(), now);
        }
    }

    /// Removes a back end that was removed from the fleet or has restarted.
    pub fn forget(&mut self, backend: &BackendId) {
        if self.limits.remove(backend).is_some() {
            self.list_number += 1;
        }
    }

    /// Removes all back ends for which `is_known` is false.
    pub fn retain_known(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        let before = self.limits.len();
        self.limits.retain(|id, _| is_known(id));
        if self.limits.len() != before {
            self.list_number += 1;
        }
    }

    /// Grants a permit, or returns the time until one is available.
    pub fn request_permit(&mut self, request: &PermitRequest, now: Millis) -> PermitAnswer {
        let limited = request.backends.iter();
        let limited = limited.filter(|id| self.limits.contains_key(*id)).count();
        let share = 1.0 / limited.max(1) as f64;
        let mut best: Option<(&BackendId, i64)> = None;
        for id in &request.backends {
            let Some(limit) = self.limits.get_mut(id) else {
                continue;
            };
            let surplus = limit.surplus_micros(request.priority, now);
            limit.demand.add(request.priority, share, now);
            if best.is_none_or(|(_, best_surplus)| surplus > best_surplus) {
                best = Some((id, surplus));
            }
        }
        let outcome = match best {
            Some((id, surplus)) if surplus >= 0 => self.grant(id, now),
            _ => self.refuse(request, now),
        };
        PermitAnswer {
            number: request.number,
            outcome,
        }
    }

    fn grant(&mut self, id: &BackendId, now: Millis) -> PermitOutcome {
        let mut is_due = false;
        if let Some(limit) = self.limits.get_mut(id) {
            limit.bucket.take();
            is_due = now.since(limit.reported_at) >= REPORT_DUE_AFTER;
        }
        PermitOutcome::Granted {
            backend: id.clone(),
            is_due,
        }
    }

    /// Gives each refused caller a different retry time: the next one at which a permit is
    /// available that no other caller was given.
    fn refuse(&mut self, request: &PermitRequest, now: Millis) -> PermitOutcome {
        let mut wait = Millis::NEVER;
        let mut first: Option<(&BackendId, Millis)> = None;
        for id in &request.backends {
            let Some(limit) = self.limits.get_mut(id) else {
                continue;
            };
            let missing = limit
                .surplus_micros(request.priority, now)
                .min(0)
                .unsigned_abs();
            let own_wait = limit.time_of(missing);
            wait = wait.min(own_wait);
            let free_at = limit.next_retry_at.max(now + own_wait);
            if first.is_none_or(|(_, at)| free_at < at) {
                first = Some((id, free_at));
            }
        }
        let Some((id, free_at)) = first else {
            return PermitOutcome::Refused {
                wait: UNKNOWN_LIMIT_WAIT,
                retry_after: UNKNOWN_LIMIT_WAIT,
            };
        };
        let latest = now + MAX_RETRY_AFTER;
        if let Some(limit) = self.limits.get_mut(id) {
            limit.next_retry_at = (free_at + limit.time_of(PERMIT_MICROS)).min(latest);
        }
        PermitOutcome::Refused {
            wait,
            retry_after: free_at.min(latest).since(now),
        }
    }
}
