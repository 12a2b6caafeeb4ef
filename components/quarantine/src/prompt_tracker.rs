//! The estimate of which parts of prompts crash engines.
//!
//! All runs on an engine break off when it crashes, and most share parts with many sound prompts.
//! Four rules tell the cause apart. A part on which an engine lately wrote an answer is sound and
//! never refused. A crash during a run of a refused set counts against no other part of that run.
//! The part with the most crashes that no refused set explains is refused first. Parts that were
//! in the same runs at all crashes can't be told apart, so they are refused only where a prompt
//! contains all of them: a sound prompt with some of them is still served, which clears these, and
//! a crash without some of them rules those out.
//!
//! The estimate is bounded and never replicated: gateways report their runs again to a new leader.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{BackendId, Millis, ServiceId};

use crate::crash::EngineStart;
use crate::crash_log::CRASH_LIFETIME;
use crate::fingerprint::RequestFingerprint;
use crate::prompt_part::{
    MAX_PARTS_PER_SET, PartId, PartSet, matching_fingerprints, matching_sets, part_list,
};
use crate::prompt_report::{
    BrokenPromptRun, PART_CRASH_THRESHOLD, PromptReport, SoundPart, TrackedParts,
};

/// A request may crash engines by itself. It is refused after fewer crashes than a part, so a part
/// is refused only if several requests were running.
const MIN_REQUESTS: usize = 2;
/// Maximum number of tracked crashes.
const MAX_CRASHES: usize = 256;
/// Maximum number of runs that are kept of a crash, some 100 bytes each.
const MAX_RUNS_PER_CRASH: usize = 128;
/// Maximum number of sound parts that are kept, some 50 bytes each.
const MAX_SOUND_PARTS: usize = 4096;
/// Maximum number of parts that gateways are asked about, 8 bytes each.
const MAX_TRACKED_PARTS: usize = 256;
/// Maximum number of runs that are passed on to gateways, some 100 bytes each.
const MAX_SHARED_RUNS: usize = 128;
/// Maximum number of sound parts that are passed on to gateways, some 30 bytes each.
const MAX_SHARED_SOUND_PARTS: usize = 256;
/// Number of crashes that no refused set explains after which a bystander of others is refused:
/// most sound parts are at some crashes that another part caused.
const MIN_FURTHER_CRASHES: usize = 2;
/// Maximum number of sets that are published as suspected, 16 bytes each.
const MAX_SUSPECTED_SETS: usize = 64;
/// Time after the decisive crash in which gateways report it, learn which parts are tracked, and
/// report which of them are sound. The users allow 3 s until all gateways refuse the part.
const DECISION_DELAY: Millis = Millis(1_000);
/// Time within which all gateways have reported a crash.
const REPORT_DELAY: Millis = Millis(350);
/// Time after a reported crash in which a reported answer of the engine may still be from before
/// it: the longest interval between two reports of a gateway, and its delays.
const STALE_ANSWER_WINDOW: Millis = Millis(800);
/// Number of crashes from which on a part is the more probable cause of them than one request of
/// several that were running.
const MIN_PROBABLE_CRASHES: usize = 3;

/// A set of parts that is refused from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedParts {
    /// The set.
    pub set: PartSet,
    /// Number of engines that crashed during runs of prompts with it.
    pub crashes: usize,
}

impl RefusedParts {
    /// The parts as text, separated by commas.
    pub fn part_list(&self) -> String {
        part_list(&self.set.parts)
    }
}

/// Changes of the refused sets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartDecision {
    /// Sets that are refused from now on.
    pub refused: Vec<RefusedParts>,
    /// Sets that are no longer refused.
    pub released: Vec<RequestFingerprint>,
}

/// A run that broke off with its engine.
#[derive(Debug, PartialEq, Eq)]
struct Run {
    request: RequestFingerprint,
    /// The parts that other prompts may share, in their order.
    parts: Vec<PartId>,
    /// Fingerprints of the sets that the prompt matches.
    sets: Vec<RequestFingerprint>,
}

impl Run {
    fn contains_all(&self, parts: &[PartId]) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }
}

/// The crash of an engine.
#[derive(Debug)]
struct Crash {
    engine: EngineStart,
    service: ServiceId,
    /// When the first of its runs broke off.
    at: Millis,
    reported_at: Millis,
    runs: Vec<Run>,
}

/// What is known of a part that is not sound and during whose runs engines crashed.
#[derive(Debug, Clone)]
struct Candidate<'a> {
    part: PartId,
    crashes: Vec<&'a Crash>,
    /// When the crashes that no refused set explains were reported.
    unexplained: Vec<Millis>,
    /// Whether a refused set explains any of the crashes in which the part was in other runs.
    is_bystander: bool,
    requests: BTreeSet<RequestFingerprint>,
    runs: usize,
}

impl Candidate<'_> {
    fn new(part: PartId) -> Self {
        Candidate {
            part,
            crashes: Vec::new(),
            unexplained: Vec::new(),
            is_bystander: false,
            requests: BTreeSet::new(),
            runs: 0,
        }
    }

    /// Whether the part is refused once engines crash during `missing` more of its runs.
    fn nearly_reaches_threshold(&self, missing: usize) -> bool {
        let min_unexplained = if self.is_bystander {
            MIN_FURTHER_CRASHES
        } else {
            1
        };
        self.crashes.len() + missing >= PART_CRASH_THRESHOLD
            && self.unexplained.len() + missing >= min_unexplained
            && !self.unexplained.is_empty()
    }

    fn reaches_threshold(&self) -> bool {
        self.nearly_reaches_threshold(0) && self.requests.len() >= MIN_REQUESTS
    }

    /// Whether all gateways have had time to report the decisive crash, and which parts are
    /// sound. Later crashes don't extend the wait.
    fn is_fully_reported(&self, now: Millis) -> bool {
        let mut times: Vec<Millis> = self.crashes.iter().map(|crash| crash.reported_at).collect();
        times.sort_unstable();
        let waited =
            |since: Option<&Millis>, delay| since.is_some_and(|at| now.since(*at) >= delay);
        waited(times.get(PART_CRASH_THRESHOLD - 1), DECISION_DELAY)
            && waited(self.unexplained.iter().min(), REPORT_DELAY)
    }
}

/// Orders candidates; the most probable cause is the greatest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    unexplained: usize,
    /// A larger set refuses fewer prompts.
    set_size: usize,
    crashes: usize,
    /// A part that crashes engines is in one run at each crash, a popular one in many.
    runs: Reverse<usize>,
}

/// The record of crashes during runs of prompts, and of the refused sets of parts.
#[derive(Debug, Default)]
pub struct PromptTracker {
    crashes: BTreeMap<EngineStart, Crash>,
    /// When engines of a service last wrote an answer on a part.
    sound: BTreeMap<(ServiceId, PartId), Millis>,
    /// The refused sets, also those of which only the fingerprint is known.
    refused: BTreeSet<RequestFingerprint>,
    /// The refused sets that were decided on here.
    decided: BTreeMap<RequestFingerprint, PartSet>,
    suspected: Vec<RequestFingerprint>,
    tracked: Vec<TrackedParts>,
    explained: BTreeSet<EngineStart>,
    /// Refused sets of which crashes were dropped since their engines answered.
    disproved: BTreeSet<RequestFingerprint>,
    /// Whether anything has changed that [`Self::decide`] has not taken into account.
    has_changed: bool,
}

impl PromptTracker {
    /// Applies a gateway's report.
    pub fn apply_report(&mut self, report: &PromptReport, now: Millis) {
        for run in &report.broken {
            let at = now - run.ago;
            let crash = self.crashes.entry(run.engine.clone());
            let crash = crash.or_insert_with(|| Crash {
                engine: run.engine.clone(),
                service: run.service.clone(),
                at,
                reported_at: now,
                runs: Vec::new(),
            });
            let run = Run {
                request: run.request,
                parts: run.parts.clone(),
                sets: matching_fingerprints(&run.service, &run.parts),
            };
            if crash.runs.len() < MAX_RUNS_PER_CRASH && !crash.runs.contains(&run) {
                crash.runs.push(run);
            }
        }
        for sound in &report.sound {
            let at = now - sound.ago;
            let key = (sound.service.clone(), sound.part);
            let last = self.sound.entry(key).or_insert(at);
            *last = at.max(*last);
        }
        self.has_changed |= !report.is_empty();
        self.drop_excess();
    }

    /// Records that an engine answered a request. If its crash was reported long enough ago, only
    /// a connection broke, and the crash is dropped.
    pub fn answered(&mut self, backend: &BackendId, now: Millis) {
        let is_disproved = |engine: &EngineStart, crash: &mut Crash| {
            engine.backend == *backend && now.since(crash.reported_at) >= STALE_ANSWER_WINDOW
        };
        for (_, crash) in self.crashes.extract_if(.., is_disproved) {
            self.has_changed = true;
            let sets = crash.runs.iter().flat_map(|run| &run.sets);
            let refused = sets.filter(|set| self.refused.contains(set));
            self.disproved.extend(refused);
        }
    }

    /// Decides which sets of parts are refused and which no longer are.
    pub fn decide(&mut self, now: Millis) -> PartDecision {
        self.forget_old(now);
        let mut decision = PartDecision::default();
        if !self.has_changed {
            return decision;
        }
        self.has_changed = false;
        self.identify_refused();
        self.revise(&mut decision);
        self.disproved.clear();
        while let Some(probable) = self.most_probable() {
            if !probable.is_fully_reported(now) {
                self.has_changed = true;
                break;
            }
            let crashes = probable.crashes.len();
            let sets = self.sets_of(&probable);
            if !self.refuse_sets(sets, crashes, &mut decision) {
                break;
            }
        }
        self.suspected = self.compute_suspected();
        self.tracked = self.compute_tracked();
        self.explained = self.compute_explained();
        decision
    }

    /// Finds the refused sets of which only the fingerprint is known among those of the runs.
    fn identify_refused(&mut self) {
        let is_unknown = |set: &RequestFingerprint| {
            self.refused.contains(set) && !self.decided.contains_key(set)
        };
        let mut found = Vec::new();
        for crash in self.crashes.values() {
            for run in crash
                .runs
                .iter()
                .filter(|run| run.sets.iter().any(is_unknown))
            {
                found.extend(matching_sets(&crash.service, &run.parts));
            }
        }
        for set in found {
            let fingerprint = set.fingerprint();
            if self.refused.contains(&fingerprint) {
                self.decided.insert(fingerprint, set);
            }
        }
    }

    /// The part that most probably crashes engines, of those that reach the threshold.
    fn most_probable(&self) -> Option<Candidate<'_>> {
        let candidates = self.candidates();
        let reaching = candidates
            .values()
            .filter(|candidate| candidate.reaches_threshold());
        let most_probable = reaching.max_by_key(|candidate| self.rank(candidate, &candidates))?;
        Some(most_probable.clone())
    }

    fn rank(
        &self,
        candidate: &Candidate<'_>,
        candidates: &BTreeMap<PartId, Candidate<'_>>,
    ) -> Rank {
        Rank {
            unexplained: candidate.unexplained.len(),
            set_size: inseparable_parts(candidate, candidates).len(),
            crashes: candidate.crashes.len(),
            runs: Reverse(candidate.runs),
        }
    }

    /// Refuses these sets. Returns whether any of them is new.
    fn refuse_sets(
        &mut self,
        sets: Vec<PartSet>,
        crashes: usize,
        decision: &mut PartDecision,
    ) -> bool {
        let before = decision.refused.len();
        for set in sets {
            let fingerprint = set.fingerprint();
            if self.refused.insert(fingerprint) {
                self.decided.insert(fingerprint, set.clone());
                decision.refused.push(RefusedParts { set, crashes });
            }
        }
        decision.refused.len() > before
    }

    /// The part and those that were in the same runs at each of its crashes, as a set for each
    /// service of the crashes.
    fn sets_of(&self, candidate: &Candidate<'_>) -> Vec<PartSet> {
        let parts = inseparable_parts(candidate, &self.candidates());
        let crashes = candidate.crashes.iter();
        let services: BTreeSet<&ServiceId> = crashes.map(|crash| &crash.service).collect();
        let set = |service: &ServiceId| PartSet::new(service.clone(), parts.clone());
        services.into_iter().map(set).collect()
    }

    /// Releases refused sets that later reports speak against.
    fn revise(&mut self, decision: &mut PartDecision) {
        for (fingerprint, set) in self.decided.clone() {
            let suspicious = self.without_cleared(&set);
            let is_disproved = self.disproved.contains(&fingerprint)
                && self.crashes_of(&set).len() < PART_CRASH_THRESHOLD;
            let is_unfounded = is_disproved || self.is_explained_by_another(&set);
            if suspicious.len() == set.parts.len() && !is_unfounded {
                continue;
            }
            self.release(&fingerprint);
            decision.released.push(fingerprint);
            if suspicious.is_empty() || is_unfounded {
                continue;
            }
            let set = PartSet::new(set.service, suspicious);
            let crashes = self.crashes_of(&set).len();
            self.refused.insert(set.fingerprint());
            self.decided.insert(set.fingerprint(), set.clone());
            decision.refused.push(RefusedParts { set, crashes });
        }
    }

    /// The parts of a set that are not known to be sound.
    fn without_cleared(&self, set: &PartSet) -> Vec<PartId> {
        let is_cleared = |part: &PartId| {
            let key = (set.service.clone(), *part);
            self.sound.contains_key(&key)
        };
        let parts = set.parts.iter();
        parts.filter(|part| !is_cleared(part)).copied().collect()
    }

    /// Whether another refused set was running at all crashes of this one and at further ones:
    /// then it alone is the cause.
    fn is_explained_by_another(&self, set: &PartSet) -> bool {
        let own = self.crashes_of(set);
        let others = self.decided.values().filter(|other| *other != set);
        !own.is_empty()
            && others.into_iter().any(|other| {
                let crashes = self.crashes_of(other);
                crashes.len() > own.len() && crashes.is_superset(&own)
            })
    }

    /// The crashes during runs of prompts with all parts of the set.
    fn crashes_of(&self, set: &PartSet) -> BTreeSet<&EngineStart> {
        let is_at = |crash: &Crash| crash.runs.iter().any(|run| run.contains_all(&set.parts));
        let crashes = self.crashes.iter();
        crashes
            .filter(|(_, crash)| is_at(crash))
            .map(|(engine, _)| engine)
            .collect()
    }

    /// All parts that are not sound, with the crashes that count against them.
    fn candidates(&self) -> BTreeMap<PartId, Candidate<'_>> {
        let mut candidates = BTreeMap::new();
        for crash in self.crashes.values() {
            self.add_crash(crash, &mut candidates);
        }
        candidates
    }

    fn add_crash<'a>(&self, crash: &'a Crash, candidates: &mut BTreeMap<PartId, Candidate<'a>>) {
        let is_explained = self.is_explained(crash);
        let mut runs_by_part: BTreeMap<PartId, Vec<&Run>> = BTreeMap::new();
        for run in &crash.runs {
            for part in self.accusable_parts(run) {
                runs_by_part.entry(part).or_default().push(run);
            }
        }
        for (part, runs) in runs_by_part {
            if self.sound.contains_key(&(crash.service.clone(), part)) {
                continue;
            }
            let candidate = candidates
                .entry(part)
                .or_insert_with(|| Candidate::new(part));
            candidate.crashes.push(crash);
            if !is_explained {
                candidate.unexplained.push(crash.reported_at);
            }
            candidate.is_bystander |= is_explained && runs.iter().any(|run| !self.is_refused(run));
            candidate.runs += runs.len();
            candidate
                .requests
                .extend(runs.iter().map(|run| run.request));
        }
    }

    /// The parts against which the run counts: if it has a refused set, only those of the set, of
    /// which one may be the cause alone.
    fn accusable_parts(&self, run: &Run) -> Vec<PartId> {
        if !self.is_refused(run) {
            return run.parts.clone();
        }
        let sets = run.sets.iter().filter_map(|set| self.decided.get(set));
        let of_sets: BTreeSet<PartId> = sets.flat_map(|set| &set.parts).copied().collect();
        let parts = run.parts.iter().copied();
        parts.filter(|part| of_sets.contains(part)).collect()
    }

    fn is_refused(&self, run: &Run) -> bool {
        run.sets.iter().any(|set| self.refused.contains(set))
    }

    /// Whether a prompt with a refused set was running during the crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        crash.runs.iter().any(|run| self.is_refused(run))
    }

    /// Engines whose crashes a refused set explains, or a part that was in runs of several requests
    /// at several crashes and that no engine has answered.
    pub fn explained(&self) -> &BTreeSet<EngineStart> {
        &self.explained
    }

    fn compute_explained(&self) -> BTreeSet<EngineStart> {
        let mut explained: BTreeSet<EngineStart> = self
            .crashes
            .iter()
            .filter(|(_, crash)| self.is_explained(crash))
            .map(|(engine, _)| engine.clone())
            .collect();
        for candidate in self.candidates().values() {
            let is_probable = candidate.crashes.len() >= MIN_PROBABLE_CRASHES
                && candidate.requests.len() >= MIN_REQUESTS;
            if is_probable {
                explained.extend(candidate.crashes.iter().map(|crash| crash.engine.clone()));
            }
        }
        explained
    }

    /// Sets that are refused after one more crash.
    pub fn suspected(&self) -> &[RequestFingerprint] {
        &self.suspected
    }

    fn compute_suspected(&self) -> Vec<RequestFingerprint> {
        let candidates = self.candidates();
        let nearly = candidates
            .values()
            .filter(|candidate| candidate.nearly_reaches_threshold(1));
        let sets = nearly.flat_map(|candidate| self.sets_of(candidate));
        let fingerprints: BTreeSet<RequestFingerprint> =
            sets.map(|set| set.fingerprint()).collect();
        let open = fingerprints.difference(&self.refused);
        open.take(MAX_SUSPECTED_SETS).copied().collect()
    }

    /// Parts of which gateways report whether they are sound.
    pub fn tracked(&self) -> &[TrackedParts] {
        &self.tracked
    }

    /// Broken runs that count against any part, those of the newest crashes first. Gateways
    /// keep them for the next leader.
    pub fn shared_runs(&self, now: Millis) -> Vec<BrokenPromptRun> {
        let tracked = self.tracked.iter().flat_map(|tracked| &tracked.parts);
        let tracked: BTreeSet<&PartId> = tracked.collect();
        let mut crashes: Vec<(&EngineStart, &Crash)> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, crash)| Reverse(crash.at));
        let mut shared = Vec::new();
        for (engine, crash) in crashes {
            let runs = crash.runs.iter();
            let counting = runs.filter(|run| run.parts.iter().any(|part| tracked.contains(part)));
            shared.extend(counting.map(|run| BrokenPromptRun {
                service: crash.service.clone(),
                request: run.request,
                parts: run.parts.clone(),
                engine: engine.clone(),
                ago: now.since(crash.at),
            }));
        }
        shared.truncate(MAX_SHARED_RUNS);
        shared
    }

    /// The parts that were reported as sound, the latest first.
    pub fn shared_sound_parts(&self, now: Millis) -> Vec<SoundPart> {
        let mut sound: Vec<_> = self.sound.iter().collect();
        sound.sort_by_key(|(_, sound_at)| Reverse(**sound_at));
        sound.truncate(MAX_SHARED_SOUND_PARTS);
        sound
            .into_iter()
            .map(|((service, part), sound_at)| SoundPart {
                service: service.clone(),
                part: *part,
                ago: now.since(*sound_at),
            })
            .collect()
    }

    fn compute_tracked(&self) -> Vec<TrackedParts> {
        let candidates = self.candidates();
        let mut parts: Vec<(&PartId, &Candidate<'_>)> = candidates.iter().collect();
        parts.sort_by_key(|(_, candidate)| Reverse(candidate.crashes.len()));
        parts.truncate(MAX_TRACKED_PARTS);
        let mut by_service: BTreeMap<&ServiceId, BTreeSet<PartId>> = BTreeMap::new();
        for (part, candidate) in parts {
            for crash in &candidate.crashes {
                by_service.entry(&crash.service).or_default().insert(*part);
            }
        }
        by_service
            .into_iter()
            .map(|(service, parts)| TrackedParts {
                service: service.clone(),
                parts: parts.into_iter().collect(),
            })
            .collect()
    }

    /// Refuses a set of which only the fingerprint may be known.
    pub fn refuse(&mut self, fingerprint: RequestFingerprint) {
        self.has_changed |= self.refused.insert(fingerprint);
    }

    /// Stops refusing a set.
    pub fn release(&mut self, fingerprint: &RequestFingerprint) {
        self.has_changed |= self.refused.remove(fingerprint);
        self.decided.remove(fingerprint);
    }

    /// Stops refusing a set at an operator's request, and drops the crashes that stand against
    /// it, which would have it refused again.
    pub fn forgive(&mut self, fingerprint: &RequestFingerprint) {
        self.release(fingerprint);
        let is_concerned = |crash: &Crash| {
            let mut sets = crash.runs.iter().flat_map(|run| &run.sets);
            sets.any(|set| set == fingerprint)
        };
        self.crashes.retain(|_, crash| !is_concerned(crash));
        self.has_changed = true;
    }

    /// Fingerprints of the refused sets.
    pub fn refused(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.refused.iter().copied()
    }

    /// Number of tracked crashes.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    fn forget_old(&mut self, now: Millis) {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.since(crash.reported_at) <= CRASH_LIFETIME);
        self.sound
            .retain(|_, sound_at| now.since(*sound_at) <= CRASH_LIFETIME);
        self.has_changed |= self.crashes.len() != before;
    }

    fn drop_excess(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(engine, _)| engine.clone()) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
        while self.sound.len() > MAX_SOUND_PARTS {
            let oldest = self.sound.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.sound.remove(&oldest);
        }
    }
}

/// The part and others of which none is known to be sound, and all of which were in one run at
/// each crash of the part. Later parts of a prompt come first, as fewer prompts share them.
fn inseparable_parts(
    candidate: &Candidate<'_>,
    candidates: &BTreeMap<PartId, Candidate<'_>>,
) -> Vec<PartId> {
    let mut inseparable = vec![candidate.part];
    let Some(first) = candidate.crashes.first() else {
        return inseparable;
    };
    let is_with_part = |run: &&Run| run.parts.contains(&candidate.part);
    let runs = first.runs.iter().filter(is_with_part);
    for other in runs.flat_map(|run| run.parts.iter().rev()) {
        if inseparable.len() == MAX_PARTS_PER_SET {
            break;
        }
        if !candidates.contains_key(other) || inseparable.contains(other) {
            continue;
        }
        let mut together = inseparable.clone();
        together.push(*other);
        let is_in_one_run =
            |crash: &&Crash| crash.runs.iter().any(|run| run.contains_all(&together));
        if candidate.crashes.iter().all(is_in_one_run) {
            inseparable = together;
        }
    }
    inseparable
}
