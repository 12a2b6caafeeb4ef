//! Requests that wait for a connection, since this gateway uses all connections that it may
//! have to the back ends that could take them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use garnet_forwarding::MIN_RETRY_AFTER;
use garnet_types::{Millis, ServiceId};
use smol::channel::{Receiver, Sender, bounded};

use crate::failover::may_be_sent;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;
use crate::timeout::with_timeout;

/// A waiting request is placed again after this time, since another back end may have been
/// added.
const RECHECK_INTERVAL: Millis = Millis(100);
/// A request whose objective has passed waits for the objective divided by this for another
/// attempt.
const LATE_WAIT_DIVISOR: u64 = 4;

/// Priority of a waiting request, then its number in order of arrival.
type QueueKey = (u8, u64);

/// Waiting requests by service, the most urgent first.
#[derive(Default)]
pub(crate) struct ConnectionQueue {
    waiting: RefCell<BTreeMap<ServiceId, BTreeMap<QueueKey, Sender<()>>>>,
    last_number: Cell<u64>,
}

impl ConnectionQueue {
    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Wakes the first request that waits for a connection to the service.
    pub(crate) fn on_connection_freed(&self, service: &ServiceId) {
        if let Some(waiting) = self.waiting.borrow().get(service)
            && let Some(first) = waiting.values().next()
        {
            // A request that is already awake needs no second signal.
            let _awake = first.try_send(());
        }
    }

    /// Wakes the next request after one that could not use the free connection.
    fn wake_next(&self, service: &ServiceId, key: QueueKey) {
        let waiting = self.waiting.borrow();
        let mut later = waiting.get(service).into_iter().flatten();
        if let Some((_, next)) = later.find(|(other, _)| **other > key) {
            let _awake = next.try_send(());
        }
    }

    fn join(&self, service: &ServiceId, work_priority: u8) -> Waiter<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (wake, woken) = bounded(1);
        let mut waiting = self.waiting.borrow_mut();
        let of_service = waiting.entry(service.clone()).or_default();
        of_service.insert((work_priority, number), wake);
        Waiter {
            queue: self,
            service: service.clone(),
            key: (work_priority, number),
            woken,
        }
    }
}

/// A waiting request, which leaves the queue when dropped.
struct Waiter<'a> {
    queue: &'a ConnectionQueue,
    service: ServiceId,
    key: QueueKey,
    woken: Receiver<()>,
}

impl Waiter<'_> {
    fn wake_next(&self) {
        self.queue.wake_next(&self.service, self.key);
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.woken.try_recv().is_ok() {
            self.wake_next();
        }
        let mut waiting = self.queue.waiting.borrow_mut();
        if let Some(of_service) = waiting.get_mut(&self.service) {
            of_service.remove(&self.key);
            if of_service.is_empty() {
                waiting.remove(&self.service);
            }
        }
    }
}

/// Outcome of waiting for a connection.
pub(crate) enum Waited<T> {
    /// The request is placed.
    Placed(T),
    /// A free connection would not let the request be placed.
    NotPlaceable,
    /// The request has waited for as long as is useful; it may be retried after this time.
    TooLong(Millis),
}

/// Waits until the request can be placed with a free connection.
pub(crate) async fn wait_for_connection<C, B, T>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    place: impl Fn() -> Option<T>,
) -> Waited<T>
where
    C: CallerPort,
    B: BackendPort,
{
    if !awaits_connection(gateway, running) {
        return Waited::NotPlaceable;
    }
    let began = gateway.now();
    let until = wait_until(running, began);
    let waiter = gateway
        .connections
        .join(&running.service, running.work.priority);
    let waited = loop {
        let remaining = until.since(gateway.now());
        if remaining == Millis::ZERO {
            let waited = gateway.now().since(began);
            break Waited::TooLong(waited.max(MIN_RETRY_AFTER));
        }
        let woken = with_timeout(Some(remaining.min(RECHECK_INTERVAL)), waiter.woken.recv()).await;
        if !may_be_sent(gateway, running) {
            break Waited::NotPlaceable;
        }
        if let Some(placed) = place() {
            break Waited::Placed(placed);
        }
        if woken.is_some() {
            waiter.wake_next();
        }
        if !awaits_connection(gateway, running) {
            break Waited::NotPlaceable;
        }
    };
    note_waited(gateway, running, &waited, began);
    waited
}

fn awaits_connection<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let RunningRequest {
        service,
        work,
        tried,
        ..
    } = running;
    let forwarder = gateway.forwarder.borrow();
    forwarder.awaits_connection(service, work, tried, gateway.now())
}

/// Until when waiting is useful: for an answer within the objective, or soon after it for a
/// request that was attempted before.
fn wait_until(running: &RunningRequest, now: Millis) -> Millis {
    let objective = running.work.objective;
    let in_time = running.arrived + objective;
    let late = now + Millis(objective.0 / LATE_WAIT_DIVISOR);
    in_time.max(late).min(running.due)
}

fn note_waited<C: CallerPort, B: BackendPort, T>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    waited: &Waited<T>,
    began: Millis,
) {
    let outcome = match waited {
        Waited::Placed(_) => "placed",
        Waited::NotPlaceable => "in_vain",
        Waited::TooLong(_) => "too_long",
    };
    gateway.metrics.connection_wait(outcome);
    log::info!(
        request = running.call.facts.id.as_str(),
        service = running.service.as_str(),
        waited_ms = gateway.now().since(began).0,
        outcome = outcome;
        "connection_awaited"
    );
}
