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
const FIRST_LOOK: Millis = Millis(1000);
/// Slots of an engine where the route table does not tell.
const DEFAULT_SLOTS: u64 = 64;

type Pool = (ServiceId, ModelId);

#[derive(Debug, Clone, Copy, Default)]
struct PoolBalance {
    reading: f64,
    generating: f64,
    loaded: bool,
    looked_since: Option<Millis>,
    changed_at: Option<Millis>,
}

/// Averages of all pools.
#[derive(Debug, Default)]
pub(crate) struct Balancing {
    settings: BalanceSettings,
    pools: BTreeMap<Pool, PoolBalance>,
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
    ) -> Vec<(BackendId, EngineAssignment)> {
        let mut changes = Vec::new();
        for (pool, members) in pools(configuration) {
            let slots = slots(configuration, &pool.0);
            let balance = self.pools.entry(pool.clone()).or_default();
            let seen = sample(&members, backlogs, slots);
            balance.take(&seen);
            let occupancy = PhaseOccupancy {
                reading: balance.reading,
                generating: balance.generating,
                ..seen
            };
            let since = *balance.looked_since.get_or_insert(now);
            if !balance.loaded && now.since(since) < FIRST_LOOK {
                // A new leader has yet to hear what is under way.
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
                changes.push((engine.clone(), EngineAssignment { role, model }));
            }
        }
        changes
    }
}

impl PoolBalance {
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
        if record.machine != MachineState::Live {
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

fn slots(configuration: &Configuration, service: &ServiceId) -> u64 {
    let table = configuration.routes.as_ref();
    let settings = table.and_then(|table| table.services.iter().find(|s| s.name == *service));
    let engine = settings.and_then(|settings| settings.engine);
    engine.map_or(DEFAULT_SLOTS, |engine| engine.slots.max(1))
}

fn sample(
    members: &[Member<'_>],
    backlogs: &BTreeMap<BackendId, Backlog>,
    slots: u64,
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
            let requests = backlog.map_or(0, |backlog| backlog.requests);
            occupancy.generating += requests as f64 / slots as f64;
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
    Some(candidates.max_by_key(alike_in_zone)?.id)
}
