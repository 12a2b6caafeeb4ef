//! Builds of engines: what one build of an engine began, no other continues.

use std::collections::{BTreeMap, BTreeSet};

use garnet_control::{BuildUpdate, STREAM_LIFETIME};
use garnet_types::{BackendId, BuildId, Millis, ServiceId};

use super::Forwarder;

/// Number of engines that may be listed and not yet be part of the configuration.
const MAX_UNKNOWN_ENGINES: usize = 1_000;

/// Services whose engines are, or were lately, of several builds.
///
/// A service that the leader no longer lists counts as mixed for the lifetime of its streams: a new
/// leader may have seen one build alone.
#[derive(Debug, Default)]
pub(super) struct MixedServices {
    /// The leader's last list, which is in force until the next one.
    listed: BTreeSet<ServiceId>,
    /// Services that the list has dropped, and until when they count as mixed.
    held_until: BTreeMap<ServiceId, Millis>,
}

impl MixedServices {
    /// Takes the leader's list.
    fn take_list(&mut self, list: Vec<ServiceId>, now: Millis) {
        let list: BTreeSet<ServiceId> = list.into_iter().collect();
        let before = std::mem::replace(&mut self.listed, list);
        self.held_until.retain(|_, until| now < *until);
        for dropped in before.difference(&self.listed) {
            let until = now + STREAM_LIFETIME;
            self.held_until.insert(dropped.clone(), until);
        }
    }

    fn contains(&self, service: &ServiceId, now: Millis) -> bool {
        let until = self.held_until.get(service);
        until.is_some_and(|until| now < *until) || self.listed.contains(service)
    }

    fn iter(&self, now: Millis) -> impl Iterator<Item = &ServiceId> {
        let is_held = move |(_, until): &(&ServiceId, &Millis)| now < **until;
        let held = self.held_until.iter().filter(is_held);
        held.map(|(service, _)| service).chain(&self.listed)
    }
}

impl Forwarder {
    /// Applies the leader's news of builds.
    pub fn take_builds(&mut self, update: BuildUpdate, now: Millis) {
        for news in update.engines {
            if let Some(backend) = self.backends.get_mut(&news.backend) {
                backend.build = Some(news.build.clone());
            }
            self.builds.insert(news.backend, news.build);
        }
        self.mixed.take_list(update.mixed, now);
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

    /// Whether an engine of the service is known to be of this build.
    pub fn has_engine_of(&self, service: &ServiceId, build: &BuildId) -> bool {
        let mut of_service = self.backends_of(service);
        of_service.any(|backend| backend.build.as_ref() == Some(build))
    }

    /// Whether engines of several builds serve the service, or did while streams of them may still
    /// be taken up.
    pub fn is_mixed(&self, service: &ServiceId, now: Millis) -> bool {
        self.mixed.contains(service, now)
    }

    /// The services for which [`Forwarder::is_mixed`] holds.
    pub fn mixed_services(&self, now: Millis) -> BTreeSet<ServiceId> {
        self.mixed.iter(now).cloned().collect()
    }

    /// Number of engines whose build is known, and of their builds.
    pub fn known_builds(&self) -> (usize, usize) {
        let distinct: BTreeSet<&BuildId> = self.builds.values().collect();
        (self.builds.len(), distinct.len())
    }
}
