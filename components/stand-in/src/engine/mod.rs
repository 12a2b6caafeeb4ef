//! A stand-in for an engine: continuous batching in iterations.
//!
//! An iteration generates one token for each active sequence and prefills at most
//! one chunk of prompts. Its duration is the sum of both, so on an engine that
//! does both, long prompts increase the time between tokens. Engine roles exist to
//! avoid this. Specified in docs/engine-interface.md.

mod iterations;
mod jobs;

use std::collections::{BTreeMap, VecDeque};

use garnet_routing::{LoadReport, block_hashes};
use garnet_types::{
    BuildId, EngineAssignment, EngineCapacity, EngineOrder, EngineStatus, Fence, Millis,
    OrderAnswer,
};

use crate::prefix_cache::PrefixCache;
use crate::text::BUILDS;

use iterations::Iteration;
pub use jobs::{JobId, JobOutput, JobRejection, SubmittedJob};

/// Iterations are timed in microseconds, as they can be shorter than a millisecond.
const MICROS_PER_MS: u64 = 1000;
/// How long an exported KV cache is kept for the engine that is to import it.
const KV_LIFETIME: Millis = Millis::from_secs(30);

/// Settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Role and model at the start.
    pub assignment: EngineAssignment,
    /// Build of the engine.
    pub build: BuildId,
    /// Speed of the engine.
    pub capacity: EngineCapacity,
    /// Maximum number of prompt tokens per iteration.
    pub chunk_tokens: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// How long a change of role takes the engine out of service.
    pub role_change: Millis,
    /// Additional time for a change of model.
    pub model_load: Millis,
    /// Age of the values in a load report.
    pub report_lag: Millis,
}

impl EngineSettings {
    /// An engine of ordinary size.
    pub fn new(assignment: EngineAssignment) -> Self {
        EngineSettings {
            assignment,
            build: BuildId::new(BUILDS[0]),
            capacity: EngineCapacity::default(),
            chunk_tokens: 2000,
            cache_blocks: 4096,
            role_change: Millis(3000),
            model_load: Millis(4000),
            report_lag: Millis(400),
        }
    }
}

#[derive(Debug, Clone)]
struct ActiveJob {
    job: SubmittedJob,
    blocks: Vec<u64>,
    uncached_tokens: u64,
    prompt_tokens: u64,
    next_token: u64,
    /// When the job can be decoded, in microseconds: its imported KV cache has arrived or its
    /// prefill has ended.
    ready_at: u64,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    at: Millis,
    queued_prompt_tokens: u64,
    active_sequences: u64,
}

/// The state machine of one engine.
#[derive(Debug, Clone)]
pub struct EngineStandIn {
    settings: EngineSettings,
    incarnation: u64,
    assignment: EngineAssignment,
    highest_fence: Fence,
    changing: Option<(EngineOrder, Millis)>,
    draining: bool,
    /// Factor by which iterations take longer; an injected fault.
    slowness: u64,
    jobs: BTreeMap<JobId, ActiveJob>,
    /// Jobs whose prompts are to be prefilled, in order of arrival.
    uncached: VecDeque<JobId>,
    /// Jobs that decode or wait for a decode slot, in order of service.
    decode: VecDeque<JobId>,
    iteration: Option<Iteration>,
    cache: PrefixCache,
    /// Exported KV caches by handle, with their tokens and times of expiry.
    exported: BTreeMap<u64, (u64, Millis)>,
    next_job: u64,
    next_handle: u64,
    samples: VecDeque<LoadSample>,
    outputs: Vec<(JobId, JobOutput)>,
}

impl EngineStandIn {
    /// Starts an engine whose highest accepted fence is `highest_fence`.
    pub fn new(settings: EngineSettings, incarnation: u64, highest_fence: Fence) -> Self {
        EngineStandIn {
            assignment: settings.assignment.clone(),
            cache: PrefixCache::new(settings.cache_blocks),
            incarnation,
            highest_fence,
            changing: None,
            draining: false,
            slowness: 1,
            jobs: BTreeMap::new(),
            uncached: VecDeque::new(),
            decode: VecDeque::new(),
            iteration: None,
            exported: BTreeMap::new(),
            next_job: 0,
            next_handle: incarnation << 32,
            samples: VecDeque::new(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Current state of the engine.
    pub fn status(&self) -> EngineStatus {
        EngineStatus {
            incarnation: self.incarnation,
            highest_fence: Some(self.highest_fence),
            assignment: self.assignment.clone(),
            changing: self.changing.as_ref().map(|(order, _)| order.clone()),
            running: self.jobs.len() as u64,
            capacity: self.settings.capacity,
        }
    }

    /// The load report, whose load values are `report_lag` old. It includes the cache events
    /// from sequence number `events_from` on.
    pub fn load_report(&self, events_from: u64, now: Millis) -> LoadReport {
        let sampled_at = now.since(self.settings.report_lag);
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.at <= sampled_at);
        LoadReport {
            incarnation: self.incarnation,
            build: self.settings.build.clone(),
            role: self.assignment.role,
            accepting: self.accepts_work(),
            queued_prompt_tokens: sample.map_or(0, |sample| sample.queued_prompt_tokens),
            active_sequences: sample.map_or(0, |sample| sample.active_sequences),
            age_ms: self.settings.report_lag.0,
            capacity: self.settings.capacity,
            cache_events: self.cache.events_from(events_from),
        }
    }

    /// Build of the engine.
    pub fn build(&self) -> &BuildId {
        &self.settings.build
    }

    /// Begins a planned stop: running jobs finish, new ones are rejected.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the engine is draining for a planned stop.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.jobs.len()
    }

    /// Makes every iteration take `factor` times as long.
    pub fn set_slowness(&mut self, factor: u64) {
        self.slowness = factor.max(1);
    }

    /// Submits a job.
    ///
    /// # Errors
    /// If the engine rejects the job. It has then provably not started.
    pub fn submit(&mut self, job: SubmittedJob, now: Millis) -> Result<JobId, JobRejection> {
        self.check(&job)?;
        self.next_job += 1;
        let id = JobId(self.next_job);
        let active = self.activate(job, now);
        if active.uncached_tokens > 0 {
            self.uncached.push_back(id);
        } else if active.job.generates() {
            self.decode.push_back(id);
        } else {
            // The whole prompt is cached: the next iteration exports it without prefilling.
            self.uncached.push_back(id);
        }
        self.jobs.insert(id, active);
        self.sample(now);
        if self.iteration.is_none() {
            self.start_iteration(now.0 * MICROS_PER_MS);
        }
        Ok(id)
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Millis) {
        self.jobs.remove(&id);
        self.uncached.retain(|queued| *queued != id);
        self.decode.retain(|queued| *queued != id);
        self.sample(now);
    }

    /// Number of tokens of an exported KV cache, or `None` if the handle is unknown.
    pub fn export(&mut self, handle: u64) -> Option<u64> {
        self.exported.get(&handle).map(|(tokens, _)| *tokens)
    }

    /// Processes an order. The caller must make a new [`EngineStatus::highest_fence`] durable
    /// before it sends the answer.
    pub fn order(&mut self, order: &EngineOrder, now: Millis) -> OrderAnswer {
        self.advance(now);
        if order.fence < self.highest_fence {
            return OrderAnswer::StaleFence(self.status());
        }
        if let Some((current, _)) = &mut self.changing {
            // Invariant: no two orders with different assignments are carried out at once.
            if current.assignment != order.assignment {
                return OrderAnswer::Busy(self.status());
            }
            current.fence = order.fence;
            self.highest_fence = order.fence;
            return OrderAnswer::Accepted(self.status());
        }
        if order.assignment == self.assignment {
            self.highest_fence = order.fence;
            return OrderAnswer::Accepted(self.status());
        }
        if !self.jobs.is_empty() {
            return OrderAnswer::Busy(self.status());
        }
        self.highest_fence = order.fence;
        let load = if order.assignment.model == self.assignment.model {
            Millis::ZERO
        } else {
            self.settings.model_load
        };
        let done = now + self.settings.role_change + load;
        self.changing = Some((order.clone(), done));
        OrderAnswer::Accepted(self.status())
    }

    /// When the state changes next without a call.
    pub fn next_due(&self) -> Option<Millis> {
        let iteration = self
            .iteration
            .as_ref()
            .map(|iteration| Millis(iteration.ends_at.div_ceil(MICROS_PER_MS)));
        let change = self.changing.as_ref().map(|(_, done)| *done);
        iteration.into_iter().chain(change).min()
    }

    /// Advances the state to `now`.
    pub fn advance(&mut self, now: Millis) {
        if let Some((order, done)) = &self.changing
            && *done <= now
        {
            self.assignment = order.assignment.clone();
            self.changing = None;
            self.cache.clear();
            self.exported.clear();
        }
        while let Some(iteration) = self.iteration.take() {
            if iteration.ends_at > now.0 * MICROS_PER_MS {
                self.iteration = Some(iteration);
                break;
            }
            let ended_at = iteration.ends_at;
            self.end_iteration(iteration);
            self.start_iteration(ended_at);
        }
        self.exported.retain(|_, (_, expires_at)| *expires_at > now);
        self.sample(now);
    }

    /// Takes the outputs of jobs, in order.
    pub fn take_outputs(&mut self) -> Vec<(JobId, JobOutput)> {
        std::mem::take(&mut self.outputs)
    }

    fn accepts_work(&self) -> bool {
        !self.draining && self.changing.is_none()
    }

    fn check(&self, job: &SubmittedJob) -> Result<(), JobRejection> {
        if !self.accepts_work() {
            return Err(JobRejection::Draining);
        }
        if job.model() != self.assignment.model.as_str() {
            return Err(JobRejection::WrongModel);
        }
        if job
            .build()
            .is_some_and(|build| *build != self.settings.build)
        {
            return Err(JobRejection::WrongBuild);
        }
        let role = self.assignment.role;
        let can_prefill = !job.needs_prefill() || role.prefills();
        let can_generate = !job.generates() || role.generates();
        if can_prefill && can_generate {
            Ok(())
        } else {
            Err(JobRejection::WrongRole)
        }
    }

    fn activate(&self, job: SubmittedJob, now: Millis) -> ActiveJob {
        let (prompt, next_token) = match &job {
            SubmittedJob::Prefill { prompt, .. } => (prompt, 0),
            SubmittedJob::Generate {
                prompt, from_token, ..
            } => (prompt, *from_token),
        };
        let prompt_tokens = prompt.split_whitespace().count() as u64 + next_token;
        let blocks = block_hashes(prompt);
        let imported = !job.needs_prefill();
        let uncached_tokens = if imported {
            0
        } else {
            prompt_tokens.saturating_sub(self.cache.cached_tokens(&blocks))
        };
        let transfer_ms = if imported {
            self.settings.capacity.transfer_ms_per_1000_tokens * prompt_tokens as f64 / 1000.0
        } else {
            0.0
        };
        ActiveJob {
            job,
            blocks,
            uncached_tokens,
            prompt_tokens,
            next_token,
            ready_at: now.0 * MICROS_PER_MS + (transfer_ms * MICROS_PER_MS as f64) as u64,
        }
    }

    // ---- Load ----

    fn sample(&mut self, now: Millis) {
        let queued = self.uncached.iter().filter_map(|id| self.jobs.get(id));
        let queued_prompt_tokens = queued.map(|job| job.uncached_tokens).sum();
        let generates = |job: &&ActiveJob| job.job.generates();
        let active_sequences = self.jobs.values().filter(generates).count() as u64;
        self.samples.push_back(LoadSample {
            at: now,
            queued_prompt_tokens,
            active_sequences,
        });
        let oldest_needed = now.since(self.settings.report_lag);
        while self.samples.len() > 1 && self.samples[1].at <= oldest_needed {
            self.samples.pop_front();
        }
    }
}
