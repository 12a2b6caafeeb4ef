//! A planned stop of a gateway: answers ask callers to close their connections, and
//! requests that would outlast the process are refused.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use garnet_runtime::until_last_answers;
use garnet_types::Millis;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::answers::OwnAnswer;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, Call, CallerPort};
use crate::request::RunningRequest;

/// How often a stop logs how many requests are still open.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Failures of a back end say nothing about the time that its answers take.
const FIRST_SERVER_ERROR: u16 = 500;

/// Wakes requests without an answer shortly before the process is killed.
pub(crate) struct StopEnd {
    is_near: Receiver<Infallible>,
    /// Closing it wakes all receivers.
    closed_when_near: Sender<Infallible>,
}

impl Default for StopEnd {
    fn default() -> Self {
        let (closed_when_near, is_near) = bounded(1);
        StopEnd {
            is_near,
            closed_when_near,
        }
    }
}

impl StopEnd {
    /// Waits until the process is about to be killed.
    pub(crate) async fn until_near(&self) {
        let _closed = self.is_near.recv().await;
    }

    /// Whether the process is about to be killed.
    pub(crate) fn is_near(&self) -> bool {
        self.is_near.is_closed()
    }
}

/// Times of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// How long the gateway goes on serving while it reports that it is not ready, so
    /// that callers notice.
    pub notice: Duration,
    /// Time after which a process that has not ended is killed.
    pub grace: Duration,
}

/// Begins a planned stop: the gateway is not ready from now on, but serves for the
/// notice time.
pub(crate) async fn announce_stop<C, B>(gateway: Rc<Gateway<C, B>>, times: StopTimes)
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let until_end = until_last_answers(times.grace);
    let until_end_ms = u64::try_from(until_end.as_millis()).unwrap_or(u64::MAX);
    let ends_at = gateway.now() + Millis(until_end_ms);
    gateway.stop_ends_at.set(Some(ends_at));
    log::info!(open_requests = gateway.open_requests.get(); "stop_begun");
    let executor = Rc::clone(&gateway.executor);
    executor
        .spawn(answer_before_end(Rc::clone(&gateway), until_end))
        .detach();
    Timer::after(times.notice).await;
    log::info!(open_requests = gateway.open_requests.get(); "stop_serving");
    let executor = Rc::clone(&gateway.executor);
    executor.spawn(log_open_requests(gateway)).detach();
}

/// Has all requests answered that have no answer shortly before the end of the grace time. A
/// connection that closes with the process would leave their callers without one.
async fn answer_before_end<C, B>(gateway: Rc<Gateway<C, B>>, until_end: Duration)
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    Timer::after(until_end).await;
    log::info!(open_requests = gateway.open_requests.get(); "stop_ends");
    gateway.stop_end.closed_when_near.close();
}

/// Logs the number of open requests while a stop waits for them: a process that is
/// killed at the end of its grace time leaves no other trace of them.
async fn log_open_requests<C, B>(gateway: Rc<Gateway<C, B>>)
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    loop {
        Timer::after(LOG_INTERVAL).await;
        log::info!(open_requests = gateway.open_requests.get(); "stop_waits");
    }
}

/// What is known of the time that a request without an answer needs during a planned stop.
struct StopForecast {
    /// Time for which its caller waits.
    remaining: Millis,
    /// Time within which most requests of the route are answered.
    usual: Option<Millis>,
    /// Time until the last answers.
    left: Millis,
}

impl StopForecast {
    /// `None` if there is no planned stop, or the answer has begun.
    fn of<C: CallerPort, B: BackendPort>(
        gateway: &Gateway<C, B>,
        running: &RunningRequest,
    ) -> Option<Self> {
        let stop_ends_at = gateway.stop_ends_at.get()?;
        if running.answer_has_begun {
            return None;
        }
        let now = gateway.now();
        let forwarder = gateway.forwarder.borrow();
        let prompt = running.work.prompt.as_ref();
        let usual = forwarder.usual_answer_time(&running.route.name, prompt);
        Some(StopForecast {
            remaining: running.remaining(now),
            usual: usual.map(|usual| usual.since(running.spent(now))),
            left: stop_ends_at.since(now),
        })
    }

    fn outlasts(&self, running: &RunningRequest) -> bool {
        match self.usual {
            // It can no longer be refused as not run, so that another attempt costs less.
            None if running.call.may_have_run() => self.left == Millis::ZERO,
            _ => running.work.outlasts(self.remaining, self.left, self.usual),
        }
    }
}

/// Whether a request without an answer would probably get none before the end of this process.
/// Another gateway should then take it: a relay's answer would also pass through this process.
pub(crate) fn outlasts_stop<C, B>(gateway: &Gateway<C, B>, running: &RunningRequest) -> bool
where
    C: CallerPort,
    B: BackendPort,
{
    let forecast = StopForecast::of(gateway, running);
    forecast.is_some_and(|forecast| forecast.outlasts(running))
}

/// Whether a request that has not run and is given up is refused because of a planned stop, which is
/// logged.
pub(crate) fn is_refused_by_stop<C, B>(gateway: &Gateway<C, B>, running: &RunningRequest) -> bool
where
    C: CallerPort,
    B: BackendPort,
{
    let forecast = StopForecast::of(gateway, running);
    let Some(forecast) = forecast.filter(|forecast| forecast.outlasts(running)) else {
        return false;
    };
    log::info!(
        request = running.call.facts.id.as_str(),
        route = running.route.name.as_str(),
        remaining_ms = forecast.remaining.0,
        usual_ms = forecast.usual.map_or(0, |usual| usual.0),
        left_ms = forecast.left.0;
        "stop_refused"
    );
    true
}

/// Waits until a request without an answer has to be answered, and returns the answer: when it is
/// due, or shortly before the end of a planned stop. The peer that handed over a relayed request may
/// then still find another gateway.
pub(crate) async fn last_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    call: &Call,
    due: Millis,
    is_relayed: bool,
) -> OwnAnswer {
    let timed_out = async {
        gateway.timers.sleep_until(due).await;
        OwnAnswer::TimedOut
    };
    let stop_end = async {
        gateway.stop_end.until_near().await;
        match (call.may_have_run(), is_relayed) {
            (false, _) => OwnAnswer::Stopping,
            (true, false) => OwnAnswer::TimedOut,
            (true, true) => OwnAnswer::InDoubt,
        }
    };
    smol::future::or(timed_out, stop_end).await
}

/// Learns from the end of a request how long those of its route take once they are sent.
pub(crate) fn note_answer_time<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    outcome: &str,
    status: u16,
) {
    let Some(began_at) = running.call.work_began_at() else {
        return;
    };
    let took = gateway.now().since(began_at);
    let route = &running.route.name;
    let prompt = running.work.prompt.as_ref();
    let mut forwarder = gateway.forwarder.borrow_mut();
    match outcome {
        "answered" if status >= FIRST_SERVER_ERROR => {}
        "answered" | "streamed" => forwarder.note_answer_time(route, prompt, took),
        "cut" | "timed_out" => forwarder.note_unfinished(route, prompt, took),
        _ => {}
    }
}
