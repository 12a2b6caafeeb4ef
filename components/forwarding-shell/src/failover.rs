//! Whether a request may be retried or hedged at another back end.

use garnet_forwarding::{AttemptEnd, GivenUp, NextMove, Progress, next_move};
use garnet_quarantine::{QuarantineStatus, RequestFingerprint};
use garnet_types::{BackendId, Millis};

use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;
use crate::stopping::outlasts_stop;

/// Notes the end of an attempt and decides whether another one may follow.
///
/// # Errors
/// Whether the request has not run or may have run, if no other attempt may follow.
pub(crate) fn on_attempt_ended<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &mut RunningRequest,
    end: AttemptEnd,
) -> Result<(), GivenUp> {
    running.progress.note(end);
    let given_up = running.progress.given_up();
    if !may_be_sent(gateway, running) {
        return Err(given_up);
    }
    // A suspected request whose run broke off has probably crashed one more engine. Its
    // caller may retry, at a gateway that knows of the crash by then.
    if end == AttemptEnd::Broken && is_suspected(gateway, running) {
        return Err(given_up);
    }
    match next_move(&running.work, &running.progress, end) {
        NextMove::TryAnother { repeat: false } => Ok(()),
        NextMove::TryAnother { repeat: true } if take_repeat(gateway, running) => Ok(()),
        NextMove::TryAnother { repeat: true } => Err(given_up),
        NextMove::PassOn => Err(given_up),
        NextMove::GiveUp(given_up) => Err(given_up),
    }
}

/// Whether another back end can take the request and the service's retry budget allows it.
pub(crate) fn can_fail_over<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    may_hand_over: bool,
) -> bool {
    let RunningRequest {
        service,
        work,
        tried,
        ..
    } = running;
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    forwarder.has_repeat(service, now)
        && forwarder
            .place(service, work, tried, may_hand_over, now)
            .is_some()
}

/// Whether the request may be hedged: sent to another back end while the attempt at a
/// silent one stays open. `count` counts the silent attempt. Takes a retry from the
/// service's retry budget.
pub(crate) fn admit_hedge<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &mut RunningRequest,
    count: impl FnOnce(&mut Progress),
) -> bool {
    // A suspected request may crash one more engine.
    if !may_be_sent(gateway, running) || is_suspected(gateway, running) {
        return false;
    }
    let before = running.progress;
    count(&mut running.progress);
    let next = next_move(&running.work, &running.progress, AttemptEnd::Broken);
    let begins = matches!(next, NextMove::TryAnother { .. }) && take_repeat(gateway, running);
    if !begins {
        running.progress = before;
    }
    begins
}

/// Whether a request is suspected of crashing engines or refused for it.
pub(crate) struct Quarantine {
    pub(crate) status: QuarantineStatus,
    /// What the status stands for: the request, or a set of parts of its prompt.
    pub(crate) cause: RequestFingerprint,
}

/// The quarantine of a request, by itself or by parts of its prompt; `None` if it is not even
/// suspected. Its body is hashed only if anything is.
pub(crate) fn quarantine<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> Option<Quarantine> {
    let forwarder = gateway.forwarder.borrow();
    if forwarder.has_no_suspects() {
        return None;
    }
    let cause = running.call.fingerprint();
    let status = forwarder.quarantine_status(cause);
    let own = std::iter::once(Quarantine { status, cause });
    let of_parts = running.part_sets().iter().map(|cause| Quarantine {
        status: forwarder.part_set_status(*cause),
        cause: *cause,
    });
    let mut suspected = None;
    for quarantine in own.chain(of_parts) {
        match quarantine.status {
            QuarantineStatus::Refused => return Some(quarantine),
            QuarantineStatus::Suspected => suspected = suspected.or(Some(quarantine)),
            QuarantineStatus::Clear => {}
        }
    }
    suspected
}

/// Whether another crash of an engine would probably be caused by the request.
pub(crate) fn is_suspected<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let quarantine = quarantine(gateway, running);
    quarantine.is_some_and(|quarantine| quarantine.status == QuarantineStatus::Suspected)
}

/// Whether the request may be sent to no engine, since engines crashed while running it, or
/// prompts that share parts with it.
pub(crate) fn is_quarantined<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let quarantine = quarantine(gateway, running);
    quarantine.is_some_and(|quarantine| quarantine.status == QuarantineStatus::Refused)
}

/// Places a request with `place`, which is given the back ends to leave out. Each
/// suspected request has an isolation back end, which separates it from other suspected
/// requests. It goes there if that back end can take it, and otherwise to any.
pub(crate) fn place_with_isolation<C: CallerPort, B: BackendPort, T>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
    place: impl Fn(&[BackendId]) -> Option<T>,
) -> Option<T> {
    let RunningRequest { service, tried, .. } = running;
    let cause = match quarantine(gateway, running) {
        Some(Quarantine {
            status: QuarantineStatus::Suspected,
            cause,
        }) => cause,
        _ => return place(tried),
    };
    let mut left_out = {
        let forwarder = gateway.forwarder.borrow();
        forwarder.excluded_for_suspect(service, cause, tried, gateway.now())
    };
    left_out.extend(tried.iter().cloned());
    place(&left_out).or_else(|| place(tried))
}

/// Whether the request may still be sent to a back end.
pub(crate) fn may_be_sent<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    is_allowed(gateway, running) && has_path(gateway, running)
}

/// Whether the request may still run: it has time left, does not outlast a planned stop and is not
/// quarantined. After a suspension of the machine, an expired time is noticed here first.
pub(crate) fn is_allowed<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let is_in_time = running.remaining(gateway.now()) > Millis::ZERO;
    is_in_time && !outlasts_stop(gateway, running) && !is_quarantined(gateway, running)
}

/// Whether this gateway reaches back ends that could serve the request.
pub(crate) fn has_path<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let forwarder = gateway.forwarder.borrow();
    forwarder.has_path(&running.service, &running.work)
}

/// Whether it is open if the path to back ends that could serve the request is lost.
pub(crate) fn is_path_suspected<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let forwarder = gateway.forwarder.borrow();
    forwarder.is_path_suspected(&running.service, &running.work)
}

/// Takes one retry from the service's retry budget; logs it if none is left.
pub(crate) fn take_repeat<C: CallerPort, B: BackendPort>(
    gateway: &Gateway<C, B>,
    running: &RunningRequest,
) -> bool {
    let now = gateway.now();
    let mut forwarder = gateway.forwarder.borrow_mut();
    let allowed = forwarder.spend_repeat(&running.service, now);
    if !allowed {
        log::info!(
            request = running.call.facts.id.as_str(),
            service = running.service.as_str(),
            gateways = forwarder.gateways();
            "no_repeat_left"
        );
    }
    allowed
}
