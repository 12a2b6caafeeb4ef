//! One gateway's record of the runs during which an engine crashed, and the suspects that the
//! leader published.
//!
//! Invariant: every recorded run is reported to the leader until the leader confirms it, and
//! reported again to each new leader, which starts without any. While the leader is of a version
//! without reports, another replica receives them in its place.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use garnet_types::{BackendId, Millis};

use crate::crash::{CRASH_THRESHOLD, EndedRun, EngineStart, RunEnd, RunReport, Suspects};
use crate::fingerprint::RequestFingerprint;

/// Maximum number of recorded runs, some 100 bytes each: enough for the batches of several
/// engines that crash together.
const MAX_ENTRIES: usize = 512;
/// Maximum number of verdicts of a previous leader that are reported to a new one, at
/// [`CRASH_THRESHOLD`] entries each.
const MAX_REPORTED_VERDICTS: usize = 64;
/// Maximum number of runs in one report, some 40 bytes each.
const MAX_RUNS_PER_REPORT: usize = 128;
/// Number of crashes after which this gateway refuses a request by itself while no replica adds
/// up the crashes of all gateways: each of them would otherwise have to see
/// [`CRASH_THRESHOLD`] of them.
const UNCONFIRMED_CRASH_THRESHOLD: usize = 2;
/// Time in which a replica confirms a run, if there is one that takes reports.
const CONFIRMATION_TIMEOUT: Millis = Millis::from_secs(1);
/// How long a crash counts. A request that arrives less often than this causes less than one
/// crash in this time.
pub(crate) const CRASH_LIFETIME: Millis = Millis::from_secs(900);
/// Time in which a new leader receives the runs of all gateways and decides on them again: the
/// users allow 3 s until all gateways refuse a request.
const LEADER_CATCH_UP_TIME: Millis = Millis::from_secs(3);

/// Whether a request is suspected of crashing engines or refused for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not suspected.
    Clear,
    /// The request is refused after one more crash, and runs only at its
    /// [`isolation_backend`](crate::isolation_backend).
    Suspected,
    /// The request is sent to no engine.
    Refused,
}

/// The status of a request in the list of a previous leader.
#[derive(Debug, Clone, Copy)]
struct PreviousStatus {
    status: QuarantineStatus,
    /// Until when it counts.
    until: Millis,
}

/// One ended run.
#[derive(Debug)]
struct Entry {
    number: u64,
    recorded_at: Millis,
    fingerprint: RequestFingerprint,
    end: RunEnd,
    /// Whether this is not a run of this gateway but a part of a previous leader's verdict.
    is_verdict: bool,
}

/// Crashes that stand for a verdict whose engines only the previous leader knew. They are the same
/// at all gateways, and of no engine of another request.
fn verdict_crashes(fingerprint: RequestFingerprint) -> impl Iterator<Item = EngineStart> {
    let backend = BackendId::new(format!("verdict-{fingerprint}"));
    (0..CRASH_THRESHOLD as u64).map(move |incarnation| EngineStart {
        backend: backend.clone(),
        incarnation,
    })
}

/// The recorded runs and known suspects of one gateway.
#[derive(Debug, Default)]
pub struct CrashLog {
    entries: VecDeque<Entry>,
    last_number: u64,
    confirmed: u64,
    /// When a replica last confirmed runs, or one was connected that may do so.
    confirmed_at: Millis,
    /// Whether the leader is of a version without reports, so that they are sent to another
    /// replica.
    uses_report_connection: bool,
    now: Millis,
    leader_suspects: Suspects,
    /// When that list was received.
    suspects_at: Millis,
    /// Requests in the lists of previous leaders, which count until the new one has caught up.
    previous_suspects: BTreeMap<RequestFingerprint, PreviousStatus>,
    /// Requests that the configuration refuses.
    quarantined: BTreeSet<RequestFingerprint>,
}

impl CrashLog {
    /// Whether no request is suspected or refused, so that lookups can be skipped.
    pub fn is_empty(&self) -> bool {
        self.entries.iter().all(|entry| entry.is_verdict)
            && self.leader_suspects.is_empty()
            && self.previous_suspects.is_empty()
    }

    /// Records a run that broke off as it does when its engine crashes.
    pub fn crashed(&mut self, fingerprint: RequestFingerprint, engine: EngineStart, now: Millis) {
        self.record(fingerprint, RunEnd::Crashed(engine), now);
    }

    /// Removes the crashes that were recorded at these engines since `since`: they did not
    /// crash, the gateway lost its path to them.
    pub fn withdraw(&mut self, is_concerned: impl Fn(&BackendId) -> bool, since: Millis) {
        self.entries.retain(|entry| match &entry.end {
            RunEnd::Crashed(engine) => {
                entry.is_verdict || entry.recorded_at < since || !is_concerned(&engine.backend)
            }
            RunEnd::Completed => true,
        });
    }

    /// Records a run that completed, which clears its request.
    pub fn completed(&mut self, fingerprint: RequestFingerprint, now: Millis) {
        if self.status(fingerprint) == QuarantineStatus::Clear && !self.has_entries(fingerprint) {
            return;
        }
        self.entries
            .retain(|entry| entry.fingerprint != fingerprint);
        self.record(fingerprint, RunEnd::Completed, now);
    }

    fn record(&mut self, fingerprint: RequestFingerprint, end: RunEnd, now: Millis) {
        self.update(now);
        self.last_number += 1;
        self.entries.push_back(Entry {
            number: self.last_number,
            recorded_at: now,
            fingerprint,
            end,
            is_verdict: false,
        });
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// The status of a request, from the runs recorded here and the leader's suspects.
    pub fn status(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        let engines = self.engines_of(fingerprint);
        let published = self.published_status(fingerprint);
        if published == QuarantineStatus::Refused || self.is_certain_cause(fingerprint, &engines) {
            QuarantineStatus::Refused
        } else if engines.len() + 1 >= CRASH_THRESHOLD {
            QuarantineStatus::Suspected
        } else {
            published
        }
    }

    /// The status of a request, or of a set of parts of prompts, by the lists of the leader and
    /// of previous ones.
    pub fn published_status(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        let previous = self.previous_suspects.get(&fingerprint);
        let previous = previous.map(|previous| previous.status);
        if self.leader_suspects.refused.contains(&fingerprint)
            || previous == Some(QuarantineStatus::Refused)
        {
            QuarantineStatus::Refused
        } else if self.leader_suspects.suspected.contains(&fingerprint)
            || previous == Some(QuarantineStatus::Suspected)
        {
            QuarantineStatus::Suspected
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Whether the runs recorded here suffice to refuse a request without the leader: no other
    /// request was running during every one of these crashes, or there was one crash more than
    /// [`CRASH_THRESHOLD`].
    fn is_certain_cause(
        &self,
        fingerprint: RequestFingerprint,
        engines: &BTreeSet<&EngineStart>,
    ) -> bool {
        let threshold = if self.is_unconfirmed() {
            UNCONFIRMED_CRASH_THRESHOLD
        } else {
            CRASH_THRESHOLD
        };
        if engines.len() < threshold {
            return false;
        }
        let other_requests: BTreeSet<RequestFingerprint> = self
            .entries
            .iter()
            .map(|entry| entry.fingerprint)
            .filter(|other| *other != fingerprint)
            .collect();
        let crashed_at_all =
            |other: &RequestFingerprint| self.engines_of(*other).is_superset(engines);
        engines.len() > CRASH_THRESHOLD || !other_requests.iter().any(crashed_at_all)
    }

    /// Whether no replica takes the reports: the leader is of a version without them, and no other
    /// replica has confirmed a run in time.
    fn is_unconfirmed(&self) -> bool {
        let is_overdue = |entry: &Entry| {
            let reported_at = entry.recorded_at.max(self.confirmed_at);
            entry.number > self.confirmed && self.now.since(reported_at) >= CONFIRMATION_TIMEOUT
        };
        self.uses_report_connection && self.entries.iter().any(is_overdue)
    }

    /// Engine starts that crashed during runs of a request, as recorded here.
    fn engines_of(&self, fingerprint: RequestFingerprint) -> BTreeSet<&EngineStart> {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.fingerprint == fingerprint && !entry.is_verdict)
            .filter_map(|entry| match &entry.end {
                RunEnd::Crashed(engine) => Some(engine),
                RunEnd::Completed => None,
            })
            .collect()
    }

    fn has_entries(&self, fingerprint: RequestFingerprint) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.fingerprint == fingerprint)
    }

    /// The runs that the leader has not confirmed, oldest first.
    pub fn report(&mut self, now: Millis) -> Option<RunReport> {
        self.report_unless(now, |_, _| false)
    }

    /// The same up to the first crash that is held back: `is_held` is given its engine and its
    /// age.
    pub fn report_unless(
        &mut self,
        now: Millis,
        is_held: impl Fn(&EngineStart, Millis) -> bool,
    ) -> Option<RunReport> {
        self.update(now);
        let unconfirmed = self
            .entries
            .iter()
            .filter(|ended| ended.number > self.confirmed);
        let may_report = |entry: &&Entry| match &entry.end {
            RunEnd::Crashed(engine) if !entry.is_verdict => {
                !is_held(engine, now.since(entry.recorded_at))
            }
            _ => true,
        };
        let unconfirmed = unconfirmed.take_while(may_report);
        let batch: Vec<&Entry> = unconfirmed.take(MAX_RUNS_PER_REPORT).collect();
        let through = batch.last()?.number;
        let run = |entry: &&Entry| EndedRun {
            fingerprint: entry.fingerprint,
            end: entry.end.clone(),
            ago: now.since(entry.recorded_at),
        };
        Some(RunReport {
            runs: batch.iter().map(run).collect(),
            through,
        })
    }

    /// Records that the receiver of the reports has all runs up to number `through`.
    pub fn confirmed(&mut self, through: u64) {
        self.confirmed = self.confirmed.max(through);
        self.confirmed_at = self.now;
    }

    /// Sets whether reports are sent to a replica other than the leader, which is of a version
    /// without them.
    pub fn set_uses_report_connection(&mut self, uses_report_connection: bool) {
        self.uses_report_connection = uses_report_connection;
    }

    /// Whether reports are sent to a replica other than the leader.
    pub fn uses_report_connection(&self) -> bool {
        self.uses_report_connection
    }

    /// Handles a possible change of the leader, or of the replica that receives the reports in its
    /// place. A new one has none of the runs, and its first list lacks verdicts that the log does
    /// not hold.
    pub fn on_leader_change(&mut self, now: Millis) {
        self.record_verdicts(now);
        self.confirmed = 0;
        self.confirmed_at = now;
        let until = now + LEADER_CATCH_UP_TIME;
        let Suspects { suspected, refused } = &self.leader_suspects;
        for (requests, status) in [
            (suspected, QuarantineStatus::Suspected),
            (refused, QuarantineStatus::Refused),
        ] {
            let previous = PreviousStatus { status, until };
            let requests = requests.iter().map(|request| (*request, previous));
            self.previous_suspects.extend(requests);
        }
    }

    /// Records the verdicts that the log may not hold, for the report to a new leader: the gateways
    /// that saw the crashes may be gone.
    fn record_verdicts(&mut self, now: Millis) {
        let verdicts = self.leader_suspects.refused.iter().copied();
        let verdicts: BTreeSet<_> = verdicts.take(MAX_REPORTED_VERDICTS).collect();
        // Others are kept: a leader that was soon followed by another one may not have listed them.
        self.entries
            .retain(|entry| !entry.is_verdict || !verdicts.contains(&entry.fingerprint));
        for fingerprint in verdicts {
            for engine in verdict_crashes(fingerprint) {
                self.record(fingerprint, RunEnd::Crashed(engine), now);
                if let Some(recorded) = self.entries.back_mut() {
                    recorded.is_verdict = true;
                }
            }
        }
    }

    /// Sets the requests that the configuration refuses. The recorded runs of a request that it no
    /// longer refuses are dropped; otherwise the request would be refused again as soon as an
    /// operator released it. Returns the requests that it no longer refuses.
    pub fn update_quarantined(
        &mut self,
        quarantined: impl Iterator<Item = RequestFingerprint>,
    ) -> Vec<RequestFingerprint> {
        let current: BTreeSet<RequestFingerprint> = quarantined.collect();
        let previous = std::mem::replace(&mut self.quarantined, current);
        let released = previous.difference(&self.quarantined).copied();
        let released: Vec<RequestFingerprint> = released.collect();
        for fingerprint in &released {
            self.entries
                .retain(|entry| entry.fingerprint != *fingerprint);
            self.previous_suspects.remove(fingerprint);
        }
        released
    }

    /// Sets the suspects that the leader published, or the replica that receives the reports in
    /// its place.
    pub fn update_suspects(&mut self, suspects: Suspects) {
        self.leader_suspects = suspects;
        self.suspects_at = self.now;
    }

    /// Forgets what no longer counts.
    pub fn update(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let is_old = |entry: &Entry| now.since(entry.recorded_at) > CRASH_LIFETIME;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
        self.previous_suspects
            .retain(|_, previous| now < previous.until);
        // A list that is not empty is sent again and again as long as its sender is there.
        if now.since(self.suspects_at) > CRASH_LIFETIME {
            self.leader_suspects = Suspects::default();
        }
    }
}
