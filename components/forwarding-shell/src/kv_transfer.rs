//! Prefills a prompt on one engine and holds its KV cache for the decode engine.

use std::rc::Rc;

use garnet_forwarding::{AttemptEnd, NotRunReason, PrefillWork, Prompt};
use garnet_types::{BackendId, Millis};

use crate::attempt::{OpenAnswer, attempt, log_failure, status_cause};
use crate::gateway::Gateway;
use crate::ports::{BackendPort, Call, CallerPort, Job, JobPhase, KvSource};
use crate::unread_answer::note_unread;

/// Longest body of the answer to a prefill.
const MAX_PREFILL_BODY_BYTES: usize = 64 * 1024;

/// A KV cache that waits for its decode engine. If dropped untaken, the prefill engine
/// is asked to free it.
pub(crate) struct WaitingCache<C: CallerPort + 'static, B: BackendPort + 'static> {
    gateway: Rc<Gateway<C, B>>,
    prefill_engine: BackendId,
    source: KvSource,
    taken: bool,
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> WaitingCache<C, B> {
    pub(crate) fn source(&self) -> KvSource {
        self.source.clone()
    }

    /// The engine that prefilled the prompt.
    pub(crate) fn prefill_engine(&self) -> &BackendId {
        &self.prefill_engine
    }

    /// When the prefill engine may be asked to free the cache; `None` if the cache
    /// expires before.
    fn release_due(&self) -> Option<Millis> {
        let now = self.gateway.now();
        let forwarder = self.gateway.forwarder.borrow();
        let Some(remaining) = forwarder.backoff_remaining(&self.prefill_engine, now) else {
            return Some(now);
        };
        let is_kept = remaining < forwarder.unclaimed_cache_lifetime(&self.prefill_engine);
        is_kept.then(|| now + remaining)
    }

    /// Notes that a decode engine has taken the cache.
    pub(crate) fn taken(mut self) {
        self.taken = true;
    }
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Drop for WaitingCache<C, B> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let request = self.gateway.backends.release(&self.source.handle);
        let pool = self.gateway.pool.clone();
        let timers = self.gateway.timers.clone();
        let address = self.source.address.clone();
        let due = self.release_due();
        let release = async move {
            // An engine in backoff is sent nothing, not even this request.
            match due {
                Some(due) => timers.sleep_until(due).await,
                None => return,
            }
            // The connection is closed, as a second copy of this answer would be taken for that of a
            // prefill.
            let released = async {
                let mut exchange = pool.send(&address, request).await?;
                exchange.read_whole(MAX_PREFILL_BODY_BYTES).await
            };
            if let Err(error) = released.await {
                // The cache expires by itself.
                log::debug!(
                    address = address.as_str(),
                    cause = error.to_string().as_str();
                    "release_failed"
                );
            }
        };
        self.gateway.executor.spawn(release).detach();
    }
}

/// How long the job's engine may take to prefill the prompt, if a limit is known.
pub(crate) fn prefill_time_limit<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    job: &Job,
) -> Option<Millis> {
    let forwarder = gateway.forwarder.borrow();
    let tokens = call.facts.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    forwarder.prefill_timeout(&job.backend, tokens, job.priority, gateway.now())
}

/// Has the job's engine prefill the prompt.
///
/// # Errors
/// How the attempt ended. A prefill does not run the request, so a failed one always
/// counts as not run.
pub(crate) async fn prefill<C: CallerPort + 'static, B: BackendPort + 'static>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    job: &Job,
) -> Result<WaitingCache<C, B>, AttemptEnd> {
    let began = gateway.now();
    let sent = attempt(gateway, call, job).await;
    let mut open = sent.map_err(as_not_run)?;
    let prefill_work = open.guard.prefill_work();
    let failed = |open: &mut OpenAnswer<C, B>, cause: &str| {
        open.guard.failed();
        log_failure(call, job, cause);
        AttemptEnd::NotRun(NotRunReason::CacheGone)
    };
    let status = open.exchange.head.status;
    if !status.is_success() {
        return Err(failed(&mut open, &status_cause(status)));
    }
    let body = match open.exchange.read_whole(MAX_PREFILL_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            note_unread(&mut open.guard, call, &error);
            log_failure(call, job, &error.to_string());
            return Err(AttemptEnd::NotRun(NotRunReason::CacheGone));
        }
    };
    let Some(prefilled) = gateway.backends.read_prefill_answer(&body) else {
        return Err(failed(&mut open, "the prefill answer names no KV cache"));
    };
    let took = gateway.now().since(began);
    log_prefill(call, job, prefill_work, took);
    let tokens = prefill_work.uncached + prefill_work.queued;
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.note_prefill(&job.backend, tokens, took);
    drop(forwarder);
    open.guard.prefill_done();
    open.guard.succeeded();
    let address = {
        let forwarder = gateway.forwarder.borrow();
        forwarder.address(&job.backend).map(str::to_owned)
    };
    open.exchange.finish();
    let source = KvSource {
        address: address.unwrap_or_default(),
        handle: prefilled.handle,
    };
    Ok(WaitingCache {
        gateway: Rc::clone(gateway),
        prefill_engine: job.backend.clone(),
        source,
        taken: false,
    })
}

fn log_prefill(call: &Call, job: &Job, prefill_work: PrefillWork, took: Millis) {
    let copied_from = match &job.phase {
        JobPhase::Prefill(Some(source)) => source.backend.as_str(),
        _ => "",
    };
    let prompt = call.facts.prompt.as_ref();
    let prefix = prompt.map_or(String::new(), |prompt| prompt.shared_prefix().to_string());
    log::info!(
        request = call.facts.id.as_str(),
        backend = job.backend.as_str(),
        prefix = prefix.as_str(),
        prompt_tokens = prompt.map_or(0, |prompt| prompt.tokens),
        shared_tokens = prompt.map_or(0, Prompt::shared_tokens),
        uncached_tokens = prefill_work.uncached,
        queued_tokens = prefill_work.queued,
        queued_by_others = prefill_work.queued_by_peers,
        heard_ago_ms = prefill_work.peer_load_age.0,
        copied_from = copied_from,
        took_ms = took.0;
        "prefill_done"
    );
}

fn as_not_run(end: AttemptEnd) -> AttemptEnd {
    match end {
        AttemptEnd::Broken | AttemptEnd::Failed => AttemptEnd::NotRun(NotRunReason::CacheGone),
        other => other,
    }
}
