//! Whether a back end takes requests of a gateway, from the back end's own reports: a requested
//! backoff, or that it is draining.
//!
//! Contract: reports hold for one start of the back end; [`Availability::reset`] drops them at the
//! next one. Neither the list of machines nor other answers end them earlier, since the list lags
//! behind the reports and answers may arrive out of order.

use garnet_types::Millis;

use crate::backoff::{Backoff, Probe};
use crate::retry_after::RetryAfter;

/// How long a report of draining holds. A back end whose starts are not reported and that still
/// exists after this time is assumed to have restarted.
const DRAINING_REPORT_LIFETIME: Millis = Millis::from_secs(300);

/// The availability that one back end reported.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Availability {
    backoff: Backoff,
    draining_since: Option<Millis>,
}

impl Availability {
    /// Starts a requested backoff at `now`, which ends `jitter` later than requested.
    pub fn request_backoff(&mut self, retry_after: RetryAfter, jitter: Millis, now: Millis) {
        self.backoff.request(retry_after, jitter, now);
    }

    /// Records a report of draining. Returns whether the back end was not already draining.
    pub fn report_draining(&mut self, now: Millis) -> bool {
        let is_new = !self.is_draining(now);
        self.draining_since = Some(now);
        is_new
    }

    /// Drops all reports, when the back end has restarted.
    pub fn reset(&mut self) {
        self.backoff.reset();
        self.draining_since = None;
    }

    /// Whether the back end is draining.
    pub fn is_draining(&self, now: Millis) -> bool {
        let is_valid = |since: Millis| now.since(since) <= DRAINING_REPORT_LIFETIME;
        self.draining_since.is_some_and(is_valid)
    }

    /// Whether a request may be sent to the back end.
    pub fn allows(&self, now: Millis) -> bool {
        self.backoff.allows(now) && !self.is_draining(now)
    }

    /// Remaining time of the backoff; `None` if none is in force.
    pub fn backoff_remaining(&self, now: Millis) -> Option<Millis> {
        self.backoff.remaining(now)
    }

    /// Records a sent request. Returns a probe if the back end is recovering.
    pub fn sent(&mut self, now: Millis) -> Option<Probe> {
        self.backoff.sent(now)
    }

    /// Records that the back end accepted a probe.
    pub fn accepted(&mut self, probe: Probe) {
        self.backoff.accepted(probe);
    }

    /// Records a probe that ended without the back end accepting or rejecting it.
    pub fn released(&mut self, probe: Probe) {
        self.backoff.released(probe);
    }
}
