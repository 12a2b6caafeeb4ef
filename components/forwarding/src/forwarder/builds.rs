//! Builds of engines: what one build of an engine began, no other continues.

use std::collections::BTreeSet;

use garnet_control::{BuildUpdate, STREAM_LIFETIME};
use garnet_types::{BackendId, BuildId, Millis, ServiceId};

use super::Forwarder;

/// Number of engines that may be listed and not yet be part of the configuration.
const MAX_UNKNOWN_ENGINES: usize = 1_000;

impl Forwarder {
    /// Applies the leader's news of builds.
    pub fn take_builds(&mut self, update: BuildUpdate, now: Millis) {
        for news in update.engines {
            if let Some(backend) = self.backends.get_mut(&news.backend) {
                backend.build = Some(news.build.clone());
            }
            self.builds.insert(news.backend, news.build);
        }
        for service in update.mixed {
            self.mixed_until.insert(service, now + STREAM_LIFETIME);
        }
        // An engine may be listed before the configuration holds it, but not for long.
        if self.builds.len() > 2 * self.backends.len() + MAX_UNKNOWN_ENGINES {
            let backends = &self.backends;
            self.builds.retain(|id, _| backends.contains_key(id));
        }
    }

    /// The build of an engine, if it is known.
    pub fn build_of(&self, engine: &BackendId) -> Option<&BuildId> {
        self.backends.get(engine)?.build.as_ref()
    }

    /// Whether engines of several builds serve the service, or did while streams of them may still
    /// be taken up.
    pub fn is_mixed(&self, service: &ServiceId, now: Millis) -> bool {
        let until = self.mixed_until.get(service);
        until.is_some_and(|until| now < *until)
    }

    /// Number of engines whose build is known, and of their builds.
    pub fn known_builds(&self) -> (usize, usize) {
        let distinct: BTreeSet<&BuildId> = self.builds.values().collect();
        (self.builds.len(), distinct.len())
    }
}
