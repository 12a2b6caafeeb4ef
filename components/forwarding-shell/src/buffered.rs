//! Requests whose answer is buffered and passed on when it is complete.

use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;

use garnet_forwarding::{AttemptEnd, GivenUp, Placement, Progress};
use garnet_runtime::{Body, Exchange, bytes_body};
use garnet_types::{BackendId, Framing, Millis};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::response::Parts;

use crate::answers::OwnAnswer;
use crate::attempt::{attempt, log_failure, note_silent, status_cause};
use crate::failover::{
    admit_hedge, can_fail_over, is_allowed, on_attempt_ended, place_with_isolation,
};
use crate::gateway::Gateway;
use crate::headers::remove_connection_headers;
use crate::permits::{NotPlaced, place_within_limits};
use crate::ports::{BackendPort, Call, CallerPort, Job, JobPhase};
use crate::request::{RunningRequest, Unserved, count_usage_once, log_no_back_end, record_end};
use crate::stopping::last_answer;
use crate::timeout::with_timeout;
use crate::unread_answer::note_unread;

/// Longest answer that is buffered.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A complete answer to pass on.
struct BufferedAnswer {
    head: Parts,
    body: Bytes,
}

/// Serves the request until it times out.
///
/// # Errors
/// The request, if no back end answered it.
pub(crate) async fn serve<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    mut running: RunningRequest,
) -> Result<Response<Body>, Unserved>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let (call, due, is_relayed) = (Rc::clone(&running.call), running.due, running.is_relayed);
    let working = async { Ok(run(gateway, &mut running).await) };
    let late = async { Err(last_answer(gateway, &call, due, is_relayed).await) };
    let answer = match smol::future::or(working, late).await {
        Ok(Ok(answer)) => return Ok(pass_on(gateway, &running, answer)),
        Ok(Err(NotServed::GivenUp(given_up))) => {
            return Err(Unserved::given_up(gateway, running, given_up));
        }
        Ok(Err(NotServed::Unavailable(retry_after))) => OwnAnswer::NotRun(retry_after),
        Err(last_answer) => last_answer,
    };
    Err(Unserved { running, answer })
}

/// Why no back end answered.
enum NotServed {
    GivenUp(GivenUp),
    /// The request has not run, since the back ends that could take it take none now; it
    /// may be retried after this time.
    Unavailable(Millis),
}

/// Sends the request to one back end after another until one answers.
async fn run<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    running: &mut RunningRequest,
) -> Result<BufferedAnswer, NotServed>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let mut failure = None;
    if !is_allowed(gateway, running) {
        return Err(NotServed::GivenUp(running.progress.given_up()));
    }
    loop {
        let placed = place_within_limits(gateway, running, || place(gateway, running)).await;
        let backend = match placed {
            Ok(backend) => backend,
            Err(not_placed) => return failure.ok_or(not_served(gateway, running, not_placed)),
        };
        running.served_by = Some(backend.clone());
        let job = job_for(gateway, running, backend.clone());
        let call = Rc::clone(&running.call);
        let usage_counted = Rc::clone(&running.usage_counted);
        let mut attempting = pin!(attempt_once(gateway, &call, &usage_counted, &job));
        let time_limit = running.may_fail_over().then_some(running.silence.answer);
        let attempted = loop {
            if let Some(attempted) = with_timeout(time_limit, attempting.as_mut()).await {
                break attempted;
            }
            if begin_hedge(gateway, running, &job) {
                return run_hedged(gateway, running, attempting, &job).await;
            }
        };
        let end = match attempted {
            Ok(answer) if !is_failure(&answer) => return Ok(answer),
            Ok(answer) => {
                failure = Some(answer);
                AttemptEnd::Failed
            }
            Err(end) => end,
        };
        running.tried.push(backend);
        if let Err(given_up) = on_attempt_ended(gateway, running, end) {
            return failure.ok_or(NotServed::GivenUp(given_up));
        }
    }
}

fn not_served<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    not_placed: NotPlaced,
) -> NotServed {
    match not_placed {
        NotPlaced::Unavailable(retry_after) if running.progress.surely_not_run() => {
            NotServed::Unavailable(retry_after)
        }
        NotPlaced::Unavailable(_) => NotServed::GivenUp(running.progress.given_up()),
        NotPlaced::NoBackend => {
            log_no_back_end(gateway, running);
            NotServed::GivenUp(running.progress.given_up())
        }
    }
}

/// Marks the job's back end as silent, and returns whether other back ends may work on the
/// request beside it.
fn begin_hedge<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &mut RunningRequest,
    job: &Job,
) -> bool {
    if !running.tried.contains(&job.backend) {
        note_silent(gateway, &running.call, job);
        running.tried.push(job.backend.clone());
    }
    can_fail_over(gateway, running, false) && admit_hedge(gateway, running, Progress::silent_begun)
}

/// Hedges the request: sends it to other back ends while the attempt at a silent one stays
/// open. The first answer is used and the other side is closed.
///
/// Invariant: the silent attempt is closed when another back end has answered, not before.
/// The other back ends may be full or silent themselves, while the silent one is about to
/// answer.
async fn run_hedged<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    running: &mut RunningRequest,
    mut silent: Pin<&mut impl Future<Output = Result<BufferedAnswer, AttemptEnd>>>,
    job: &Job,
) -> Result<BufferedAnswer, NotServed>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let (silent, hedge) = {
        let mut hedge: Pin<Box<dyn Future<Output = _>>> = Box::pin(run(gateway, running));
        let first = {
            let silent = async { First::Silent(silent.as_mut().await) };
            let hedge = async { First::Hedge(hedge.as_mut().await) };
            smol::future::or(silent, hedge).await
        };
        match first {
            First::Silent(Ok(answer)) if !is_failure(&answer) => (Ok(answer), None),
            First::Silent(ended) => (ended, Some(hedge.await)),
            First::Hedge(Ok(answer)) if !is_failure(&answer) => return Ok(answer),
            First::Hedge(ended) => (silent.await, Some(ended)),
        }
    };
    // In order of preference: a success, a failure that a back end answered, the result of
    // giving up.
    let is_success = silent.as_ref().is_ok_and(|answer| !is_failure(answer));
    match (silent, hedge) {
        (Ok(answer), hedge) if is_success || !matches!(hedge, Some(Ok(_))) => {
            running.served_by = Some(job.backend.clone());
            Ok(answer)
        }
        // While the hedge was given up, the silent attempt was open and might have run.
        (Err(end), Some(Err(NotServed::GivenUp(_)))) => {
            running.progress.silent_resumed();
            running.progress.note(end);
            Err(NotServed::GivenUp(running.progress.given_up()))
        }
        (_, Some(hedge)) => hedge,
        (_, None) => Err(NotServed::GivenUp(running.progress.given_up())),
    }
}

/// Which ended first, the silent attempt or the hedge.
enum First {
    Silent(Result<BufferedAnswer, AttemptEnd>),
    Hedge(Result<BufferedAnswer, NotServed>),
}

fn job_for<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    backend: BackendId,
) -> Job {
    Job {
        phase: JobPhase::Whole,
        backend,
        remaining: running.remaining(gateway.now()),
        priority: running.work.priority,
        resume_after: None,
    }
}

fn place<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> Option<BackendId> {
    let place = |tried: &[BackendId]| {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        match forwarder.place(&running.service, &running.work, tried, false, now)? {
            Placement::One(backend) => Some(backend),
            // Not returned, as the call above does not allow KV transfers.
            Placement::Handover { .. } => None,
        }
    };
    place_with_isolation(gateway, running, place)
}

async fn attempt_once<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    usage_counted: &Cell<bool>,
    job: &Job,
) -> Result<BufferedAnswer, AttemptEnd>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let began = gateway.now();
    let opened = attempt(gateway, call, job).await;
    if !matches!(opened, Err(AttemptEnd::Unsent | AttemptEnd::NotRun(_))) {
        count_usage_once(gateway, call, usage_counted, began);
    }
    let mut open = opened?;
    let body_read = open.exchange.read_whole(MAX_ANSWER_BYTES).await;
    match body_read {
        Ok(body) => {
            if open.exchange.framing() == Framing::Delimited {
                open.guard.completed(call);
            }
            let status = open.exchange.head.status;
            if status.is_server_error() {
                open.guard.failed();
                log_failure(call, job, &status_cause(status));
            } else {
                open.guard.succeeded();
            }
            let head = copy_head(&open.exchange);
            open.exchange.finish();
            Ok(BufferedAnswer { head, body })
        }
        Err(error) => {
            note_unread(&mut open.guard, call, &error);
            log::info!(
                request = call.facts.id.as_str(),
                backend = job.backend.as_str(),
                cause = error.to_string().as_str();
                "answer_broken"
            );
            Err(AttemptEnd::Broken)
        }
    }
}

fn is_failure(answer: &BufferedAnswer) -> bool {
    answer.head.status.is_server_error()
}

/// Copies the head of an answer without its hop-by-hop headers, to be passed on with the framing
/// of the answer.
pub(crate) fn copy_head(exchange: &Exchange) -> Parts {
    let mut copy = exchange.head.clone();
    remove_connection_headers(&mut copy.headers);
    copy.extensions.insert(exchange.framing());
    copy
}

fn pass_on<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    answer: BufferedAnswer,
) -> Response<Body> {
    let status = answer.head.status.as_u16();
    record_end(gateway, running, "answered", status);
    Response::from_parts(answer.head, bytes_body(answer.body))
}
