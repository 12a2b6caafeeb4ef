//! The leader's use of the balance of phases: what gateways have under way at
//! each engine tells how occupied prefill engines and decode engines are.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use garnet_planner::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, take_from_fullest_zones,
    wanted_prefill_engines,
};
use garnet_routes::EngineLimits;
use garnet_types::{
    BackendId, EngineAssignment, EngineRole, MachineState, Millis, ModelId, ServiceId,
};

use crate::configuration::{BackendRecord, Configuration};
use crate::messages::Backlog;

/// A peak that does not come back is half forgotten after this time: longer
/// than the swings of a mix within a minute, far shorter than its shifts over
/// a day.
const PEAK_HALVED: Millis = Millis::from_secs(120);
/// Peak that is taken for granted before there was time to see one: the first
/// swing of a mix must not take away what the next one needs.
const UNSEEN_PEAK: f64 = 0.8;
/// Decode engines run many requests at once and slow down gradually: for them no
/// more is taken for granted than so many times the peak that was seen.
const DECODE_SWING: f64 = 3.0;
/// How long a leader listens before it takes a pool for one without load.
const FIRST_LOOK: Millis = Millis(1200);
/// Limits of an engine where the route table does not tell.
const UNSTATED_LIMITS: EngineLimits = EngineLimits {
    slots: 64,
    cache_tokens: u64::MAX,
    token_bytes: 0,
    link_mbps: 0,
    role_change_ms: Millis::from_secs(3),
    handover_ms: Millis::ZERO,
};

type Pool = (ServiceId, ModelId);

/// How occupied a phase is: an average, and what it was at its peaks lately.
///
/// What a phase needed a moment ago it may need again before an engine could
/// change back, so the peak counts; it is forgotten slowly.
#[derive(Debug, Clone, Copy)]
struct Demand {
    average: f64,
    peak: f64,
    /// What may come that was not seen yet: it keeps engines where they are,
    /// and calls for none.
    unseen: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Demand {
            average: 0.0,
            peak: 0.0,
            unseen: UNSEEN_PEAK,
        }
    }
}

impl Demand {
    fn take(&mut self, sample: f64, newest: f64, kept: f64) {
        self.average += newest * (sample - self.average);
        self.peak = (self.peak * kept).max(self.average);
        self.unseen *= kept;
    }

    /// What must not be taken away.
    fn guarded(&self) -> f64 {
        self.peak.max(self.unseen)
    }

    /// The highest that a swing of the mix makes of what was seen.
    fn swing(&self) -> f64 {
        self.peak * DECODE_SWING
    }

    /// The same demand, spread over other engines.
    fn scaled(&self, part: f64) -> Self {
        Demand {
            average: self.average * part,
            peak: self.peak * part,
            unseen: self.unseen,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct PoolBalance {
    prefill: Demand,
    decode: Demand,
    loaded: bool,
    /// Since when this leader looks, and whether it has listened long enough to
    /// know that there is no load.
    looks_since: Option<Millis>,
    was_looked_at: bool,
    /// Engines at the last look.
    members: Option<BTreeSet<BackendId>>,
    /// Part of the engines that shall prefill, as it was decided last.
    share: Option<f64>,
    /// Engines at the last look, and since when there are so many: the list
    /// of engines comes in parts when a group starts.
    engines: usize,
    unchanged_since: Option<Millis>,
    last_change: Option<LastChange>,
    looked_at: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct LastChange {
    at: Millis,
    role: EngineRole,
}

/// Averages of all pools.
#[derive(Debug, Default)]
pub(crate) struct Balancing {
    settings: BalanceSettings,
    pools: BTreeMap<Pool, PoolBalance>,
    /// Engines that were looked at since that was asked last.
    looked_at: u64,
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
            looked_at: 0,
        }
    }

    /// Engines that were looked at since this was asked last.
    pub(crate) fn take_looked_at(&mut self) -> u64 {
        std::mem::take(&mut self.looked_at)
    }

    /// Whether the pool of an engine is known to have no work.
    pub(crate) fn is_idle(&self, configuration: &Configuration, engine: &BackendId) -> bool {
        let record = configuration.backends.get(engine);
        let Some((service, model)) = record.and_then(BackendRecord::pool) else {
            return false;
        };
        let balance = self.pools.get(&(service.clone(), model.clone()));
        balance.is_some_and(|balance| !balance.loaded && balance.was_looked_at)
    }

    /// Takes a look, and gives the assignments that are to be made.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        backlogs: &BTreeMap<BackendId, Backlog>,
        given_back: &BTreeSet<BackendId>,
        now: Millis,
    ) -> Vec<BalanceChange> {
        let mut changes = Vec::new();
        for (pool, members) in pools(configuration, given_back) {
            self.looked_at += members.len() as u64;
            let limits = limits(configuration, &pool.0);
            let balance = self.pools.entry(pool.clone()).or_default();
            let seen = sample(&members, backlogs, &limits);
            balance.take(&seen, limits.role_change_ms, now);
            let occupancy = balance.occupancy(&seen);
            let step = balance.step(members, &occupancy, &limits, &self.settings, now);
            let Some(step) = step else {
                continue;
            };
            changes.extend(step.engines.into_iter().map(|engine| BalanceChange {
                engine,
                assignment: EngineAssignment {
                    role: step.role,
                    model: pool.1.clone(),
                },
                occupancy,
            }));
        }
        changes
    }
}

/// Engines of a pool that change to one role.
struct PoolStep {
    role: EngineRole,
    engines: Vec<BackendId>,
}

impl PoolBalance {
    /// What changes now, if anything.
    fn step(
        &mut self,
        members: Vec<Member<'_>>,
        occupancy: &PhaseOccupancy,
        limits: &EngineLimits,
        settings: &BalanceSettings,
        now: Millis,
    ) -> Option<PoolStep> {
        let unchanged_since = self.note_engines(members.len(), now);
        let newcomers = self.note_members(&members);
        let present = occupancy.prefill_engines;
        if self.loaded {
            let share = *self.share.get_or_insert(share_of(occupancy));
            if let Some(step) = keep_share(&members, &newcomers, share, present) {
                return Some(step);
            }
        } else if now.since(*self.looks_since.get_or_insert(now)) < FIRST_LOOK {
            // A new leader has yet to hear what is there and under way.
            return None;
        }
        self.was_looked_at = true;
        let wanted = if self.loaded {
            self.wanted_prefill_engines(occupancy, settings)
        } else {
            initial_prefill_engines(members.len(), present, settings)
        };
        let role = match wanted.cmp(&present) {
            Ordering::Equal => return None,
            Ordering::Greater => EngineRole::Prefill,
            Ordering::Less => EngineRole::Mixed,
        };
        // The list of engines comes in parts: none is taken from prefill before
        // it is whole.
        let list_may_grow = !self.loaded && role == EngineRole::Mixed;
        if list_may_grow && now.since(unchanged_since) < FIRST_LOOK {
            return None;
        }
        if self.rests(role, limits.role_change_ms, settings, now) {
            return None;
        }
        let engines = who_change(members, role, wanted.abs_diff(present));
        if engines.is_empty() {
            return None;
        }
        self.last_change = Some(LastChange { at: now, role });
        self.spread(occupancy, role, engines.len());
        self.share = Some(wanted as f64 / occupancy.engines().max(1) as f64);
        Some(PoolStep { role, engines })
    }

    /// Notes who is there; gives the engines that came since the last look. At
    /// the first look nobody has come.
    fn note_members(&mut self, members: &[Member<'_>]) -> BTreeSet<BackendId> {
        let present: BTreeSet<BackendId> = members.iter().map(|m| m.id.clone()).collect();
        let before = self.members.replace(present.clone());
        before.map_or(BTreeSet::new(), |before| {
            present.difference(&before).cloned().collect()
        })
    }

    /// Notes how many engines there are; gives since when.
    fn note_engines(&mut self, engines: usize, now: Millis) -> Millis {
        if self.engines != engines || self.unchanged_since.is_none() {
            self.engines = engines;
            self.unchanged_since = Some(now);
        }
        self.unchanged_since.unwrap_or(now)
    }

    /// Takes a sample into the averages. They follow the load in the time that
    /// a change takes: what passes sooner is over before a change helps. Peaks
    /// are halved in [`PEAK_HALVED`].
    fn take(&mut self, seen: &PhaseOccupancy, role_change: Millis, now: Millis) {
        self.loaded |= seen.prefill > 0.0 || seen.decode > 0.0;
        if !self.loaded {
            return;
        }
        let since = self.looked_at.map_or(Millis::ZERO, |at| now.since(at));
        self.looked_at = Some(now);
        let newest = 1.0 - (-since.as_secs_f64() / role_change.as_secs_f64()).exp();
        let kept = (-since.as_secs_f64() / PEAK_HALVED.as_secs_f64()).exp2();
        self.prefill.take(seen.prefill, newest, kept);
        self.decode.take(seen.decode, newest, kept);
    }

    /// What was seen, by its peaks.
    fn occupancy(&self, seen: &PhaseOccupancy) -> PhaseOccupancy {
        PhaseOccupancy {
            prefill: self.prefill.peak,
            decode: self.decode.peak,
            ..*seen
        }
    }

    /// Prefill engines that the pool should have. The phase that would lose an engine
    /// counts with what may still come.
    fn wanted_prefill_engines(
        &self,
        occupancy: &PhaseOccupancy,
        settings: &BalanceSettings,
    ) -> usize {
        let decode = self.decode.guarded().min(self.decode.swing());
        let more = PhaseOccupancy {
            decode,
            ..*occupancy
        };
        let prefill = self.prefill.guarded();
        let fewer = PhaseOccupancy {
            prefill,
            ..*occupancy
        };
        let wanted = wanted_prefill_engines(&more, settings);
        if wanted > occupancy.prefill_engines {
            return wanted;
        }
        wanted_prefill_engines(&fewer, settings).min(occupancy.prefill_engines)
    }

    /// Whether it is too early for an engine to change to `role`.
    fn rests(
        &self,
        role: EngineRole,
        role_change: Millis,
        settings: &BalanceSettings,
        now: Millis,
    ) -> bool {
        let Some(last) = self.last_change.filter(|_| self.loaded) else {
            return false;
        };
        let rest = if last.role == role {
            settings.dwell
        } else {
            Millis(role_change.0 * settings.reversal_changes)
        };
        now.since(last.at) < rest
    }

    /// A change was stated: the averages become what they will be after it.
    fn spread(&mut self, before: &PhaseOccupancy, role: EngineRole, changed: usize) {
        let part = |before: usize, after: usize| before.max(1) as f64 / after.max(1) as f64;
        let prefill_engines = match role {
            EngineRole::Prefill => before.prefill_engines + changed,
            _ => before.prefill_engines.saturating_sub(changed),
        };
        let decode_engines = before.engines() - prefill_engines;
        self.prefill = self
            .prefill
            .scaled(part(before.prefill_engines, prefill_engines));
        self.decode = self
            .decode
            .scaled(part(before.decode_engines, decode_engines));
    }
}

/// Part of the engines that prefill.
fn share_of(occupancy: &PhaseOccupancy) -> f64 {
    occupancy.prefill_engines as f64 / occupancy.engines().max(1) as f64
}

/// Engines that came bring a split of their own: some of them change role, so
/// that the pool keeps its share. They have cold caches and little work.
fn keep_share(
    members: &[Member<'_>],
    newcomers: &BTreeSet<BackendId>,
    share: f64,
    present: usize,
) -> Option<PoolStep> {
    if newcomers.is_empty() {
        return None;
    }
    let wanted = (members.len() as f64 * share).round() as usize;
    let role = match wanted.cmp(&present) {
        Ordering::Equal => return None,
        Ordering::Greater => EngineRole::Prefill,
        Ordering::Less => EngineRole::Mixed,
    };
    let changes = |member: &&Member<'_>| {
        let prefills = member.role == EngineRole::Prefill;
        newcomers.contains(member.id) && prefills != (role == EngineRole::Prefill)
    };
    let engines: Vec<BackendId> = members
        .iter()
        .filter(changes)
        .take(wanted.abs_diff(present))
        .map(|member| member.id.clone())
        .collect();
    (!engines.is_empty()).then_some(PoolStep { role, engines })
}

/// Engines that take part: an engine counts as what it shall be.
fn pools<'a>(
    configuration: &'a Configuration,
    given_back: &BTreeSet<BackendId>,
) -> BTreeMap<Pool, Vec<Member<'a>>> {
    let mut pools: BTreeMap<Pool, Vec<Member<'_>>> = BTreeMap::new();
    for (id, record) in &configuration.backends {
        // A change of role would not pay for one that leaves.
        if given_back.contains(id) {
            continue;
        }
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
fn limits(configuration: &Configuration, service: &ServiceId) -> EngineLimits {
    let table = configuration.routes.as_ref();
    let stated = table.and_then(|table| table.engine_limits(service));
    let limits = stated.unwrap_or(UNSTATED_LIMITS);
    EngineLimits {
        slots: limits.slots.max(1),
        cache_tokens: limits.cache_tokens.max(1),
        role_change_ms: limits.role_change_ms.max(Millis(1)),
        ..limits
    }
}

/// Part of an engine that is taken: by its slots or by its memory.
fn taken(backlog: &Backlog, limits: &EngineLimits) -> f64 {
    let slots = backlog.requests as f64 / limits.slots as f64;
    let memory = backlog.held_tokens as f64 / limits.cache_tokens as f64;
    slots.max(memory)
}

fn sample(
    members: &[Member<'_>],
    backlogs: &BTreeMap<BackendId, Backlog>,
    limits: &EngineLimits,
) -> PhaseOccupancy {
    let mut occupancy = PhaseOccupancy {
        prefill_engines: 0,
        decode_engines: 0,
        prefill: 0.0,
        decode: 0.0,
        places: 0.0,
    };
    for member in members {
        let backlog = backlogs.get(member.id);
        if member.role == EngineRole::Prefill {
            occupancy.prefill_engines += 1;
            let reads = backlog.is_some_and(|backlog| backlog.uncached.total() > 0);
            occupancy.prefill += f64::from(u8::from(reads));
        } else {
            occupancy.decode_engines += 1;
            occupancy.decode += backlog.map_or(0.0, |backlog| taken(backlog, limits));
            occupancy.places += backlog.map_or(limits.slots as f64, |backlog| {
                limits.places(backlog.requests, backlog.held_tokens)
            });
        }
    }
    occupancy.prefill /= occupancy.prefill_engines.max(1) as f64;
    occupancy.decode /= occupancy.decode_engines.max(1) as f64;
    occupancy
}

/// The engines that change to `role`, up to `count`.
fn who_change(members: Vec<Member<'_>>, role: EngineRole, count: usize) -> Vec<BackendId> {
    let reads = |member: &Member<'_>| member.role == EngineRole::Prefill;
    let changes_to_prefill = role == EngineRole::Prefill;
    let candidates = members
        .into_iter()
        .filter(|member| reads(member) != changes_to_prefill)
        .collect();
    let engines = take_from_fullest_zones(candidates, count, |member| member.zone);
    engines
        .into_iter()
        .map(|member| member.id.clone())
        .collect()
}
