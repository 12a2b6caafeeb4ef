//! Answers of back ends that could not be read to their end.

use garnet_runtime::BudgetExceeded;
use garnet_runtime::client::HttpError;

use crate::attempt::AttemptGuard;
use crate::ports::{BackendPort, Call, CallerPort};

/// Notes what the error says of the back end that sent the answer. Only one that ends the
/// connection itself may have crashed: if this gateway does, the back end is still sending.
pub(crate) fn note_unread<C: CallerPort, B: BackendPort>(
    guard: &mut AttemptGuard<C, B>,
    call: &Call,
    error: &HttpError,
) {
    match error {
        HttpError::Broken(_) => guard.connection_lost(call),
        HttpError::NoRoom(exceeded) => note_no_room(guard, *exceeded),
        HttpError::NotSent(_)
        | HttpError::Withheld
        | HttpError::NoAnswer(_)
        | HttpError::TooLong(_)
        | HttpError::TimedOut => guard.failed(),
    }
}

/// Notes what the error says of the back end that sent a failure answer. It has not crashed: it
/// decided against the request.
pub(crate) fn note_unread_failure<C: CallerPort, B: BackendPort>(
    guard: &mut AttemptGuard<C, B>,
    error: &HttpError,
) {
    match error {
        HttpError::NoRoom(exceeded) => note_no_room(guard, *exceeded),
        _ => guard.failed(),
    }
}

/// Notes that there was no room for an answer. A back end whose large answers fill the budget
/// counts as failed, so that it is sent fewer requests; a small answer says nothing of its back
/// end.
pub(crate) fn note_no_room<C: CallerPort, B: BackendPort>(
    guard: &mut AttemptGuard<C, B>,
    exceeded: BudgetExceeded,
) {
    if exceeded.was_large() {
        guard.failed();
    }
}
