//! Chooses the engine that a stream is sent to next, and builds the job for it.

use garnet_forwarding::{Admission, AttemptEnd, Placement};
use garnet_types::BackendId;

use crate::attempt::{OpenAnswer, attempt, log_failure, status_cause};
use crate::failover::{place_with_isolation, quarantine};
use crate::permits::{NotPlaced, place_within_limits};
use crate::ports::{BackendPort, CallerPort, CopySource, Job, JobPhase};
use crate::request::{RunningRequest, log_no_back_end};

use super::search::{NotStreamed, Search};

impl<C: CallerPort + 'static, B: BackendPort + 'static> Search<C, B> {
    /// Whether no engine has received the request, in this call or an earlier one.
    pub(super) fn is_new(&self) -> bool {
        self.running.is_untried() && !self.was_prefilled && self.resume_after.is_none()
    }

    /// Places a new request. If the engines can't answer it in time, it is refused before
    /// it reaches one of them, or deferred: prefilled after all others.
    pub(super) fn place_new(&mut self) -> Result<Option<Placement>, NotStreamed> {
        if quarantine(&self.gateway, &self.running).is_some() {
            // Quarantine decides where the request runs, whatever the load.
            return Ok(self.place());
        }
        let RunningRequest { service, work, .. } = &self.running;
        let now = self.gateway.now();
        let longest_gap = self.gateway.callers.longest_gap(&self.running.route);
        let arrival = self.running.arrival(longest_gap, now);
        let mut forwarder = self.gateway.forwarder.borrow_mut();
        let placed = forwarder.place_new(service, work, &arrival, now);
        drop(forwarder);
        let Some((placement, admission)) = placed else {
            return Ok(None);
        };
        let (retry_after, predicted) = match admission {
            Admission::Admit => return Ok(Some(placement)),
            Admission::Defer => {
                self.running.work.is_deferred = true;
                return Ok(Some(placement));
            }
            Admission::Refuse {
                retry_after,
                predicted,
            } => (retry_after, predicted),
        };
        log::info!(
            request = self.running.call.facts.id.as_str(),
            route = self.running.route.name.as_str(),
            predicted_ms = predicted.0,
            objective_ms = work.objective.0,
            retry_after_ms = retry_after.0,
            came_back = arrival.is_retry;
            "admission_refused"
        );
        Err(NotStreamed::Busy(retry_after))
    }

    pub(super) fn copy_source(&self, holder: BackendId) -> Option<CopySource> {
        let forwarder = self.gateway.forwarder.borrow();
        let address = forwarder.address(&holder)?.to_owned();
        Some(CopySource {
            backend: holder,
            address,
        })
    }

    pub(super) async fn send(&mut self, job: &Job) -> Result<OpenAnswer<C, B>, AttemptEnd> {
        self.running.served_by = Some(job.backend.clone());
        self.may_run.set(true);
        self.has_unused_repeat = false;
        // No timeout: a decode engine under load is slow with its first event, and one that
        // is gone is noticed when the request's bytes are not acknowledged.
        let answer = attempt(&self.gateway, &self.running.call, job).await;
        match &answer {
            Ok(open) if open.exchange.head.status.is_server_error() => {
                let cause = status_cause(open.exchange.head.status);
                log_failure(&self.running.call, job, &cause);
            }
            Ok(_) => {}
            Err(_) => self.running.tried.push(job.backend.clone()),
        }
        answer
    }

    pub(super) fn job(&self, phase: JobPhase, backend: BackendId) -> Job {
        let resumes = !matches!(phase, JobPhase::Prefill(_));
        let resume_after = self.resume_after.clone().filter(|_| resumes);
        let work = &self.running.work;
        let priority = match &phase {
            // The prompt is prefilled already, so the job delays no other first token.
            JobPhase::Decode(_) => work.priority,
            _ => work.engine_priority(self.uncached_tokens(&phase, &backend)),
        };
        Job {
            phase,
            backend,
            remaining: self.running.remaining(self.gateway.now()),
            priority,
            resume_after,
        }
    }

    /// Prompt tokens that the back end has to prefill in this phase.
    fn uncached_tokens(&self, phase: &JobPhase, backend: &BackendId) -> u64 {
        let source = match phase {
            JobPhase::Whole => None,
            JobPhase::Prefill(source) => source.as_ref().map(|source| &source.backend),
            JobPhase::Decode(_) => return 0,
        };
        let Some(prompt) = &self.running.work.prompt else {
            return 0;
        };
        let forwarder = self.gateway.forwarder.borrow();
        forwarder.uncached_tokens(backend, prompt, source, self.gateway.now())
    }

    pub(super) fn place(&self) -> Option<Placement> {
        let RunningRequest { service, work, .. } = &self.running;
        place_with_isolation(&self.gateway, &self.running, |tried| {
            let now = self.gateway.now();
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            forwarder.place(service, work, tried, true, now)
        })
    }

    /// Places the request at an engine with a limit, using a permit.
    pub(super) async fn place_with_permit(&self) -> Result<Placement, NotStreamed> {
        let placed = place_within_limits(&self.gateway, &self.running, || self.place()).await;
        placed.map_err(|not_placed| match not_placed {
            NotPlaced::Unavailable(retry_after) if self.running.progress.surely_not_run() => {
                NotStreamed::Busy(retry_after)
            }
            NotPlaced::Unavailable(_) => NotStreamed::GivenUp(self.running.progress.given_up()),
            NotPlaced::NoBackend => {
                log_no_back_end(&self.gateway, &self.running);
                NotStreamed::GivenUp(self.running.progress.given_up())
            }
        })
    }

    pub(super) fn place_decode(&self, prefill_engine: &BackendId) -> Option<BackendId> {
        let service = &self.running.service;
        place_with_isolation(&self.gateway, &self.running, |tried| {
            let now = self.gateway.now();
            let mut forwarder = self.gateway.forwarder.borrow_mut();
            let decode_engine = forwarder.place_decode(service, prefill_engine, tried, now);
            // An engine without room to prefill the prompt may have room to decode it. If no
            // other is left, trying it is better than refusing the request.
            decode_engine.or_else(|| {
                let mut tried = tried.to_vec();
                tried.retain(|engine| !self.full_for_prompt.contains(engine));
                forwarder.place_decode(service, prefill_engine, &tried, now)
            })
        })
    }
}
