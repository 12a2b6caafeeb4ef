//! What back ends report of whether they take requests.

use garnet_routing::RetryAfter;
use garnet_types::{BackendId, Millis};

use super::Forwarder;

impl Forwarder {
    /// Takes the backoff that an answer requests.
    pub fn note_backoff(&mut self, id: &BackendId, retry_after: RetryAfter, now: Millis) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.backoff.requested(retry_after, now);
        }
    }

    /// Notes that an answer reports draining. `true` where that is new.
    pub fn note_draining(&mut self, id: &BackendId, now: Millis) -> bool {
        let Some(backend) = self.backends.get_mut(id) else {
            return false;
        };
        let is_new = backend.draining_since.is_none();
        backend.draining_since.get_or_insert(now);
        is_new
    }
}
