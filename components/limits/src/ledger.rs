//! The limits that the leader knows, and the permits that it hands out.
//!
//! It is never logged: a new leader collects it from the gateways, and grants no permit
//! before it has.

use std::collections::BTreeMap;

use garnet_types::{BackendId, Millis};

use crate::bucket::{PERMIT_MICROS, PermitBucket};
use crate::demand::Demand;
use crate::messages::{LimitEntry, LimitReport, PermitAnswer, PermitAsk, PermitOutcome};
use crate::rate::RequestRate;

/// Answers in a row that name no limit before it is over: one may come from a part
/// of the back end that does not name it.
const NAMELESS_ANSWERS: u32 = 2;
/// Reports that are older than the end of a limit are ignored for so long.
const ENDED_FOR: Millis = Millis::from_secs(10);
/// A limit that no gateway has reported for so long is probed with the next request.
const DUE_AFTER: Millis = Millis::from_secs(2);
/// Retry time where none of the back ends has a known limit yet.
const UNKNOWN_WAIT: Millis = Millis(100);
/// Longest time after which a caller is to come back.
const LONGEST_RETURN: Millis = Millis::from_secs(30);

/// A back end that has named a limit.
#[derive(Debug)]
struct Limited {
    rate: RequestRate,
    /// When it last named it.
    named_at: Millis,
    /// When it was last reported at all.
    heard_at: Millis,
    /// Answers in a row that named none since.
    nameless: u32,
    bucket: PermitBucket,
    demand: Demand,
    /// When the next caller who was refused comes back.
    next_return: Millis,
}

impl Limited {
    /// What a request of this rank has to find: more than one permit where more
    /// urgent ones come, and all that are kept where these would take all.
    fn needed_micros(&self, rank: u8, now: Millis) -> u64 {
        let kept = PermitBucket::depth_micros(self.rate) - PERMIT_MICROS;
        let pace = PermitBucket::pace(self.rate).per_s();
        let urgent = self.demand.more_urgent_per_s(rank, now) / pace;
        PERMIT_MICROS + (kept as f64 * urgent.min(1.0)) as u64
    }

    /// Millionths of a permit more than a request of this rank has to find; below
    /// zero where there are fewer.
    fn surplus_micros(&mut self, rank: u8, now: Millis) -> i64 {
        let has = self.bucket.micros(self.rate, now);
        has as i64 - self.needed_micros(rank, now) as i64
    }

    fn time_of(&self, micros: u64) -> Millis {
        PermitBucket::pace(self.rate).time_of(micros)
    }
}

/// All limits.
#[derive(Debug, Default)]
pub struct LimitLedger {
    limited: BTreeMap<BackendId, Limited>,
    ended: BTreeMap<BackendId, Millis>,
    number: u64,
}

impl LimitLedger {
    /// Rises with each change of [`Self::list`].
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Back ends that have a limit, and which.
    pub fn list(&self) -> Vec<LimitEntry> {
        let entry = |(backend, limited): (&BackendId, &Limited)| LimitEntry {
            backend: backend.clone(),
            rate: limited.rate,
        };
        self.limited.iter().map(entry).collect()
    }

    /// Back ends that have a limit.
    pub fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.limited.keys()
    }

    /// Applies a report of a gateway.
    pub fn note(&mut self, report: &LimitReport, now: Millis) {
        let at = now - report.ago;
        self.ended.retain(|_, ended| now.since(*ended) < ENDED_FOR);
        if self
            .ended
            .get(&report.backend)
            .is_some_and(|end| at <= *end)
        {
            return;
        }
        match report.rate {
            Some(rate) => self.named(&report.backend, rate, at, now),
            None => self.named_none(&report.backend, at, now),
        }
    }

    fn named(&mut self, backend: &BackendId, rate: RequestRate, at: Millis, now: Millis) {
        let Some(limited) = self.limited.get_mut(backend) else {
            let limited = Limited {
                rate,
                named_at: at,
                heard_at: now,
                nameless: 0,
                bucket: PermitBucket::empty(now),
                demand: Demand::default(),
                next_return: now,
            };
            self.limited.insert(backend.clone(), limited);
            self.number += 1;
            return;
        };
        limited.heard_at = now;
        if at < limited.named_at {
            return;
        }
        limited.named_at = at;
        limited.nameless = 0;
        if limited.rate != rate {
            // What has come in by now came at the old rate.
            limited.bucket.micros(limited.rate, now);
            limited.rate = rate;
            self.number += 1;
        }
    }

    fn named_none(&mut self, backend: &BackendId, at: Millis, now: Millis) {
        let Some(limited) = self.limited.get_mut(backend) else {
            return;
        };
        if at <= limited.named_at {
            return;
        }
        limited.heard_at = now;
        limited.nameless += 1;
        if limited.nameless >= NAMELESS_ANSWERS {
            self.forget(backend);
            self.ended.insert(backend.clone(), now);
        }
    }

    /// Forgets a back end that is gone, or has started again.
    pub fn forget(&mut self, backend: &BackendId) {
        if self.limited.remove(backend).is_some() {
            self.number += 1;
        }
    }

    /// Forgets all back ends but these.
    pub fn keep(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        let before = self.limited.len();
        self.limited.retain(|id, _| is_known(id));
        if self.limited.len() != before {
            self.number += 1;
        }
    }

    /// Grants a permit, or gives the time until there will be one.
    pub fn ask(&mut self, ask: &PermitAsk, now: Millis) -> PermitAnswer {
        let known = ask.backends.iter();
        let known = known.filter(|id| self.limited.contains_key(*id)).count();
        let part = 1.0 / known.max(1) as f64;
        let mut best: Option<(&BackendId, i64)> = None;
        for id in &ask.backends {
            let Some(limited) = self.limited.get_mut(id) else {
                continue;
            };
            let surplus = limited.surplus_micros(ask.rank, now);
            limited.demand.note(ask.rank, part, now);
            if best.is_none_or(|(_, most)| surplus > most) {
                best = Some((id, surplus));
            }
        }
        let outcome = match best {
            Some((id, surplus)) if surplus >= 0 => self.grant(id, now),
            _ => self.refuse(ask, now),
        };
        PermitAnswer {
            number: ask.number,
            outcome,
        }
    }

    fn grant(&mut self, id: &BackendId, now: Millis) -> PermitOutcome {
        let mut is_due = false;
        if let Some(limited) = self.limited.get_mut(id) {
            limited.bucket.take();
            is_due = now.since(limited.heard_at) >= DUE_AFTER;
        }
        PermitOutcome::Granted {
            backend: id.clone(),
            is_due,
        }
    }

    /// Gives each refused caller a time of its own: the next one at which a permit is
    /// there that no other caller was referred to.
    fn refuse(&mut self, ask: &PermitAsk, now: Millis) -> PermitOutcome {
        let mut wait = Millis::NEVER;
        let mut first: Option<(&BackendId, Millis)> = None;
        for id in &ask.backends {
            let Some(limited) = self.limited.get_mut(id) else {
                continue;
            };
            let lacking = limited.surplus_micros(ask.rank, now).min(0).unsigned_abs();
            let own_wait = limited.time_of(lacking);
            wait = wait.min(own_wait);
            let free_at = limited.next_return.max(now + own_wait);
            if first.is_none_or(|(_, at)| free_at < at) {
                first = Some((id, free_at));
            }
        }
        let Some((id, free_at)) = first else {
            return PermitOutcome::Refused {
                wait: UNKNOWN_WAIT,
                retry_after: UNKNOWN_WAIT,
            };
        };
        let latest = now + LONGEST_RETURN;
        if let Some(limited) = self.limited.get_mut(id) {
            limited.next_return = (free_at + limited.time_of(PERMIT_MICROS)).min(latest);
        }
        PermitOutcome::Refused {
            wait,
            retry_after: free_at.min(latest).since(now),
        }
    }
}
