//! The pools of engines that are balanced.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{
    BackendId, BuildId, EngineAssignment, EngineRole, MachineState, ModelId, ServiceId,
};

use crate::builds::Builds;
use crate::configuration::{BackendRecord, Configuration};
use crate::messages::Backlog;

/// Engines that hand KV caches to one another: those of one build.
pub(super) type Pool = (ServiceId, ModelId, BuildId);
pub(super) type PoolKey<'a> = (&'a ServiceId, &'a ModelId, &'a BuildId);

/// An engine of a pool.
pub(super) struct Member<'a> {
    pub(super) id: &'a BackendId,
    pub(super) zone: &'a str,
    pub(super) role: EngineRole,
}

/// An engine that has work.
pub(super) struct BusyEngine<'a> {
    pub(super) role: EngineRole,
    pub(super) backlog: &'a Backlog,
}

/// Number of engines of a pool by phase.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoleCount {
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

impl RoleCount {
    pub(super) fn of(members: &[Member<'_>]) -> Self {
        let prefills = |member: &&Member<'_>| member.role == EngineRole::Prefill;
        let prefill = members.iter().filter(prefills).count();
        RoleCount {
            prefill,
            decode: members.len() - prefill,
        }
    }

    pub(super) fn engines(self) -> usize {
        self.prefill + self.decode
    }
}

/// The engine and its pool; `None` if it is not balanced.
fn member<'a>(
    id: &'a BackendId,
    record: &'a BackendRecord,
    builds: &'a Builds,
    excluded: &BTreeSet<BackendId>,
) -> Option<(PoolKey<'a>, Member<'a>)> {
    // A role change does not pay off for an engine that leaves or takes few requests.
    if excluded.contains(id) {
        return None;
    }
    // The platform's list may omit an engine while it changes its role.
    if record.machine != MachineState::Live && record.order.is_none() {
        return None;
    }
    let assignment = target_assignment(record)?;
    let member = Member {
        id,
        zone: &record.registration.zone,
        role: assignment.role,
    };
    let pool = (
        &record.registration.service,
        &assignment.model,
        builds.of(id),
    );
    Some((pool, member))
}

/// The balanced engines by pool; an engine counts with its target assignment.
pub(super) fn pools<'a>(
    configuration: &'a Configuration,
    builds: &'a Builds,
    excluded: &BTreeSet<BackendId>,
) -> BTreeMap<PoolKey<'a>, Vec<Member<'a>>> {
    let mut pools: BTreeMap<PoolKey<'_>, Vec<Member<'_>>> = BTreeMap::new();
    let backends = configuration.backends.iter();
    for (pool, member) in backends.filter_map(|(id, record)| member(id, record, builds, excluded)) {
        pools.entry(pool).or_default().push(member);
    }
    pools
}

/// The balanced engines of one pool.
pub(super) fn members<'a>(
    configuration: &'a Configuration,
    builds: &'a Builds,
    excluded: &BTreeSet<BackendId>,
    (service, model, build): &Pool,
) -> Vec<Member<'a>> {
    let backends = configuration.backends.iter();
    backends
        .filter_map(|(id, record)| member(id, record, builds, excluded))
        .filter(|(pool, _)| *pool == (service, model, build))
        .map(|(_, member)| member)
        .collect()
}

/// The balanced engines that have work, by pool.
pub(super) fn busy_engines<'a>(
    configuration: &'a Configuration,
    backlogs: &'a BTreeMap<BackendId, Backlog>,
    builds: &'a Builds,
    excluded: &BTreeSet<BackendId>,
) -> BTreeMap<PoolKey<'a>, Vec<BusyEngine<'a>>> {
    let mut busy: BTreeMap<PoolKey<'_>, Vec<BusyEngine<'_>>> = BTreeMap::new();
    for (id, backlog) in backlogs {
        let record = configuration.backends.get(id);
        if let Some((pool, member)) = record.and_then(|record| member(id, record, builds, excluded))
        {
            let role = member.role;
            busy.entry(pool)
                .or_default()
                .push(BusyEngine { role, backlog });
        }
    }
    busy
}

fn target_assignment(record: &BackendRecord) -> Option<&EngineAssignment> {
    record.desired.as_ref().or(record.assignment())
}
