//! The leader's estimate of which requests crash engines, from the reports of all gateways.
//!
//! A crash ends all runs on the engine, so every request of the batch is suspected like the one
//! that caused it. Three rules tell them apart: a request that completed anywhere is cleared; a
//! crash during a run of a refused request does not count against other requests; and the
//! requests with the most crashes are refused first. The estimate is bounded and never
//! replicated: gateways report their runs again to a new leader.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{BackendId, Millis};

use crate::crash::{CRASH_THRESHOLD, EndedRun, EngineStart, RunEnd, RunReport, SuspectedRequest};
use crate::crash_log::CRASH_LIFETIME;
use crate::fingerprint::RequestFingerprint;

/// Maximum number of tracked requests, some 200 bytes each.
const MAX_TRACKED: usize = 16 * 1024;
/// Maximum number of suspected requests that are published to gateways, 16 bytes each.
const MAX_SUSPECTED: usize = 128;
/// Time within which all gateways have reported a crash: the longest interval between two reports
/// of a gateway, plus the network delay.
const REPORT_DELAY: Millis = Millis(350);
/// Time after a reported crash in which an answer of the engine may still be from before it. A
/// later answer shows that the engine did not crash and only a connection broke.
const STALE_ANSWER_WINDOW: Millis = Millis::from_secs(5);

/// A request during whose runs engines crashed.
#[derive(Debug, Default)]
struct TrackedRequest {
    /// The engines that crashed, each with the time of its first report.
    engines: BTreeMap<EngineStart, Millis>,
    /// When a run of the request last completed; earlier crashes do not count.
    completed_at: Option<Millis>,
    /// When the request was last reported.
    reported_at: Millis,
}

/// The crashes during runs of a request.
#[derive(Debug, Clone)]
struct Crashes {
    /// Number of crashes during which a refused request was running too.
    explained: usize,
    /// Times of the first reports of the other crashes, oldest first.
    unexplained: Vec<Millis>,
}

impl Crashes {
    fn total(&self) -> usize {
        self.explained + self.unexplained.len()
    }

    /// Number of unexplained crashes after which the request is refused. Two requests that both
    /// crash engines may be running during the same crashes. When one is refused for these, they
    /// no longer count against the other one, but it needs fewer further crashes to be refused.
    fn threshold(&self) -> usize {
        match self.explained {
            0 => CRASH_THRESHOLD,
            1 | 2 => CRASH_THRESHOLD - 1,
            _ => 1,
        }
    }

    fn reach_threshold(&self) -> bool {
        self.unexplained.len() >= self.threshold()
    }

    /// Whether one more crash would reach the threshold.
    fn nearly_reach_threshold(&self) -> bool {
        self.unexplained.len() + 1 >= self.threshold() && self.total() + 1 >= CRASH_THRESHOLD
    }

    /// Whether all gateways have had time to report the crashes that reached the threshold. Later
    /// crashes don't extend the wait; otherwise a request that keeps crashing engines would never
    /// be refused.
    fn are_fully_reported(&self, now: Millis) -> bool {
        let decisive = self.unexplained.get(self.threshold() - 1);
        decisive.is_none_or(|at| now.since(*at) >= REPORT_DELAY)
    }
}

/// A request that is refused from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Number of engines that crashed during its runs.
    pub crashes: usize,
}

/// The leader's record of the crashes and of the refused requests.
#[derive(Debug, Default)]
pub struct CrashTracker {
    tracked: BTreeMap<RequestFingerprint, TrackedRequest>,
    refused: BTreeSet<RequestFingerprint>,
    /// Engines whose crash was reported, with the time of the first report. The crash is dropped
    /// if the engine still answers.
    crashed_engines: BTreeMap<BackendId, Millis>,
    /// Crashes that parts of prompts caused. They don't count against requests.
    caused_by_parts: BTreeSet<EngineStart>,
    suspected: Vec<RequestFingerprint>,
    /// Whether anything has changed that [`Self::decide`] has not taken into account.
    has_changed: bool,
}

impl CrashTracker {
    /// Applies a gateway's report.
    pub fn apply_report(&mut self, report: &RunReport, now: Millis) {
        for run in &report.runs {
            self.apply_run(run, now);
        }
        self.has_changed |= !report.runs.is_empty();
        self.evict_oldest();
    }

    fn apply_run(&mut self, run: &EndedRun, now: Millis) {
        let at = now - run.ago;
        let tracked = self.tracked.entry(run.fingerprint).or_default();
        tracked.reported_at = now;
        match &run.end {
            RunEnd::Completed => {
                tracked.completed_at = tracked.completed_at.max(Some(at));
                tracked.engines.clear();
            }
            RunEnd::Crashed(engine) => {
                if tracked.completed_at.is_some_and(|completed| at < completed) {
                    return;
                }
                tracked.engines.entry(engine.clone()).or_insert(now);
                self.crashed_engines
                    .entry(engine.backend.clone())
                    .or_insert(now);
            }
        }
    }

    /// Records that an engine answered a request. If its crash was reported long enough ago, the
    /// answer shows that it did not crash, and the crash is dropped.
    pub fn answered(&mut self, backend: &BackendId, now: Millis) {
        let Some(crash_reported_at) = self.crashed_engines.get(backend) else {
            return;
        };
        if now.since(*crash_reported_at) < STALE_ANSWER_WINDOW {
            return;
        }
        self.crashed_engines.remove(backend);
        for tracked in self.tracked.values_mut() {
            let is_kept = |engine: &EngineStart, at: &Millis| {
                engine.backend != *backend || now.since(*at) < STALE_ANSWER_WINDOW
            };
            tracked.engines.retain(|engine, at| is_kept(engine, at));
        }
        self.has_changed = true;
    }

    /// Sets the crashes that parts of prompts caused.
    pub fn set_caused_by_parts(&mut self, engines: &BTreeSet<EngineStart>) {
        if *engines != self.caused_by_parts {
            self.caused_by_parts.clone_from(engines);
            self.has_changed = true;
        }
    }

    /// Decides which further requests are refused, and returns them. They stay refused until they
    /// are released.
    pub fn decide(&mut self, now: Millis) -> Vec<RefusedRequest> {
        self.forget_old(now);
        if !self.has_changed {
            return Vec::new();
        }
        let mut newly_refused = Vec::new();
        while let Some(most_crashed) = self.most_crashed() {
            if !most_crashed
                .values()
                .all(|crashes| crashes.are_fully_reported(now))
            {
                // Reports of other requests that ran during these crashes may still arrive.
                self.suspected = self.compute_suspected();
                return newly_refused;
            }
            for (fingerprint, crashes) in most_crashed {
                self.refused.insert(fingerprint);
                newly_refused.push(RefusedRequest {
                    fingerprint,
                    crashes: crashes.total(),
                });
            }
        }
        self.has_changed = false;
        self.suspected = self.compute_suspected();
        newly_refused
    }

    /// The requests with the most crashes among those that reach the threshold.
    fn most_crashed(&self) -> Option<BTreeMap<RequestFingerprint, Crashes>> {
        let mut over_threshold = self.unrefused_crashes();
        over_threshold.retain(|_, crashes| crashes.reach_threshold());
        let count = |crashes: &Crashes| crashes.unexplained.len();
        let max_count = over_threshold.values().map(count).max()?;
        over_threshold.retain(|_, crashes| count(crashes) == max_count);
        Some(over_threshold)
    }

    /// The crashes of each request that is not refused.
    fn unrefused_crashes(&self) -> BTreeMap<RequestFingerprint, Crashes> {
        let refused = self.refused.iter().filter_map(|id| self.tracked.get(id));
        let explained = refused.flat_map(|tracked| tracked.engines.keys());
        let explained: BTreeSet<&EngineStart> = explained.chain(&self.caused_by_parts).collect();
        let unrefused = self.tracked.iter();
        let unrefused = unrefused.filter(|(id, _)| !self.refused.contains(*id));
        unrefused
            .map(|(id, tracked)| {
                let engines = tracked.engines.iter();
                let unexplained_engines = engines.filter(|(engine, _)| !explained.contains(engine));
                let mut unexplained: Vec<Millis> = unexplained_engines.map(|(_, at)| *at).collect();
                unexplained.sort_unstable();
                let crashes = Crashes {
                    explained: tracked.engines.len() - unexplained.len(),
                    unexplained,
                };
                (*id, crashes)
            })
            .collect()
    }

    /// Requests that are refused after one more crash, at most
    /// [`MAX_SUSPECTED`].
    pub fn suspected(&self) -> &[RequestFingerprint] {
        &self.suspected
    }

    fn compute_suspected(&self) -> Vec<RequestFingerprint> {
        let unrefused = self.unrefused_crashes();
        let suspected = unrefused
            .iter()
            .filter(|(_, crashes)| crashes.nearly_reach_threshold());
        suspected.map(|(id, _)| *id).take(MAX_SUSPECTED).collect()
    }

    /// Engines that crashed during runs of a request.
    pub fn engines(&self, fingerprint: &RequestFingerprint) -> Vec<EngineStart> {
        let tracked = self.tracked.get(fingerprint);
        tracked.map_or(Vec::new(), |tracked| {
            tracked.engines.keys().cloned().collect()
        })
    }

    /// Restores a suspected request that a previous leader stored.
    pub fn restore(&mut self, suspected: SuspectedRequest, now: Millis) {
        let tracked = self.tracked.entry(suspected.fingerprint).or_default();
        tracked.reported_at = now;
        for engine in suspected.engines {
            tracked.engines.entry(engine).or_insert(now);
        }
        self.has_changed = true;
    }

    /// Number of tracked requests.
    pub fn tracked(&self) -> usize {
        self.tracked.len()
    }

    /// Requests that are refused.
    pub fn refused(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.refused.iter().copied()
    }

    /// Refuses a request, whatever its crashes.
    pub fn refuse(&mut self, fingerprint: RequestFingerprint) {
        self.has_changed |= self.refused.insert(fingerprint);
    }

    /// Stops refusing a request, and drops its crashes.
    pub fn release(&mut self, fingerprint: &RequestFingerprint) {
        self.refused.remove(fingerprint);
        self.tracked.remove(fingerprint);
        self.has_changed = true;
    }

    fn forget_old(&mut self, now: Millis) {
        let before = self.tracked.len();
        let refused = &self.refused;
        let is_old = |reported_at| now.since(reported_at) > CRASH_LIFETIME;
        self.tracked
            .retain(|id, tracked| refused.contains(id) || !is_old(tracked.reported_at));
        self.crashed_engines.retain(|_, at| !is_old(*at));
        self.has_changed |= self.tracked.len() != before;
    }

    /// Drops the quarter with the oldest reports when there are too many tracked requests. Refused
    /// requests are kept.
    fn evict_oldest(&mut self) {
        if self.tracked.len() <= MAX_TRACKED {
            return;
        }
        let mut report_times: Vec<Millis> = self.tracked.values().map(|t| t.reported_at).collect();
        let quarter = report_times.len() / 4;
        let (_, cutoff, _) = report_times.select_nth_unstable(quarter);
        let cutoff = *cutoff;
        let refused = &self.refused;
        let is_newer = |tracked: &TrackedRequest| tracked.reported_at > cutoff;
        self.tracked
            .retain(|id, tracked| refused.contains(id) || is_newer(tracked));
    }
}
