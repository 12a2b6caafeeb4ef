//! Streams whose prompt is prefilled by one engine and decoded by another.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;

use garnet_forwarding::{AttemptEnd, NotRunReason, Progress};
use garnet_types::BackendId;

use crate::attempt::{OpenAnswer, note_silent};
use crate::failover::{admit_hedge, can_fail_over, may_be_sent};
use crate::kv_transfer::{WaitingCache, prefill, prefill_time_limit};
use crate::permits::place_within_limits;
use crate::ports::{BackendPort, CallerPort, CopySource, Job, JobPhase};
use crate::request::log_no_back_end;
use crate::timeout::with_timeout;

use super::search::{NotStreamed, Opened, Search};

/// Outcome of a slow prefill and of the hedge that ran beside it.
enum Hedged<C: CallerPort + 'static, B: BackendPort + 'static> {
    /// The slow prefill ended in this way.
    Done(Result<WaitingCache<C, B>, AttemptEnd>),
    /// An engine of the hedge answers.
    Answer(Box<OpenAnswer<C, B>>),
}

/// Which ended first, the slow prefill or the hedge.
enum First<C: CallerPort + 'static, B: BackendPort + 'static> {
    Slow(Result<WaitingCache<C, B>, AttemptEnd>),
    Hedge(Result<Box<OpenAnswer<C, B>>, NotStreamed>),
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Search<C, B> {
    pub(super) async fn prefill_at(
        &mut self,
        prefill_engine: BackendId,
        source: Option<CopySource>,
    ) -> Result<Opened<C, B>, NotStreamed> {
        let job = self.job(JobPhase::Prefill(source), prefill_engine.clone());
        let gateway = Rc::clone(&self.gateway);
        let call = Rc::clone(&self.running.call);
        let time_limit = prefill_time_limit(&gateway, &call, &job);
        let mut prefilling = pin!(prefill(&gateway, &call, &job));
        let prefilled = loop {
            if let Some(prefilled) = with_timeout(time_limit, prefilling.as_mut()).await {
                break prefilled;
            }
            if self.begin_prefill_hedge(&job) {
                match self.prefill_hedged(prefilling).await? {
                    Hedged::Done(prefilled) => break prefilled,
                    Hedged::Answer(open) => return Ok(Ok(Some(*open))),
                }
            }
        };
        Ok(match prefilled {
            Ok(cache) => {
                self.was_prefilled = true;
                self.cache = Some(cache);
                Ok(None)
            }
            Err(end) => {
                // The next attempt goes to another prefill engine: a decode engine that
                // prefills a prompt delays all requests that it decodes.
                self.running.tried.push(prefill_engine);
                Err(end)
            }
        })
    }

    /// Marks a prefill engine that takes too long as silent, and returns whether other
    /// engines may work on the request beside it.
    fn begin_prefill_hedge(&mut self, job: &Job) -> bool {
        if !self.running.tried.contains(&job.backend) {
            note_silent(&self.gateway, &self.running.call, job);
            self.running.tried.push(job.backend.clone());
        }
        // A prefill does not run the request, so it counts as a rejected attempt.
        let count = |progress: &mut Progress| {
            progress.note(AttemptEnd::NotRun(NotRunReason::CacheGone));
        };
        can_fail_over(&self.gateway, &self.running, true)
            && admit_hedge(&self.gateway, &mut self.running, count)
    }

    /// Sends the request to other engines while a slow prefill stays open. The first
    /// to succeed is used and the other side is closed. Both may be open at once, since a
    /// prefill does not run the request.
    ///
    /// Invariant: the slow engine's KV cache is used only if no other engine can have
    /// begun to decode, or if the work may be repeated.
    async fn prefill_hedged(
        &mut self,
        mut prefilling: Pin<&mut impl Future<Output = Result<WaitingCache<C, B>, AttemptEnd>>>,
    ) -> Result<Hedged<C, B>, NotStreamed> {
        let may_run = Rc::clone(&self.may_run);
        let (prefilled, hedge) = {
            let mut hedge: Pin<Box<dyn Future<Output = _>>> = Box::pin(self.open());
            let first = {
                let slow = async { First::Slow(prefilling.as_mut().await) };
                let hedge = async { First::Hedge(hedge.as_mut().await.map(Box::new)) };
                smol::future::or(slow, hedge).await
            };
            match first {
                First::Slow(Ok(cache)) if !may_run.get() => return Ok(Hedged::Done(Ok(cache))),
                First::Slow(prefilled) => (Some(prefilled), hedge.await.map(Box::new)),
                First::Hedge(outcome) => (None, outcome),
            }
        };
        let not_streamed = match hedge {
            Ok(open) => return Ok(Hedged::Answer(open)),
            Err(not_streamed) => not_streamed,
        };
        if !self.running.may_run_again() {
            return Err(not_streamed);
        }
        let prefilled = match prefilled {
            Some(prefilled) => prefilled,
            None => prefilling.await,
        };
        // If the slow engine failed too, the reason of the hedge says more than its own.
        prefilled
            .map(|cache| Hedged::Done(Ok(cache)))
            .map_err(|_| not_streamed)
    }

    /// Decodes from a prefilled KV cache. The decode engine is chosen only now, since
    /// a prefill takes time. The cache is kept for another decode engine if
    /// this one did not take it.
    pub(super) async fn decode(&mut self, cache: WaitingCache<C, B>) -> Opened<C, B> {
        self.running.is_prefilled.set(true);
        // The request may have been quarantined, or may have timed out, during the
        // prefill.
        if !may_be_sent(&self.gateway, &self.running) {
            return Err(AttemptEnd::NotRun(NotRunReason::Rejected));
        }
        // A back end may have reported a limit during the prefill.
        let place = || self.place_decode(cache.prefill_engine());
        let placed = place_within_limits(&self.gateway, &self.running, place).await;
        let Ok(decode_engine) = placed else {
            log_no_back_end(&self.gateway, &self.running);
            return Err(AttemptEnd::NotRun(NotRunReason::Full));
        };
        let job = self.job(JobPhase::Decode(cache.source()), decode_engine);
        match self.send(&job).await {
            Ok(answer) => {
                cache.taken();
                Ok(Some(answer))
            }
            Err(end) => {
                match end {
                    AttemptEnd::Unsent
                    | AttemptEnd::NotRun(NotRunReason::Full | NotRunReason::Misdirected) => {
                        self.cache = Some(cache);
                    }
                    // The prefill engine lost the cache and would probably lose it again.
                    _ => self.running.tried.push(cache.prefill_engine().clone()),
                }
                Err(end)
            }
        }
    }
}
