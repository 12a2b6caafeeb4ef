//! Which services answer without marking the end.
//!
//! A stream may be resumed at an engine that does not mark the end of its answer, and the caller
//! can be given a whole answer only if its head claimed no marked end either.

use std::cell::RefCell;
use std::collections::HashMap;

use garnet_types::{Millis, ServiceId};

/// For how long a service is expected to send another answer without a marked end.
const MEMORY: Millis = Millis::from_secs(60);

/// When each service last sent an answer without a marked end.
#[derive(Debug, Default)]
pub(crate) struct UnmarkedEnds {
    last_at: RefCell<HashMap<ServiceId, Millis>>,
}

impl UnmarkedEnds {
    pub(crate) fn note(&self, service: ServiceId, now: Millis) {
        self.last_at.borrow_mut().insert(service, now);
    }

    /// Whether engines of the service may not mark the ends of their answers.
    pub(crate) fn are_expected(&self, service: &ServiceId, now: Millis) -> bool {
        let last_at = self.last_at.borrow().get(service).copied();
        last_at.is_some_and(|last_at| now.since(last_at) < MEMORY)
    }
}
