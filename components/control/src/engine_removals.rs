//! Engines that were removed from the configuration lately, according to the log.
//!
//! Contract: a replica that becomes leader knows from the log which engines served during the last
//! [`RETENTION`], or that it doesn't know. The machine list that it reads next no longer names the
//! builds of those that are gone.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{BackendId, BackendKind, Millis, ServiceId};

use crate::builds::STREAM_LIFETIME;
use crate::configuration::{BackendRecord, Configuration};

/// Maximum difference between the clocks of two replicas, by which entries of the log are dated.
const MAX_CLOCK_SKEW: Millis = Millis::from_secs(10);
/// For how long a removal is kept: streams of the engine may live so long.
const RETENTION: Millis = Millis(STREAM_LIFETIME.0 + MAX_CLOCK_SKEW.0);

/// An engine that was removed from the configuration.
#[derive(Debug)]
pub(crate) struct RemovedEngine {
    /// The engine.
    pub(crate) id: BackendId,
    /// The service that it belonged to.
    pub(crate) service: ServiceId,
    /// When it was removed, by the clock of the log.
    removed_at: Millis,
}

/// The engines of the configuration, and those that were removed from it lately.
#[derive(Debug)]
pub(crate) struct EngineRemovals {
    services: BTreeMap<BackendId, ServiceId>,
    removed: VecDeque<RemovedEngine>,
    /// Removals before this time are not known, as a snapshot has replaced their entries.
    known_from: Millis,
}

impl EngineRemovals {
    /// Starts with a configuration whose removals before `known_from` are not known.
    pub(crate) fn new(configuration: &Configuration, known_from: Millis) -> Self {
        let mut removals = EngineRemovals {
            services: BTreeMap::new(),
            removed: VecDeque::new(),
            known_from,
        };
        let records = configuration.backends.values();
        records.for_each(|record| removals.on_put(record));
        removals
    }

    /// Records that a back end was added or changed.
    pub(crate) fn on_put(&mut self, record: &BackendRecord) {
        let registration = &record.registration;
        if registration.kind == BackendKind::Engine {
            let service = registration.service.clone();
            self.services.insert(registration.id.clone(), service);
        }
    }

    /// Records that a back end was removed.
    pub(crate) fn on_removed(&mut self, id: &BackendId, removed_at: Millis) {
        let Some(service) = self.services.remove(id) else {
            return;
        };
        let id = id.clone();
        self.removed.push_back(RemovedEngine {
            id,
            service,
            removed_at,
        });
        let is_old = |removed: &RemovedEngine| removed_at.since(removed.removed_at) > RETENTION;
        while self.removed.front().is_some_and(is_old) {
            self.removed.pop_front();
        }
    }

    /// The engines that were removed lately; `None` if that is not known.
    pub(crate) fn recent(&self, now: Millis) -> Option<impl Iterator<Item = &RemovedEngine>> {
        let is_known = self.known_from == Millis::ZERO || now.since(self.known_from) > RETENTION;
        let is_recent = move |removed: &&RemovedEngine| now.since(removed.removed_at) <= RETENTION;
        is_known.then(|| self.removed.iter().filter(is_recent))
    }
}
