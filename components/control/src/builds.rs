//! Builds of engines, as the machine list names them, and the builds at which streams began.
//!
//! Contract: each gateway is sent the build of each engine once on a connection, in pages. Where
//! engines of several builds serve a service, gateways report at which build each resumable stream
//! began, and ask where one began that another gateway has served. All of it are estimates: they
//! are never logged, and a new leader reads them from the next list and the gateways' next reports.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use garnet_types::{BackendId, BackendKind, BuildId, GatewayId, Millis, ServiceId};

use crate::effects::MachineEntry;
use crate::messages::{BuildUpdate, EngineBuild, StreamKey, StreamNote};
use crate::recent_streams::RecentStreams;

/// Maximum number of engines in one update: about 16 KB.
const MAX_ENGINES_PER_UPDATE: usize = 512;
/// For how long the build of a stream is known after it began, and a service counts as mixed after
/// its engines were of several builds: longer than the longest timeout of a route.
pub const STREAM_LIFETIME: Millis = Millis::from_secs(60);
/// Maximum number of streams whose builds are known: those of one lifetime at the intended load.
const MAX_STREAMS: usize = 200_000;

#[derive(Debug)]
struct Engine {
    build: BuildId,
    /// Number of the last change; increases with each change of any engine.
    changed: u64,
    /// When the list last held the engine.
    listed_at: Millis,
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
    /// Services whose engines are, or were lately, of several builds, and until when they count as
    /// mixed.
    mixed_until: BTreeMap<ServiceId, Millis>,
    sent: BTreeMap<GatewayId, Sent>,
    streams: RecentStreams<BuildId>,
}

impl Default for Builds {
    fn default() -> Self {
        Builds {
            engines: BTreeMap::new(),
            by_change: BTreeMap::new(),
            changes: 0,
            mixed_until: BTreeMap::new(),
            sent: BTreeMap::new(),
            streams: RecentStreams::new(MAX_STREAMS),
        }
    }
}

impl Builds {
    /// Applies a list of machines.
    pub(crate) fn update(&mut self, machines: &[MachineEntry], now: Millis) {
        let is_engine = |entry: &&MachineEntry| entry.registration.kind == BackendKind::Engine;
        let mut builds: BTreeMap<&ServiceId, BTreeSet<&BuildId>> = BTreeMap::new();
        for entry in machines.iter().filter(is_engine) {
            self.update_engine(entry, now);
            let of_service = builds.entry(&entry.registration.service).or_default();
            of_service.insert(&entry.build);
        }
        let mixed = builds.into_iter().filter(|(_, builds)| builds.len() > 1);
        for (service, _) in mixed {
            let until = now + STREAM_LIFETIME;
            self.mixed_until.insert(service.clone(), until);
        }
        let by_change = &mut self.by_change;
        // The list may omit an engine for a while, such as during a change of its role.
        self.engines.retain(|_, engine| {
            let is_kept = now.since(engine.listed_at) <= STREAM_LIFETIME;
            if !is_kept {
                by_change.remove(&engine.changed);
            }
            is_kept
        });
    }

    fn update_engine(&mut self, entry: &MachineEntry, now: Millis) {
        let id = &entry.registration.id;
        if let Some(engine) = self.engines.get_mut(id)
            && engine.build == entry.build
        {
            engine.listed_at = now;
            return;
        }
        self.changes += 1;
        let engine = Engine {
            build: entry.build.clone(),
            changed: self.changes,
            listed_at: now,
        };
        if let Some(before) = self.engines.insert(id.clone(), engine) {
            self.by_change.remove(&before.changed);
        }
        self.by_change.insert(self.changes, id.clone());
    }

    /// What the gateway does not know yet, if there is any.
    pub(crate) fn update_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<BuildUpdate> {
        let mixed: Vec<ServiceId> = self.mixed(now).cloned().collect();
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

    /// Services whose engines are, or were lately, of several builds.
    fn mixed(&self, now: Millis) -> impl Iterator<Item = &ServiceId> {
        let is_mixed = move |(_, until): &(&ServiceId, &Millis)| **until > now;
        self.mixed_until.iter().filter(is_mixed).map(|(id, _)| id)
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
        self.mixed_until.retain(|_, until| *until > now);
        self.sent.retain(|gateway, _| is_known(gateway));
    }

    /// Forgets everything: another replica may have led meanwhile.
    pub(crate) fn clear(&mut self) {
        *self = Builds::default();
    }
}
