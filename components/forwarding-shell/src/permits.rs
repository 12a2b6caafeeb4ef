//! Requests that can't be sent to any back end at present. If back ends that could take one
//! have a limit, the leader is asked for a permit; if they are in backoff or their
//! connections stay in use, the caller gets a retry time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use garnet_control::GatewayRequest;
use garnet_forwarding::MIN_RETRY_AFTER;
use garnet_limits::{PermitAnswer, PermitLookup, PermitOutcome, PermitRequest};
use garnet_types::{GatewayId, Millis};
use smol::channel::{Receiver, Sender, bounded};

use crate::connection_queue::{Waited, wait_for_connection};
use crate::failover::may_be_sent;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;
use crate::timeout::with_timeout;

/// A leader that has not answered for this time is not asked: four times the longest pause
/// between two answers to a gateway.
const LEADER_TIMEOUT: Millis = Millis(1000);
/// Longest wait for the leader's answer: a round trip to another region.
const MAX_WAIT: Millis = Millis(250);
/// Shortest wait for the leader's answer: a round trip within a region under load.
const MIN_WAIT: Millis = Millis(20);
/// The wait is the objective divided by this: a caller that is refused by then can still be
/// served in time.
const OBJECTIVE_DIVISOR: u64 = 4;
/// Retry time of callers while there is no leader; an election takes about as long.
const RETRY_AFTER_WITHOUT_LEADER: Millis = Millis(1000);

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotPlaced {
    /// No back end can take the request.
    NoBackend,
    /// Back ends that could take the request have a limit, are in backoff or have no free
    /// connection; it may be retried after this time.
    Unavailable(Millis),
}

/// Requests permits from the leader and hands its answers to the requests that wait.
pub(crate) struct PermitClient {
    id: GatewayId,
    requests: Sender<GatewayRequest>,
    waiting: RefCell<BTreeMap<u64, Sender<PermitOutcome>>>,
    leader_answered_at: Cell<Millis>,
}

impl PermitClient {
    pub(crate) fn new(id: GatewayId, requests: Sender<GatewayRequest>) -> Self {
        PermitClient {
            id,
            requests,
            waiting: RefCell::default(),
            leader_answered_at: Cell::new(Millis::ZERO),
        }
    }

    /// Notes that the leader has answered.
    pub(crate) fn on_leader_answer(&self, now: Millis) {
        self.leader_answered_at.set(now);
    }

    fn send(&self, permit_request: PermitRequest) -> bool {
        let request = GatewayRequest::Permit(permit_request);
        self.requests.try_send(request).is_ok()
    }

    /// Wakes the request that waits for this answer.
    fn wake_waiter(&self, answer: &PermitAnswer) {
        if let Some(waiter) = self.waiting.borrow_mut().remove(&answer.number) {
            // If the waiter is gone, another request may use the permit.
            let _gone = waiter.try_send(answer.outcome.clone());
        }
    }
}

/// Waits for one answer; when dropped, the answer is no longer expected.
struct Waiter<'a> {
    client: &'a PermitClient,
    number: u64,
    answer: Receiver<PermitOutcome>,
}

impl<'a> Waiter<'a> {
    fn begin(client: &'a PermitClient, number: u64) -> Self {
        let (answer_sender, answer) = bounded(1);
        client.waiting.borrow_mut().insert(number, answer_sender);
        Waiter {
            client,
            number,
            answer,
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.client.waiting.borrow_mut().remove(&self.number);
    }
}

/// Sends the leader the limit reports that it does not have yet.
pub(crate) fn send_limit_reports<C: CallerPort, B: BackendPort>(gateway: &Gateway<C, B>) {
    let now = gateway.now();
    let reports = gateway.forwarder.borrow_mut().limit_reports(now);
    let Some(reports) = reports else {
        return;
    };
    let request = GatewayRequest::LimitReports {
        gateway: gateway.permits.id.clone(),
        reports,
    };
    // A lost message is sent again.
    let _lost = gateway.permits.requests.try_send(request);
}

/// Takes the leader's answer to a permit request.
pub(crate) fn handle_permit_answer<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    answer: &PermitAnswer,
) {
    let now = gateway.now();
    gateway.forwarder.borrow_mut().on_permit_answer(answer, now);
    let outcome = match answer.outcome {
        PermitOutcome::Granted { .. } => "granted",
        PermitOutcome::Refused { .. } => "refused",
    };
    gateway.metrics.permit(outcome);
    gateway.permits.wake_waiter(answer);
}

/// Requests a spare permit, which another request may use, if the forwarder asks for one.
pub(crate) fn request_spare_permit<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) {
    let now = gateway.now();
    if is_leader_silent(gateway, now) {
        return;
    }
    let RunningRequest { service, work, .. } = running;
    let permit_request = {
        let mut forwarder = gateway.forwarder.borrow_mut();
        forwarder.ask_for_spare_permit(service, work, now)
    };
    if let Some(permit_request) = permit_request {
        send_limit_reports(gateway);
        // No request depends on it, so it is not sent again.
        let _lost = gateway.permits.send(permit_request);
    }
}

/// Places a request. If only back ends with a limit could take it, it is placed with a
/// permit, or refused as soon as the leader refuses one.
pub(crate) async fn place_within_limits<C, B, T>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    place: impl Fn() -> Option<T>,
) -> Result<T, NotPlaced>
where
    C: CallerPort,
    B: BackendPort,
{
    if let Some(placed) = place() {
        return Ok(placed);
    }
    let now = gateway.now();
    let lookup = {
        let RunningRequest {
            service,
            work,
            tried,
            ..
        } = running;
        let mut forwarder = gateway.forwarder.borrow_mut();
        forwarder.ask_for_permit(service, work, tried, now)
    };
    let retry_after = match lookup {
        PermitLookup::Unlimited => {
            return match wait_for_connection(gateway, running, place).await {
                Waited::Placed(placed) => Ok(placed),
                Waited::NotPlaceable => Err(not_placed(gateway, running)),
                Waited::TooLong(retry_after) => Err(NotPlaced::Unavailable(retry_after)),
            };
        }
        PermitLookup::Exhausted(retry_after) => retry_after,
        PermitLookup::AskLeader(permit_request) => {
            match request_permit(gateway, running, permit_request).await {
                // The request may have been quarantined or timed out while it waited.
                Some(_) if !may_be_sent(gateway, running) => return Err(NotPlaced::NoBackend),
                Some(PermitOutcome::Granted { .. }) => match place() {
                    Some(placed) => return Ok(placed),
                    // Another request has used the permit.
                    None => MIN_RETRY_AFTER,
                },
                Some(PermitOutcome::Refused { retry_after, .. }) => retry_after,
                None => RETRY_AFTER_WITHOUT_LEADER,
            }
        }
    };
    let retry_after = retry_after.max(MIN_RETRY_AFTER);
    log::info!(
        request = running.call.facts.id.as_str(),
        service = running.service.as_str(),
        waited_ms = gateway.now().since(now).0,
        retry_after_ms = retry_after.0;
        "limit_refused"
    );
    Err(NotPlaced::Unavailable(retry_after))
}

/// Why a request is not placed although no back end has a limit.
fn not_placed<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> NotPlaced {
    let Some(retry_after) = all_in_backoff(gateway, running) else {
        return NotPlaced::NoBackend;
    };
    log::info!(
        request = running.call.facts.id.as_str(),
        service = running.service.as_str(),
        retry_after_ms = retry_after.0;
        "backoff_refused"
    );
    NotPlaced::Unavailable(retry_after)
}

/// Retry time of a request that no back end takes, if all that could take it are in backoff.
pub(crate) fn all_in_backoff<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> Option<Millis> {
    let RunningRequest { service, work, .. } = running;
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.all_in_backoff(service, work, gateway.now())
}

fn is_leader_silent<C: CallerPort, B: BackendPort>(gateway: &Gateway<C, B>, now: Millis) -> bool {
    now.since(gateway.permits.leader_answered_at.get()) > LEADER_TIMEOUT
}

async fn request_permit<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    permit_request: PermitRequest,
) -> Option<PermitOutcome> {
    if is_leader_silent(gateway, gateway.now()) {
        gateway.metrics.permit("no_leader");
        return None;
    }
    send_limit_reports(gateway);
    let waiter = Waiter::begin(&gateway.permits, permit_request.number);
    let answer = if gateway.permits.send(permit_request) {
        let wait = Millis(running.work.objective.0 / OBJECTIVE_DIVISOR);
        let time_limit = wait.clamp(MIN_WAIT, MAX_WAIT);
        with_timeout(Some(time_limit), waiter.answer.recv()).await
    } else {
        None
    };
    if answer.is_none() {
        gateway.metrics.permit("no_answer");
    }
    answer?.ok()
}
