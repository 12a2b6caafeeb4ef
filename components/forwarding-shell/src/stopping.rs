//! A planned stop of a gateway: callers are told to leave, and nothing is begun
//! that would not come to its end.

use std::rc::Rc;
use std::time::Duration;

use garnet_types::Millis;
use smol::Timer;

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;

/// How often a stop says what it waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How a planned stop goes.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// How long it goes on serving, so that callers learn of it.
    pub notice: Duration,
    /// When the process is killed that has not ended.
    pub grace: Duration,
}

/// A planned stop: not ready at once, and serving on until callers know.
pub(crate) async fn announce_stop<C, B>(gateway: Rc<Gateway<C, B>>, times: StopTimes)
where
    C: CallerPort + 'static,
    B: BackendPort + 'static,
{
    let grace = Millis(u64::try_from(times.grace.as_millis()).unwrap_or(u64::MAX));
    gateway.stop_deadline.set(Some(gateway.now() + grace));
    log::info!(open_requests = gateway.open_requests.get(); "stop_begun");
    Timer::after(times.notice).await;
    log::info!(open_requests = gateway.open_requests.get(); "stop_serving");
    let executor = Rc::clone(&gateway.executor);
    executor.spawn(log_open_requests(gateway)).detach();
}

/// A stop that lasts says what for: a process that is killed at the end of its
/// grace time leaves no other word.
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

/// Whether a stream that has not begun would probably be cut by the end of
/// this process. Its caller is better off elsewhere.
pub(crate) fn outlasts_stop<C, B>(gateway: &Gateway<C, B>, running: &RunningRequest) -> bool
where
    C: CallerPort,
    B: BackendPort,
{
    let Some(stop_deadline) = gateway.stop_deadline.get() else {
        return false;
    };
    let now = gateway.now();
    let remaining = running.remaining(now);
    let until_stop = stop_deadline.since(now);
    let outlasts = running.work.outlasts(remaining, until_stop);
    if outlasts {
        log::info!(
            request = running.call.facts.id.as_str(),
            route = running.route.name.as_str(),
            remaining_ms = remaining.0,
            left_ms = until_stop.0;
            "stop_refused"
        );
    }
    outlasts
}
