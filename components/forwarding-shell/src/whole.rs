//! Requests whose answer is passed on as a whole.

use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;

use garnet_forwarding::{AttemptEnd, GivenUp, Placement, Progress};
use garnet_runtime::client::HttpError;
use garnet_runtime::{Body, bytes_body};
use garnet_types::{BackendId, Millis};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::response::Parts;

use crate::answers::OwnAnswer;
use crate::attempt::{attempt, failed_with, log_failure, note_silent};
use crate::gateway::Gateway;
use crate::going_on::{apart, can_go_elsewhere, go_on, go_on_beside};
use crate::headers::remove_connection_headers;
use crate::permits::{NotPlaced, place_within_limits};
use crate::ports::{BackendPort, Call, CallerPort, Job, JobPhase};
use crate::request::{
    Running, finished, given_up_answer, log_no_back_end, note_begun, own_answer, until,
};
use crate::waiting::within;

/// Longest answer that is held while it is read.
const LONGEST_ANSWER: usize = 16 * 1024 * 1024;

/// What is passed on.
struct WholeAnswer {
    head: Parts,
    body: Bytes,
}

/// Serves the request until its time is over.
pub(crate) async fn serve<C, B>(gateway: &Rc<Gateway<C, B>>, mut running: Running) -> Response<Body>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let due = running.due;
    let working = async { Some(work(gateway, &mut running).await) };
    let late = async {
        until(gateway, due).await;
        None
    };
    match smol::future::or(working, late).await {
        Some(Ok(answer)) => pass_on(gateway, &running, answer),
        Some(Err(NotServed::GivenUp(given_up))) => {
            let answer = given_up_answer(gateway, &running, given_up);
            own_answer(gateway, &running, answer)
        }
        Some(Err(NotServed::Unavailable(retry_after))) => {
            own_answer(gateway, &running, OwnAnswer::NotRun(retry_after))
        }
        None => own_answer(gateway, &running, OwnAnswer::TimedOut),
    }
}

/// Why no back end answers.
enum NotServed {
    GivenUp(GivenUp),
    /// It has not run, since those that could take it take nothing now: when to come
    /// back.
    Unavailable(Millis),
}

/// Has one back end after the other do it, until one answers.
async fn work<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    running: &mut Running,
) -> Result<WholeAnswer, NotServed>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let mut failure = None;
    loop {
        let placed = place_within_limits(gateway, running, || place(gateway, running)).await;
        let backend = match placed {
            Ok(backend) => backend,
            Err(not_placed) => return failure.ok_or(not_served(gateway, running, not_placed)),
        };
        running.served_by = Some(backend.clone());
        let job = whole_job(gateway, running, backend.clone());
        let call = Rc::clone(&running.call);
        let begun = Rc::clone(&running.begun);
        let mut trying = pin!(try_once(gateway, &call, &begun, &job));
        let time_limit = running.may_move_on().then_some(running.silence.answer);
        let tried = loop {
            if let Some(tried) = within(time_limit, trying.as_mut()).await {
                break tried;
            }
            if begin_beside(gateway, running, &job) {
                return work_beside(gateway, running, trying, &job).await;
            }
        };
        let end = match tried {
            Ok(answer) if !is_failure(&answer) => return Ok(answer),
            Ok(answer) => {
                failure = Some(answer);
                AttemptEnd::Failed
            }
            Err(end) => end,
        };
        running.tried.push(backend);
        if let Err(given_up) = go_on(gateway, running, end) {
            return failure.ok_or(NotServed::GivenUp(given_up));
        }
    }
}

fn not_served<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &Running,
    not_placed: NotPlaced,
) -> NotServed {
    match not_placed {
        NotPlaced::Unavailable(retry_after) if running.progress.surely_not_run() => {
            NotServed::Unavailable(retry_after)
        }
        NotPlaced::Unavailable(_) => NotServed::GivenUp(running.progress.given_up()),
        NotPlaced::Nobody => {
            log_no_back_end(gateway, running);
            NotServed::GivenUp(running.progress.given_up())
        }
    }
}

/// Whether others may do the work beside a back end that is silent.
fn begin_beside<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &mut Running,
    job: &Job,
) -> bool {
    if !running.tried.contains(&job.backend) {
        note_silent(gateway, &running.call, job);
        running.tried.push(job.backend.clone());
    }
    can_go_elsewhere(gateway, running, false)
        && go_on_beside(gateway, running, Progress::silent_begun)
}

/// Has others do the work beside a back end that is silent: whoever answers first
/// has done it, and the other one is closed.
///
/// Invariant: the silent one is closed once another one has answered, not before.
/// The others may be full or silent themselves, while this one is about to answer.
async fn work_beside<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    running: &mut Running,
    mut silent: Pin<&mut impl Future<Output = Result<WholeAnswer, AttemptEnd>>>,
    job: &Job,
) -> Result<WholeAnswer, NotServed>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let (silent, others) = {
        let mut others: Pin<Box<dyn Future<Output = _>>> = Box::pin(work(gateway, running));
        let first = {
            let silent = async { First::Silent(silent.as_mut().await) };
            let others = async { First::Others(others.as_mut().await) };
            smol::future::or(silent, others).await
        };
        match first {
            First::Silent(Ok(answer)) if !is_failure(&answer) => (Ok(answer), None),
            First::Silent(ended) => (ended, Some(others.await)),
            First::Others(Ok(answer)) if !is_failure(&answer) => return Ok(answer),
            First::Others(ended) => (silent.await, Some(ended)),
        }
    };
    // A success first, then an answer of the back ends' own, then what giving up
    // means.
    let is_success = silent.as_ref().is_ok_and(|answer| !is_failure(answer));
    match (silent, others) {
        (Ok(answer), others) if is_success || !matches!(others, Some(Ok(_))) => {
            running.served_by = Some(job.backend.clone());
            Ok(answer)
        }
        (_, Some(others)) => others,
        (_, None) => Err(NotServed::GivenUp(running.progress.given_up())),
    }
}

/// Who came to an end first.
enum First {
    Silent(Result<WholeAnswer, AttemptEnd>),
    Others(Result<WholeAnswer, NotServed>),
}

fn whole_job<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &Running,
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
    running: &Running,
) -> Option<BackendId> {
    let place = |tried: &[BackendId]| {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        match forwarder.place(&running.service, &running.work, tried, false, now)? {
            Placement::One(backend) => Some(backend),
            // Without leave to hand over there is none.
            Placement::Handover { .. } => None,
        }
    };
    apart(gateway, running, place)
}

async fn try_once<C, B>(
    gateway: &Rc<Gateway<C, B>>,
    call: &Call,
    begun: &Cell<bool>,
    job: &Job,
) -> Result<WholeAnswer, AttemptEnd>
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let began = gateway.now();
    let opened = attempt(gateway, call, job).await;
    if !matches!(opened, Err(AttemptEnd::Unsent | AttemptEnd::NotRun(_))) {
        note_begun(gateway, call, begun, began);
    }
    let mut open = opened?;
    let read = open.exchange.read_whole(LONGEST_ANSWER).await;
    match read {
        Ok(body) => {
            if open.exchange.has_explicit_end() {
                open.guard.completed(call);
            }
            let status = open.exchange.head.status;
            if status.is_server_error() {
                open.guard.failed();
                log_failure(call, job, &failed_with(status));
            } else {
                open.guard.succeeded();
            }
            let head = copy_head(&open.exchange.head);
            open.exchange.finish();
            Ok(WholeAnswer { head, body })
        }
        Err(error) => {
            match &error {
                HttpError::Broken(_) => open.guard.connection_lost(call),
                HttpError::NotSent(_)
                | HttpError::Withheld
                | HttpError::TooLong(_)
                | HttpError::TimedOut => {
                    open.guard.failed();
                }
            }
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

fn is_failure(answer: &WholeAnswer) -> bool {
    answer.head.status.is_server_error()
}

/// The head as it is passed on.
pub(crate) fn copy_head(head: &Parts) -> Parts {
    let mut copy = head.clone();
    remove_connection_headers(&mut copy.headers);
    copy
}

fn pass_on<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &Running,
    answer: WholeAnswer,
) -> Response<Body> {
    let status = answer.head.status.as_u16();
    finished(gateway, running, "answered", status);
    Response::from_parts(answer.head, bytes_body(answer.body))
}
