//! Chooses the encoding version that is offered to another process.
//!
//! A process before [`EncodingVersion::V17`] closes a connection whose hello names any
//! version but its own, and does not answer a hello with its own. So versions are offered
//! one after the other until a connection stays open. The current one is offered twice, as
//! a process that is just stopping closes its connections as well.

use std::time::Duration;

use garnet_types::EncodingVersion;
use smol::Timer;

/// A connection of an earlier version is reopened after this time, as the peer may support
/// the current version by then.
const REOFFER_INTERVAL: Duration = Duration::from_secs(60);

/// A connection of an earlier version that ends within this time counts as refused, if the
/// peer does not answer a hello that it accepts.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Waits until a connection of this version should be reopened; forever if it is the
/// current version.
pub async fn wait_to_reoffer(version: EncodingVersion) {
    if version == EncodingVersion::CURRENT {
        smol::future::pending::<()>().await;
    }
    Timer::after(REOFFER_INTERVAL).await;
}

/// The versions to offer, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOffers {
    order: [EncodingVersion; 4],
    next: usize,
}

impl Default for VersionOffers {
    fn default() -> Self {
        VersionOffers {
            order: [
                EncodingVersion::CURRENT,
                EncodingVersion::CURRENT,
                EncodingVersion::V11,
                EncodingVersion::V16,
            ],
            next: 0,
        }
    }
}

impl VersionOffers {
    /// Count of offers.
    pub const COUNT: usize = 4;

    /// The version to offer next.
    pub fn next(&self) -> EncodingVersion {
        self.order[self.next]
    }

    /// Records that the connection was closed before anything was received.
    pub fn refused(&mut self) {
        self.next = (self.next + 1) % self.order.len();
    }

    /// Records that a connection on which nothing is received ended after this time, for
    /// whatever reason.
    pub fn ended(&mut self, version: EncodingVersion, after: Duration) {
        if version < EncodingVersion::CURRENT && after < REFUSAL_WINDOW {
            self.refused();
        } else {
            self.accepted();
        }
    }

    /// Records that the connection was accepted. The next one starts with the current
    /// version, as the peer may run another build by then.
    pub fn accepted(&mut self) {
        if self.next + 1 == self.order.len() {
            self.order.swap(self.next - 1, self.next);
        }
        self.next = 0;
    }
}
