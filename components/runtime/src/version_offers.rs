//! Which version is offered to another process.
//!
//! A process before [`EncodingVersion::V17`] closes a connection whose hello names any
//! version but its own, and answers nothing to its own. So versions are offered one after
//! the other until a connection stands. The present one is offered twice: a process that
//! ends just then closes its connections as well.

use std::time::Duration;

use garnet_types::EncodingVersion;
use smol::Timer;

/// A connection of an earlier version is opened anew after this time: the present version
/// may be spoken there by then.
const OFFER_AGAIN: Duration = Duration::from_secs(60);

/// A connection of an earlier version that ends within this time was refused, where its
/// acceptor answers nothing to a hello that it takes.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);

/// Waits until a connection of this version is to be opened anew: never, where it is the
/// present one.
pub async fn wait_to_reoffer(version: EncodingVersion) {
    if version == EncodingVersion::CURRENT {
        smol::future::pending::<()>().await;
    }
    Timer::after(OFFER_AGAIN).await;
}

/// The versions to offer, in their order.
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
    /// How many there are.
    pub const COUNT: usize = 4;

    /// The version to offer now.
    pub fn next(&self) -> EncodingVersion {
        self.order[self.next]
    }

    /// Notes that the connection was closed and nothing was received.
    pub fn refused(&mut self) {
        self.next = (self.next + 1) % self.order.len();
    }

    /// Notes that a connection on which nothing is received ended after this time, however
    /// it did.
    pub fn ended(&mut self, version: EncodingVersion, after: Duration) {
        if version < EncodingVersion::CURRENT && after < REFUSED_WITHIN {
            self.refused();
        } else {
            self.accepted();
        }
    }

    /// Notes that the connection stood. The next one begins with the present version:
    /// another build may run there by then.
    pub fn accepted(&mut self) {
        if self.next + 1 == self.order.len() {
            self.order.swap(self.next - 1, self.next);
        }
        self.next = 0;
    }
}
