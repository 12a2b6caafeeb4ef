//! Iterations: what is prefilled and generated in each, and how long it lasts.

use garnet_types::Millis;

use crate::text;

use super::jobs::{JobId, JobOutput, SubmittedJob};
use super::{EngineStandIn, KV_KEPT, MICROS};

#[derive(Debug, Clone)]
pub(super) struct Iteration {
    pub(super) ends_at: u64,
    pub(super) read: Vec<(JobId, u64)>,
    pub(super) decode: Vec<JobId>,
}

impl EngineStandIn {
    pub(super) fn start_iteration(&mut self, at: u64) {
        let read = self.choose_prompts();
        let decode = self.choose_sequences(at);
        if read.is_empty() && decode.is_empty() {
            self.wait_for_import(at);
            return;
        }
        let tokens: u64 = read.iter().map(|(_, tokens)| *tokens).sum();
        let capacity = &self.settings.capacity;
        let read_ms = tokens as f64 * 1000.0 / capacity.prefill_tokens_per_second;
        let decode_ms = if decode.is_empty() {
            0.0
        } else {
            capacity.decode_step_ms
        };
        let length = ((read_ms + decode_ms) * MICROS as f64).ceil() as u64;
        self.iteration = Some(Iteration {
            ends_at: at + length.max(1) * self.slowness,
            read,
            decode,
        });
    }

    /// Nothing to do until an imported KV cache is there.
    fn wait_for_import(&mut self, at: u64) {
        let next = self
            .decode
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|job| job.ready_at)
            .min();
        self.iteration = next.map(|ready_at| Iteration {
            ends_at: ready_at.max(at + 1),
            read: Vec::new(),
            decode: Vec::new(),
        });
    }

    /// One chunk of prompts: urgent jobs first, then by arrival.
    fn choose_prompts(&self) -> Vec<(JobId, u64)> {
        let mut queue: Vec<JobId> = self.uncached.iter().copied().collect();
        queue.sort_by_key(|id| self.jobs.get(id).map(|job| job.job.class()));
        let mut left = self.settings.chunk_tokens;
        let mut chunk = Vec::new();
        for id in queue {
            let uncached = self.jobs.get(&id).map_or(0, |job| job.uncached_tokens);
            let tokens = uncached.min(left);
            if tokens == 0 && uncached > 0 {
                break;
            }
            left -= tokens;
            chunk.push((id, tokens));
        }
        chunk
    }

    /// As many sequences as there are slots. Those that have begun keep theirs.
    fn choose_sequences(&self, at: u64) -> Vec<JobId> {
        let slots = self.settings.capacity.decode_slots as usize;
        self.decode
            .iter()
            .filter(|id| self.jobs.get(id).is_some_and(|job| job.ready_at <= at))
            .take(slots)
            .copied()
            .collect()
    }

    pub(super) fn end_iteration(&mut self, iteration: Iteration) {
        for (id, tokens) in iteration.read {
            self.read_tokens(id, tokens, iteration.ends_at);
        }
        for id in iteration.decode {
            self.generate_token(id);
        }
    }

    fn read_tokens(&mut self, id: JobId, tokens: u64, at: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.uncached_tokens = job.uncached_tokens.saturating_sub(tokens);
        if job.uncached_tokens > 0 {
            return;
        }
        self.uncached.retain(|queued| *queued != id);
        self.cache.store(&job.blocks);
        if job.job.generates() {
            job.ready_at = at;
            self.insert_generating(id);
        } else {
            self.export_prompt(id, at);
        }
    }

    /// Behind all jobs of the same or a more urgent class that have no token.
    fn insert_generating(&mut self, id: JobId) {
        let class = self.jobs.get(&id).map(|job| job.job.class());
        let slots = self.settings.capacity.decode_slots as usize;
        let position = self
            .decode
            .iter()
            .enumerate()
            .skip(slots)
            .find(|(_, other)| self.jobs.get(other).map(|job| job.job.class()) > class)
            .map_or(self.decode.len(), |(position, _)| position);
        self.decode.insert(position, id);
    }

    fn export_prompt(&mut self, id: JobId, at: u64) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.next_handle += 1;
        let handle = self.next_handle;
        let until = Millis(at / MICROS) + KV_KEPT;
        self.exported.insert(handle, (job.prompt_tokens, until));
        self.outputs.push((id, JobOutput::Prefilled { handle }));
    }

    fn generate_token(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let SubmittedJob::Generate {
            prompt, max_tokens, ..
        } = &job.job
        else {
            return;
        };
        if job.next_token < *max_tokens {
            let index = job.next_token;
            let text = text::token(prompt, index);
            job.next_token += 1;
            self.outputs.push((id, JobOutput::Token { index, text }));
        }
        if job.next_token >= *max_tokens {
            let total = *max_tokens;
            self.jobs.remove(&id);
            self.decode.retain(|queued| *queued != id);
            self.outputs.push((id, JobOutput::Finished { total }));
        }
    }
}
