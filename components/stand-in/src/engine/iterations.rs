//! Iterations: which prompts are prefilled and which sequences are decoded in each, and how
//! long it takes.

use garnet_types::Millis;

use crate::text;

use super::jobs::{JobId, JobOutput, SubmittedJob};
use super::{EngineStandIn, KV_LIFETIME, MICROS_PER_MS};

#[derive(Debug, Clone)]
pub(super) struct Iteration {
    /// End of the iteration, in microseconds.
    pub(super) ends_at: u64,
    /// Jobs to prefill, with the number of tokens of each.
    pub(super) prefill: Vec<(JobId, u64)>,
    /// Jobs that generate a token.
    pub(super) decode: Vec<JobId>,
}

impl EngineStandIn {
    pub(super) fn start_iteration(&mut self, at: u64) {
        let prefill = self.choose_prompts();
        let decode = self.choose_sequences(at);
        if prefill.is_empty() && decode.is_empty() {
            self.wait_for_import(at);
            return;
        }
        let tokens: u64 = prefill.iter().map(|(_, tokens)| *tokens).sum();
        let capacity = &self.settings.capacity;
        let prefill_ms = tokens as f64 * 1000.0 / capacity.prefill_tokens_per_second;
        let decode_ms = if decode.is_empty() {
            0.0
        } else {
            capacity.decode_step_ms
        };
        let length = ((prefill_ms + decode_ms) * MICROS_PER_MS as f64).ceil() as u64;
        self.iteration = Some(Iteration {
            ends_at: at + length.max(1) * self.slowness,
            prefill,
            decode,
        });
    }

    /// Starts an empty iteration that lasts until the next imported KV cache has arrived.
    fn wait_for_import(&mut self, at: u64) {
        let next = self
            .decode
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|job| job.ready_at)
            .min();
        self.iteration = next.map(|ready_at| Iteration {
            ends_at: ready_at.max(at + 1),
            prefill: Vec::new(),
            decode: Vec::new(),
        });
    }

    /// Chooses one chunk of prompt tokens, from the most urgent jobs first, then by arrival.
    fn choose_prompts(&self) -> Vec<(JobId, u64)> {
        let mut queue: Vec<JobId> = self.uncached.iter().copied().collect();
        queue.sort_by_key(|id| self.jobs.get(id).map(|job| job.job.class()));
        let mut remaining = self.settings.chunk_tokens;
        let mut chunk = Vec::new();
        for id in queue {
            let uncached = self.jobs.get(&id).map_or(0, |job| job.uncached_tokens);
            let tokens = uncached.min(remaining);
            if tokens == 0 && uncached > 0 {
                break;
            }
            remaining -= tokens;
            chunk.push((id, tokens));
        }
        chunk
    }

    /// Chooses as many sequences as there are decode slots. Sequences that have started keep
    /// their slots.
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
        for (id, tokens) in iteration.prefill {
            self.prefill_tokens(id, tokens, iteration.ends_at);
        }
        for id in iteration.decode {
            self.generate_token(id);
        }
    }

    fn prefill_tokens(&mut self, id: JobId, tokens: u64, at: u64) {
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

    /// Inserts a job into the decode queue, before the first less urgent job beyond the decode
    /// slots.
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
        let expires_at = Millis(at / MICROS_PER_MS) + KV_LIFETIME;
        self.exported
            .insert(handle, (job.prompt_tokens, expires_at));
        self.outputs.push((id, JobOutput::Prefilled { handle }));
    }

    fn generate_token(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let SubmittedJob::Generate {
            prompt,
            max_tokens,
            imported,
            ..
        } = &job.job
        else {
            return;
        };
        if job.next_token < *max_tokens {
            let index = job.next_token;
            let own = self.settings.build.as_str();
            let text = match imported {
                // The layout of the KV cache differs between builds.
                Some(other) if other.as_str() != own => {
                    text::token(&format!("{other} and {own}"), prompt, index)
                }
                _ => text::token(own, prompt, index),
            };
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
