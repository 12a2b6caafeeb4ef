//! One gateway's record of the runs of prompts during which an engine crashed, and of the parts on
//! which engines wrote answers.
//!
//! Invariant: every recorded run is reported to the leader until the leader confirms it, and
//! reported again to each new leader, which starts without any. Some gateways record runs of
//! others too, which may restart together with the leader. While no leader confirms them, the
//! gateway decides on its own runs.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use garnet_types::{Millis, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::crash::EngineStart;
use crate::crash_log::CRASH_LIFETIME;
use crate::fingerprint::RequestFingerprint;
use crate::prompt_part::{PartId, matching_fingerprints};
use crate::prompt_report::{
    BrokenPromptRun, PromptEvidence, PromptReport, SoundPart, TrackedParts,
};
use crate::prompt_tracker::PromptTracker;

/// Maximum number of recorded runs, some 150 bytes each.
const MAX_RUNS: usize = 512;
/// Maximum number of runs in one report.
const MAX_RUNS_PER_REPORT: usize = 64;
/// Maximum number of parts whose last answer is remembered, 16 bytes each.
const MAX_SOUND_PARTS: usize = 8192;
/// A tracked part that is sound is reported again after this time, as long as it is tracked.
const SOUND_REPORT_INTERVAL: Millis = Millis(500);
/// Time in which a leader confirms a run, if there is one that takes these reports: longer than a
/// change of the leader, as a gateway alone knows of few sound parts.
const CONFIRMATION_TIMEOUT: Millis = Millis::from_secs(3);
/// Time for which an own verdict outlasts the last unconfirmed run, in which a new leader receives
/// the runs and decides on them.
const OWN_VERDICT_LIFETIME: Millis = Millis::from_secs(3);

/// A run of a prompt that broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenPrompt {
    /// The service of the engine.
    pub service: ServiceId,
    /// The request.
    pub request: RequestFingerprint,
    /// The parts that other requests may share, in their order.
    pub parts: Vec<PartId>,
    /// The engine.
    pub engine: EngineStart,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    recorded_at: Millis,
    run: BrokenPrompt,
}

/// The runs of prompts at one gateway.
#[derive(Debug, Default)]
pub struct PromptLog {
    entries: VecDeque<Entry>,
    last_number: u64,
    confirmed: u64,
    /// When a leader last confirmed runs, or one was connected that may do so.
    confirmed_at: Millis,
    now: Millis,
    sound: SoundParts,
    tracked: Vec<TrackedParts>,
    sound_reported_at: Option<Millis>,
    /// Sets that this gateway refuses by itself, each with the end of that.
    own_verdicts: BTreeMap<RequestFingerprint, Millis>,
}

impl PromptLog {
    /// Records a run that broke off as it does when its engine crashes.
    pub fn crashed(&mut self, run: BrokenPrompt, now: Millis) {
        if run.parts.is_empty() {
            return;
        }
        self.last_number += 1;
        self.push(Entry {
            number: self.last_number,
            recorded_at: now,
            run,
        });
        self.update(now);
    }

    fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        if self.entries.len() > MAX_RUNS {
            self.entries.pop_front();
        }
    }

    /// Removes the runs of prompts with a set that is no longer refused, which would have it
    /// refused again.
    pub fn release(&mut self, set: RequestFingerprint) {
        self.own_verdicts.remove(&set);
        self.entries.retain(|Entry { run, .. }| {
            !matching_fingerprints(&run.service, &run.parts).contains(&set)
        });
    }

    /// Records that an engine wrote an answer on these parts.
    pub fn sound(&mut self, service: &ServiceId, parts: &[PartId], now: Millis) {
        for part in parts {
            self.sound.note(service, *part, now);
        }
    }

    /// The report to the leader, if there is anything to report.
    pub fn report(&mut self, now: Millis) -> Option<PromptReport> {
        self.update(now);
        let unconfirmed = self
            .entries
            .iter()
            .filter(|entry| entry.number > self.confirmed);
        let batch: Vec<&Entry> = unconfirmed.take(MAX_RUNS_PER_REPORT).collect();
        let through = batch.last().map_or(0, |entry| entry.number);
        let broken = batch.iter().map(|entry| entry.report(now)).collect();
        let report = PromptReport {
            broken,
            sound: self.sound_report(now),
            through,
        };
        (!report.is_empty()).then_some(report)
    }

    /// The tracked parts that are sound, if they are due.
    fn sound_report(&mut self, now: Millis) -> Vec<SoundPart> {
        let is_due = |at| now.since(at) >= SOUND_REPORT_INTERVAL;
        if !self.sound_reported_at.is_none_or(is_due) {
            return Vec::new();
        }
        let mut report = Vec::new();
        for TrackedParts { service, parts } in &self.tracked {
            for part in parts {
                let Some(at) = self.sound.last(service, *part, now) else {
                    continue;
                };
                report.push(SoundPart {
                    service: service.clone(),
                    part: *part,
                    ago: now.since(at),
                });
            }
        }
        if !report.is_empty() {
            self.sound_reported_at = Some(now);
        }
        report
    }

    /// Records that the leader has all runs up to number `through`.
    pub fn confirmed(&mut self, through: u64) {
        self.confirmed = self.confirmed.max(through);
        self.confirmed_at = self.now;
    }

    /// Handles a possible change of the receiver of the reports. A new one has none of the runs.
    pub fn on_leader_change(&mut self, now: Millis) {
        self.confirmed = self.last_number;
        self.confirmed_at = now;
        self.tracked.clear();
        for entry in &mut self.entries {
            self.last_number += 1;
            entry.number = self.last_number;
        }
    }

    /// Takes what the leader knows: the parts that it tracks, and runs of other gateways.
    pub fn take_evidence(&mut self, evidence: PromptEvidence, now: Millis) {
        if evidence.tracked != self.tracked {
            self.sound_reported_at = None;
        }
        self.tracked = evidence.tracked;
        for run in evidence.runs {
            self.take_run(run, now);
        }
        for SoundPart { service, part, ago } in evidence.sound {
            self.sound.note(&service, part, now - ago);
        }
    }

    fn take_run(&mut self, run: BrokenPromptRun, now: Millis) {
        let recorded_at = now - run.ago;
        let run = BrokenPrompt {
            service: run.service,
            request: run.request,
            parts: run.parts,
            engine: run.engine,
        };
        if self.entries.iter().any(|entry| entry.run == run) {
            return;
        }
        // The leader has it.
        let number = self.confirmed;
        self.push(Entry {
            number,
            recorded_at,
            run,
        });
    }

    /// Whether this gateway refuses no set by itself.
    pub fn has_no_verdicts(&self) -> bool {
        self.own_verdicts.is_empty()
    }

    /// Whether this gateway refuses the set by itself.
    pub fn is_refused(&self, set: &RequestFingerprint) -> bool {
        self.own_verdicts.contains_key(set)
    }

    /// Forgets what no longer counts, and decides on the own runs if no leader does.
    pub fn update(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let is_old = |entry: &Entry| now.since(entry.recorded_at) > CRASH_LIFETIME;
        self.entries.retain(|entry| !is_old(entry));
        self.own_verdicts.retain(|_, until| now < *until);
        if self.is_unconfirmed() {
            self.decide_alone(now);
        }
    }

    /// Whether no leader has confirmed a run in time.
    fn is_unconfirmed(&self) -> bool {
        self.entries.iter().any(|entry| {
            let reported_at = entry.recorded_at.max(self.confirmed_at);
            entry.number > self.confirmed && self.now.since(reported_at) >= CONFIRMATION_TIMEOUT
        })
    }

    fn decide_alone(&mut self, now: Millis) {
        let mut tracker = PromptTracker::default();
        let mut parts = BTreeSet::new();
        for entry in &self.entries {
            let report = PromptReport {
                broken: vec![entry.report(entry.recorded_at)],
                ..PromptReport::default()
            };
            tracker.apply_report(&report, entry.recorded_at);
            let service = &entry.run.service;
            parts.extend(entry.run.parts.iter().map(|part| (service, *part)));
        }
        let sound = parts.into_iter().filter_map(|(service, part)| {
            let at = self.sound.last(service, part, now)?;
            Some(SoundPart {
                service: service.clone(),
                part,
                ago: now.since(at),
            })
        });
        let report = PromptReport {
            sound: sound.collect(),
            ..PromptReport::default()
        };
        tracker.apply_report(&report, now);
        let until = now + OWN_VERDICT_LIFETIME;
        for verdict in tracker.decide(now).refused {
            self.own_verdicts.insert(verdict.set.fingerprint(), until);
        }
    }
}

impl Entry {
    fn report(&self, now: Millis) -> BrokenPromptRun {
        let run = self.run.clone();
        BrokenPromptRun {
            service: run.service,
            request: run.request,
            parts: run.parts,
            engine: run.engine,
            ago: now.since(self.recorded_at),
        }
    }
}

/// When engines last wrote answers on parts, by a hash of service and part.
#[derive(Debug, Default)]
struct SoundParts {
    last: HashMap<u64, Millis>,
}

impl SoundParts {
    fn note(&mut self, service: &ServiceId, part: PartId, now: Millis) {
        let last = self.last.entry(key(service, part)).or_insert(now);
        *last = now.max(*last);
        if self.last.len() > MAX_SOUND_PARTS {
            self.drop_oldest_quarter();
        }
    }

    fn last(&self, service: &ServiceId, part: PartId, now: Millis) -> Option<Millis> {
        let at = self.last.get(&key(service, part)).copied();
        at.filter(|at| now.since(*at) <= CRASH_LIFETIME)
    }

    fn drop_oldest_quarter(&mut self) {
        let mut times: Vec<Millis> = self.last.values().copied().collect();
        let quarter = times.len() / 4;
        let (_, cutoff, _) = times.select_nth_unstable(quarter);
        let cutoff = *cutoff;
        self.last.retain(|_, at| *at > cutoff);
    }
}

fn key(service: &ServiceId, part: PartId) -> u64 {
    xxh3_64_with_seed(service.as_str().as_bytes(), part.0)
}
