//! Builds of engines, as the machine list names them, and the builds at which streams began.
//!
//! Contract: each gateway is sent the build of each engine once on a connection, in pages. Where
//! engines of several builds serve a service, gateways report at which build each resumable stream
//! began, and ask where one began that another gateway has served. The only build of a service is
//! named if it is known that no other one served while streams of it may live. Builds are never
//! logged: a new leader reads them from the next list and the gateways' next reports, and which
//! engines have been removed from the log.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use garnet_types::{BackendId, BackendKind, BuildId, GatewayId, MachineState, Millis, ServiceId};

use crate::configuration::{BackendRecord, Configuration};
use crate::effects::MachineEntry;
use crate::engine_removals::EngineRemovals;
use crate::messages::{BuildUpdate, EngineBuild, StreamKey, StreamNote};
use crate::recent_streams::RecentStreams;

/// Maximum number of engines in one update: about 16 KB.
const MAX_ENGINES_PER_UPDATE: usize = 512;
/// For how long the build of a stream is known after it began, and an engine that has ended counts
/// as one whose streams may live: longer than the longest timeout of a route.
pub const STREAM_LIFETIME: Millis = Millis::from_secs(60);
/// Maximum number of streams whose builds are known: those of one lifetime at the intended load.
const MAX_STREAMS: usize = 200_000;

#[derive(Debug)]
struct Engine {
    service: ServiceId,
    build: BuildId,
    /// Number of the last change; increases with each change of any engine.
    changed: u64,
    /// When a stream may last have begun there: when the list last held the engine, or it last was
    /// in service by the configuration.
    in_service_at: Millis,
}

impl Engine {
    /// Whether streams that it began may live.
    fn may_have_streams(&self, now: Millis) -> bool {
        now.since(self.in_service_at) <= STREAM_LIFETIME
    }
}

/// What a gateway was sent on its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    connection: u64,
    /// Number of the newest change.
    changes: u64,
    mixed: Vec<ServiceId>,
}

/// The leader's knowledge of builds.
#[derive(Debug)]
pub(crate) struct Builds {
    engines: BTreeMap<BackendId, Engine>,
    by_change: BTreeMap<u64, BackendId>,
    changes: u64,
    /// Services with an engine that has restarted with another build, and until when streams of the
    /// earlier one may live.
    rebuilt_until: BTreeMap<ServiceId, Millis>,
    /// Services of which it is known that streams of one build alone may live.
    only: BTreeMap<ServiceId, BuildId>,
    /// All other services with engines.
    mixed: BTreeSet<ServiceId>,
    sent: BTreeMap<GatewayId, Sent>,
    streams: RecentStreams<BuildId>,
}

impl Default for Builds {
    fn default() -> Self {
        Builds {
            engines: BTreeMap::new(),
            by_change: BTreeMap::new(),
            changes: 0,
            rebuilt_until: BTreeMap::new(),
            only: BTreeMap::new(),
            mixed: BTreeSet::new(),
            sent: BTreeMap::new(),
            streams: RecentStreams::new(MAX_STREAMS),
        }
    }
}

impl Builds {
    /// Applies a list of machines.
    pub(crate) fn update(
        &mut self,
        machines: &[MachineEntry],
        configuration: &Configuration,
        removals: &EngineRemovals,
        now: Millis,
    ) {
        let is_engine = |entry: &&MachineEntry| entry.registration.kind == BackendKind::Engine;
        for entry in machines.iter().filter(is_engine) {
            self.update_engine(entry, now);
        }
        self.forget_ended(configuration, now);
        self.rebuilt_until.retain(|_, until| now < *until);
        self.only = self.only_builds(configuration, removals, now);
        let services = self.engines.values().map(|engine| &engine.service);
        let mixed = services.filter(|service| !self.only.contains_key(*service));
        self.mixed = mixed.cloned().collect();
    }

    fn update_engine(&mut self, entry: &MachineEntry, now: Millis) {
        let id = &entry.registration.id;
        if let Some(engine) = self.engines.get_mut(id)
            && engine.build == entry.build
        {
            engine.in_service_at = now;
            return;
        }
        self.changes += 1;
        let engine = Engine {
            service: entry.registration.service.clone(),
            build: entry.build.clone(),
            changed: self.changes,
            in_service_at: now,
        };
        if let Some(before) = self.engines.insert(id.clone(), engine) {
            self.by_change.remove(&before.changed);
            let until = now + STREAM_LIFETIME;
            self.rebuilt_until.insert(before.service, until);
        }
        self.by_change.insert(self.changes, id.clone());
    }

    /// Forgets engines that are gone and have begun no stream that may live. The list may omit an
    /// engine that is in service for a while, such as during a change of its role.
    fn forget_ended(&mut self, configuration: &Configuration, now: Millis) {
        let by_change = &mut self.by_change;
        self.engines.retain(|id, engine| {
            let record = configuration.backends.get(id);
            if record.is_some_and(|record| record.machine == MachineState::Live) {
                engine.in_service_at = now;
            }
            let is_kept = record.is_some() || engine.may_have_streams(now);
            if !is_kept {
                by_change.remove(&engine.changed);
            }
            is_kept
        });
    }

    /// The services of which it is known that streams of one build alone may live.
    fn only_builds(
        &self,
        configuration: &Configuration,
        removals: &EngineRemovals,
        now: Millis,
    ) -> BTreeMap<ServiceId, BuildId> {
        let Some(removed) = removals.recent(now) else {
            return BTreeMap::new();
        };
        let mut builds: BTreeMap<&ServiceId, BTreeSet<&BuildId>> = BTreeMap::new();
        let with_streams = |engine: &&Engine| engine.may_have_streams(now);
        for engine in self.engines.values().filter(with_streams) {
            builds
                .entry(&engine.service)
                .or_default()
                .insert(&engine.build);
        }
        let configured = configuration.backends.values();
        let configured = configured
            .map(|record| &record.registration)
            .filter(|registration| registration.kind == BackendKind::Engine)
            .map(|registration| (&registration.id, &registration.service));
        let removed = removed.map(|engine| (&engine.id, &engine.service));
        let unknown: BTreeSet<&ServiceId> = configured
            .chain(removed)
            .filter(|(id, _)| !self.engines.contains_key(*id))
            .map(|(_, service)| service)
            .collect();
        let is_certain = |service: &ServiceId| {
            !unknown.contains(service) && !self.rebuilt_until.contains_key(service)
        };
        let only = builds.into_iter().filter_map(|(service, builds)| {
            let mut builds = builds.into_iter();
            let first = builds.next()?;
            (builds.next().is_none() && is_certain(service))
                .then(|| (service.clone(), first.clone()))
        });
        only.collect()
    }

    /// Records that a back end was added to the configuration or changed.
    pub(crate) fn on_put(&mut self, record: &BackendRecord) {
        let registration = &record.registration;
        let is_engine = registration.kind == BackendKind::Engine;
        if is_engine && !self.engines.contains_key(&registration.id) {
            self.only.remove(&registration.service);
            self.mixed.insert(registration.service.clone());
        }
    }

    /// The build of the service's streams, if it is known that there is only one.
    pub(crate) fn only_build(&self, service: &ServiceId) -> Option<&BuildId> {
        self.only.get(service)
    }

    /// What the gateway does not know yet, if there is any.
    pub(crate) fn update_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
    ) -> Option<BuildUpdate> {
        let mixed: Vec<ServiceId> = self.mixed.iter().cloned().collect();
        let before = self.sent.get(gateway);
        let before = before.filter(|sent| sent.connection == connection);
        let after = before.map_or(0, |sent| sent.changes);
        let news = self.by_change.range((Excluded(after), Unbounded));
        let mut changes = after;
        let mut engines = Vec::new();
        for (change, id) in news.take(MAX_ENGINES_PER_UPDATE) {
            changes = *change;
            if let Some(engine) = self.engines.get(id) {
                engines.push(EngineBuild {
                    backend: id.clone(),
                    build: engine.build.clone(),
                });
            }
        }
        let sent = Sent {
            connection,
            changes,
            mixed,
        };
        let mixed_before = before.map_or(&[][..], |sent| &sent.mixed);
        let is_news = !engines.is_empty() || mixed_before != sent.mixed;
        let mixed = sent.mixed.clone();
        self.sent.insert(gateway.clone(), sent);
        is_news.then_some(BuildUpdate { engines, mixed })
    }

    /// Records at which builds streams began.
    pub(crate) fn note(&mut self, notes: Vec<StreamNote>, now: Millis) {
        for StreamNote { stream, build } in notes {
            self.streams.insert(stream, build, now);
        }
    }

    /// The build of an engine; empty if it is not known.
    pub(crate) fn of(&self, engine: &BackendId) -> &BuildId {
        static UNKNOWN: BuildId = BuildId(String::new());
        let engine = self.engines.get(engine);
        engine.map_or(&UNKNOWN, |engine| &engine.build)
    }

    /// The build at which a stream began.
    pub(crate) fn find(&self, stream: StreamKey) -> Option<&BuildId> {
        self.streams.get(stream)
    }

    /// Number of streams whose build is known.
    pub(crate) fn known_streams(&self) -> usize {
        self.streams.len()
    }

    /// Forgets old streams, and gateways of which `is_known` does not hold.
    pub(crate) fn prune(&mut self, now: Millis, is_known: impl Fn(&GatewayId) -> bool) {
        self.streams.prune(now);
        self.sent.retain(|gateway, _| is_known(gateway));
    }

    /// Forgets everything: another replica may have led meanwhile.
    pub(crate) fn clear(&mut self) {
        *self = Builds::default();
    }
}
