//! Whether one back end takes requests of one gateway, by its own reports: the backoff that
//! it requested, and that it drains.
//!
//! Contract: what was reported is of one start of the back end; [`Availability::reset`]
//! forgets it at another one. Neither the list of machines nor other answers end it sooner:
//! the list lags behind reports, and answers overtake one another.

use garnet_types::Millis;

use crate::backoff::{Backoff, Probe};
use crate::retry_after::RetryAfter;

/// Longest time that a report of draining holds: a back end whose starts are not known and
/// that is still there has started again.
const DRAINING_LASTS: Millis = Millis::from_secs(300);

/// What one back end reported.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Availability {
    backoff: Backoff,
    draining_since: Option<Millis>,
}

impl Availability {
    /// Takes a request for a backoff at `now`, which ends `spread` later than requested.
    pub fn request_backoff(&mut self, retry_after: RetryAfter, spread: Millis, now: Millis) {
        self.backoff.request(retry_after, spread, now);
    }

    /// Takes a report of draining. `true` where that is new.
    pub fn report_draining(&mut self, now: Millis) -> bool {
        let is_new = !self.is_draining(now);
        self.draining_since = Some(now);
        is_new
    }

    /// Forgets all reports: the back end has started anew.
    pub fn reset(&mut self) {
        self.backoff.reset();
        self.draining_since = None;
    }

    /// Whether it drains.
    pub fn is_draining(&self, now: Millis) -> bool {
        let holds = |since: Millis| now.since(since) <= DRAINING_LASTS;
        self.draining_since.is_some_and(holds)
    }

    /// Whether a request may be placed there.
    pub fn allows(&self, now: Millis) -> bool {
        self.backoff.allows(now) && !self.is_draining(now)
    }

    /// Time until the first request may be sent after a backoff; `None` where none is in
    /// force.
    pub fn backoff_remaining(&self, now: Millis) -> Option<Millis> {
        self.backoff.remaining(now)
    }

    /// Notes a request that is sent. Gives the probe that it is during a recovery.
    pub fn sent(&mut self, now: Millis) -> Option<Probe> {
        self.backoff.sent(now)
    }

    /// Notes that the back end accepted a probe.
    pub fn accepted(&mut self, probe: Probe) {
        self.backoff.accepted(probe);
    }

    /// Notes a probe that ended without a verdict of the back end.
    pub fn released(&mut self, probe: Probe) {
        self.backoff.released(probe);
    }
}
