//! The leader's use of the balance of phases: what gateways have under way at
//! each engine tells how occupied readers and generators are.

use std::collections::BTreeMap;

use garnet_planner::{BalanceSettings, PhaseOccupancy, initial_readers, wanted_readers};
use garnet_types::{
    BackendId, EngineAssignment, EngineRole, MachineState, Millis, ModelId, ServiceId,
};

use crate::configuration::{BackendRecord, Configuration};
use crate::messages::Backlog;

/// Weight of the newest sample in the average; one is taken with each look.
const NEWEST: f64 = 0.015;
/// How long a leader listens before it takes a pool for one without load.
const FIRST_LOOK: Millis = Millis(1200);
/// Slots of an engine where the route table does not tell.
const DEFAULT_SLOTS: u64 = 64;

type Pool = (ServiceId, ModelId);

#[derive(Debug, Clone, Copy, Default)]
struct PoolBalance {
    reading: f64,
    generating: f64,
    loaded: bool,
    /// Engines at the last look, and since when there are so many: the list
    /// of engines comes in parts when a group starts.
    engines: usize,
    unchanged_since: Option<Millis>,
    changed_at: Option<Millis>,
}

/// Averages of all pools.
#[derive(Debug, Default)]
pub(crate) struct Balancing {
    settings: BalanceSettings,
    pools: BTreeMap<Pool, PoolBalance>,
}

/// An assignment that is to be made, and what was seen.
pub(crate) struct BalanceChange {
    pub(crate) engine: BackendId,
    pub(crate) assignment: EngineAssignment,
    pub(crate) occupancy: PhaseOccupancy,
}

/// An engine as the balance sees it.
struct Member<'a> {
    id: &'a BackendId,
    zone: &'a str,
    role: EngineRole,
}

impl Balancing {
    pub(crate) fn new(settings: BalanceSettings) -> Self {
        Balancing {
            settings,
            pools: BTreeMap::new(),
        }
    }

    /// Takes a look, and gives the assignments that are to be made.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        backlogs: &BTreeMap<BackendId, Backlog>,
        now: Millis,
    ) -> Vec<BalanceChange> {
        let mut changes = Vec::new();
        for (pool, members) in pools(configuration) {
            let room = room(configuration, &pool.0);
            let balance = self.pools.entry(pool.clone()).or_default();
            let seen = sample(&members, backlogs, room);
            balance.take(&seen);
            let occupancy = PhaseOccupancy {
                reading: balance.reading,
                generating: balance.generating,
                ..seen
            };
            let since = balance.note_engines(members.len(), now);
            if !balance.loaded && now.since(since) < FIRST_LOOK {
                // A new leader has yet to hear what is there and under way.
                continue;
            }
            let wanted = if balance.loaded {
                wanted_readers(&occupancy, &self.settings)
            } else {
                initial_readers(members.len(), &self.settings)
            };
            let rests = balance
                .changed_at
                .is_some_and(|at| balance.loaded && now.since(at) < self.settings.dwell);
            if rests || wanted == occupancy.readers {
                continue;
            }
            let role = if wanted > occupancy.readers {
                EngineRole::Prefill
            } else {
                EngineRole::Mixed
            };
            if let Some(engine) = who_changes(&members, role) {
                balance.changed_at = Some(now);
                let model = pool.1;
                changes.push(BalanceChange {
                    engine: engine.clone(),
                    assignment: EngineAssignment { role, model },
                    occupancy,
                });
            }
        }
        changes
    }
}

impl PoolBalance {
    /// Notes how many engines there are; gives since when.
    fn note_engines(&mut self, engines: usize, now: Millis) -> Millis {
        if self.engines != engines || self.unchanged_since.is_none() {
            self.engines = engines;
            self.unchanged_since = Some(now);
        }
        self.unchanged_since.unwrap_or(now)
    }

    fn take(&mut self, seen: &PhaseOccupancy) {
        self.loaded |= seen.reading > 0.0 || seen.generating > 0.0;
        self.reading += NEWEST * (seen.reading - self.reading);
        self.generating += NEWEST * (seen.generating - self.generating);
    }
}

/// Engines that take part: an engine counts as what it shall be.
fn pools(configuration: &Configuration) -> BTreeMap<Pool, Vec<Member<'_>>> {
    let mut pools: BTreeMap<Pool, Vec<Member<'_>>> = BTreeMap::new();
    for (id, record) in &configuration.backends {
        // The list may leave an engine out while it changes its role.
        if record.machine != MachineState::Live && record.order.is_none() {
            continue;
        }
        if let Some(assignment) = shall_be(record) {
            let pool = (
                record.registration.service.clone(),
                assignment.model.clone(),
            );
            pools.entry(pool).or_default().push(Member {
                id,
                zone: &record.registration.zone,
                role: assignment.role,
            });
        }
    }
    pools
}

fn shall_be(record: &BackendRecord) -> Option<&EngineAssignment> {
    record.desired.as_ref().or(record.assignment())
}

/// What one engine of a service can hold.
#[derive(Debug, Clone, Copy)]
struct Room {
    slots: u64,
    tokens: u64,
}

fn room(configuration: &Configuration, service: &ServiceId) -> Room {
    let table = configuration.routes.as_ref();
    let settings = table.and_then(|table| table.services.iter().find(|s| s.name == *service));
    let engine = settings.and_then(|settings| settings.engine);
    Room {
        slots: engine.map_or(DEFAULT_SLOTS, |engine| engine.slots.max(1)),
        tokens: engine.map_or(u64::MAX, |engine| engine.cache_tokens.max(1)),
    }
}

impl Room {
    /// Part of the engine that is taken: by its slots or by its memory.
    fn taken(&self, backlog: &Backlog) -> f64 {
        let slots = backlog.requests as f64 / self.slots as f64;
        let memory = backlog.held_tokens as f64 / self.tokens as f64;
        slots.max(memory)
    }
}

fn sample(
    members: &[Member<'_>],
    backlogs: &BTreeMap<BackendId, Backlog>,
    room: Room,
) -> PhaseOccupancy {
    let mut occupancy = PhaseOccupancy {
        readers: 0,
        generators: 0,
        reading: 0.0,
        generating: 0.0,
    };
    for member in members {
        let backlog = backlogs.get(member.id);
        if member.role == EngineRole::Prefill {
            occupancy.readers += 1;
            let reads = backlog.is_some_and(|backlog| backlog.unread_tokens > 0);
            occupancy.reading += f64::from(u8::from(reads));
        } else {
            occupancy.generators += 1;
            occupancy.generating += backlog.map_or(0.0, |backlog| room.taken(backlog));
        }
    }
    occupancy.reading /= occupancy.readers.max(1) as f64;
    occupancy.generating /= occupancy.generators.max(1) as f64;
    occupancy
}

/// The engine that changes to `role`: from the zone that has the most of the
/// other role, so that each zone keeps both.
fn who_changes<'a>(members: &[Member<'a>], role: EngineRole) -> Option<&'a BackendId> {
    let reads = |member: &Member<'_>| member.role == EngineRole::Prefill;
    let changes_to_reading = role == EngineRole::Prefill;
    let candidates = members
        .iter()
        .filter(|member| reads(member) != changes_to_reading);
    let alike_in_zone = |member: &&Member<'_>| {
        let alike =
            |other: &&Member<'_>| other.zone == member.zone && reads(other) == reads(member);
        members.iter().filter(alike).count()
    };
    let most = candidates.max_by_key(alike_in_zone)?;
    // The last of its kind stays in its zone: a KV cache would leave it.
    (alike_in_zone(&most) > 1).then_some(most.id)
}
