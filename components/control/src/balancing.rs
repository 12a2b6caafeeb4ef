//! Balancing of prefill and decode engines by the leader. The work that gateways have in
//! flight at each engine shows how occupied the engines of each phase are.

mod members;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use garnet_planner::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, take_from_fullest_zones,
    target_prefill_engines,
};
use garnet_routes::EngineLimits;
use garnet_types::{BackendId, EngineAssignment, EngineRole, Millis, ServiceId};

use crate::builds::Builds;
use crate::configuration::{BackendRecord, Configuration};
use crate::messages::Backlog;

use members::{BusyEngine, Member, Pool, RoleCount, busy_engines, members, pools};

/// Half-life of a peak: longer than the swings of the request mix within a minute, far
/// shorter than its shifts over a day.
const PEAK_HALF_LIFE: Millis = Millis::from_secs(120);
/// Peak that is assumed before one was observed: the first swing of the request mix must
/// not take engines from the phase that the next swing needs.
const ASSUMED_PEAK: f64 = 0.8;
/// Decode engines run many requests at once and slow down gradually, so for them the
/// assumed peak is limited to this multiple of the observed peak.
const MAX_DECODE_SWING: f64 = 3.0;
/// How long a new leader collects reports before it considers a pool to be without load.
const INITIAL_OBSERVATION: Millis = Millis(1200);
/// If engines were added and the number of prefill engines differs from the pool's share by
/// less than one in this many engines, no role changes: the load of the other engines would
/// hardly change, and a role change takes an engine out of routing for seconds.
const SHARE_TOLERANCE_DIVISOR: usize = 100;
/// Maximum number of pools, beyond which those without engines are forgotten: each build of a
/// service has its own.
const MAX_POOLS: usize = 256;
/// Limits of an engine if the route table states none.
const DEFAULT_LIMITS: EngineLimits = EngineLimits {
    slots: 64,
    cache_tokens: u64::MAX,
    token_bytes: 0,
    link_mbps: 0,
    role_change_ms: Millis::from_secs(3),
    handover_ms: Millis::ZERO,
};

/// Occupancy of a phase: its average and its recent peak.
///
/// Load that has fallen may rise again sooner than an engine can change back to its earlier
/// role, so decisions use the peak, which decays slowly.
#[derive(Debug, Clone, Copy)]
struct Demand {
    average: f64,
    peak: f64,
    /// Assumed peak that was not observed yet; it keeps engines in their roles but does
    /// not request more.
    assumed_peak: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Demand {
            average: 0.0,
            peak: 0.0,
            assumed_peak: ASSUMED_PEAK,
        }
    }
}

impl Demand {
    fn add_sample(&mut self, sample: f64, weight: f64, decay: f64) {
        self.average += weight * (sample - self.average);
        self.peak = (self.peak * decay).max(self.average);
        self.assumed_peak *= decay;
    }

    /// The demand for which the phase must keep its engines.
    fn reserved(&self) -> f64 {
        self.peak.max(self.assumed_peak)
    }

    /// The highest demand that a swing of the request mix is expected to cause.
    fn max_swing(&self) -> f64 {
        self.peak * MAX_DECODE_SWING
    }

    /// The same total demand spread over another number of engines, which multiplies the
    /// demand of each engine by `factor`.
    fn scaled(&self, factor: f64) -> Self {
        Demand {
            average: self.average * factor,
            peak: self.peak * factor,
            assumed_peak: self.assumed_peak,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct PoolBalance {
    prefill: Demand,
    decode: Demand,
    /// Whether this leader has observed any load in the pool so far.
    loaded: bool,
    /// When this leader began to observe the pool, and whether it has done so for long
    /// enough to know that there is no load.
    observed_since: Option<Millis>,
    was_evaluated: bool,
    /// Number of engines in each phase.
    roles: RoleCount,
    /// Engines when the configuration changed last.
    members: Option<BTreeSet<BackendId>>,
    /// Engines that were added since the last evaluation.
    newcomers: BTreeSet<BackendId>,
    /// Fraction of the engines that are to prefill, as decided last.
    share: Option<f64>,
    /// Number of engines at the last evaluation, and since when it is unchanged: the list
    /// of engines arrives in parts when a group starts.
    engines: usize,
    unchanged_since: Option<Millis>,
    last_change: Option<LastChange>,
    sampled_at: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct LastChange {
    at: Millis,
    role: EngineRole,
}

/// Balance of all pools.
#[derive(Debug, Default)]
pub(crate) struct Balancing {
    settings: BalanceSettings,
    pools: BTreeMap<Pool, PoolBalance>,
    /// Index of the configuration that the pools were updated from.
    updated_index: Option<u64>,
    /// Engines that are not balanced: they are about to be released, or their rate limit
    /// allows only a few requests.
    excluded: BTreeSet<BackendId>,
    /// Engines examined since [`Balancing::take_examined`] was called last.
    examined_count: u64,
}

/// An assignment to be made, and the occupancy that led to it.
pub(crate) struct BalanceChange {
    pub(crate) engine: BackendId,
    pub(crate) assignment: EngineAssignment,
    pub(crate) occupancy: PhaseOccupancy,
}

impl Balancing {
    pub(crate) fn new(settings: BalanceSettings) -> Self {
        Balancing {
            settings,
            pools: BTreeMap::new(),
            updated_index: None,
            excluded: BTreeSet::new(),
            examined_count: 0,
        }
    }

    /// Returns the number of engines examined since the last call.
    pub(crate) fn take_examined(&mut self) -> u64 {
        std::mem::take(&mut self.examined_count)
    }

    /// Returns whether the pool of an engine is known to have no work.
    pub(crate) fn is_idle(
        &self,
        configuration: &Configuration,
        builds: &Builds,
        engine: &BackendId,
    ) -> bool {
        let record = configuration.backends.get(engine);
        let Some((service, model)) = record.and_then(BackendRecord::pool) else {
            return false;
        };
        let pool = (service.clone(), model.clone(), builds.of(engine).clone());
        let balance = self.pools.get(&pool);
        balance.is_some_and(|balance| !balance.loaded && balance.was_evaluated)
    }

    /// Evaluates all pools and returns the assignments to be made. Engines are examined
    /// one by one only if the configuration has changed or a role change is to be made.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        builds: &Builds,
        backlogs: &BTreeMap<BackendId, Backlog>,
        excluded: BTreeSet<BackendId>,
        now: Millis,
    ) -> Vec<BalanceChange> {
        self.update(configuration, builds, excluded);
        let busy = busy_engines(configuration, backlogs, builds, &self.excluded);
        let mut changes = Vec::new();
        for (pool, balance) in &mut self.pools {
            if balance.roles.engines() == 0 {
                continue;
            }
            let limits = limits(configuration, &pool.0);
            let busy = busy.get(&(&pool.0, &pool.1, &pool.2));
            let busy = busy.map_or(&[][..], Vec::as_slice);
            let sampled = sample(balance.roles, busy, &limits);
            balance.add_sample(&sampled, limits.role_change_ms, now);
            let occupancy = balance.occupancy(&sampled);
            let examined_count = &mut self.examined_count;
            let members = || {
                let members = members(configuration, builds, &self.excluded, pool);
                *examined_count += members.len() as u64;
                members
            };
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

    /// Updates the members of all pools if they may have changed.
    fn update(
        &mut self,
        configuration: &Configuration,
        builds: &Builds,
        excluded: BTreeSet<BackendId>,
    ) {
        let is_same = self.updated_index == Some(configuration.index);
        if is_same && self.excluded == excluded {
            return;
        }
        self.updated_index = Some(configuration.index);
        self.excluded = excluded;
        // A pool whose engines are all gone keeps its state, as they may come back.
        for balance in self.pools.values_mut() {
            balance.roles = RoleCount::default();
        }
        for ((service, model, build), members) in pools(configuration, builds, &self.excluded) {
            self.examined_count += members.len() as u64;
            let pool = (service.clone(), model.clone(), build.clone());
            self.pools.entry(pool).or_default().update(&members);
        }
        if self.pools.len() > MAX_POOLS {
            self.pools.retain(|_, balance| balance.roles.engines() > 0);
        }
    }
}

/// Engines of a pool that are to change to one role.
struct PoolStep {
    role: EngineRole,
    engines: Vec<BackendId>,
}

impl PoolBalance {
    /// The role changes to make now, if any.
    fn step<'a>(
        &mut self,
        members: impl FnOnce() -> Vec<Member<'a>>,
        occupancy: &PhaseOccupancy,
        limits: &EngineLimits,
        settings: &BalanceSettings,
        now: Millis,
    ) -> Option<PoolStep> {
        let engines = occupancy.engines();
        let unchanged_since = self.update_engine_count(engines, now);
        let newcomers = std::mem::take(&mut self.newcomers);
        let current_prefill = occupancy.prefill_engines;
        if self.loaded {
            let share = *self.share.get_or_insert(share_of(occupancy));
            if let Some(role) = lacking_role(engines, share, current_prefill, &newcomers) {
                let members = members();
                let step = restore_share(&members, &newcomers, role, share, current_prefill);
                if step.is_some() {
                    return step;
                }
                return self.step_by_load(
                    || members,
                    occupancy,
                    limits,
                    settings,
                    unchanged_since,
                    now,
                );
            }
        } else if now.since(*self.observed_since.get_or_insert(now)) < INITIAL_OBSERVATION {
            // A new leader has not received all reports of engines and load yet.
            return None;
        }
        self.step_by_load(members, occupancy, limits, settings, unchanged_since, now)
    }

    /// The role changes by the measured load, or by the initial share before there was any
    /// load.
    fn step_by_load<'a>(
        &mut self,
        members: impl FnOnce() -> Vec<Member<'a>>,
        occupancy: &PhaseOccupancy,
        limits: &EngineLimits,
        settings: &BalanceSettings,
        unchanged_since: Millis,
        now: Millis,
    ) -> Option<PoolStep> {
        let current_prefill = occupancy.prefill_engines;
        self.was_evaluated = true;
        let target = if self.loaded {
            self.prefill_target(occupancy, settings)
        } else {
            initial_prefill_engines(occupancy.engines(), current_prefill, settings)
        };
        let role = match target.cmp(&current_prefill) {
            Ordering::Equal => return None,
            Ordering::Greater => EngineRole::Prefill,
            Ordering::Less => EngineRole::Mixed,
        };
        // The list of engines arrives in parts: no engine is taken from prefill before the
        // list is complete.
        let list_may_grow = !self.loaded && role == EngineRole::Mixed;
        if list_may_grow && now.since(unchanged_since) < INITIAL_OBSERVATION {
            return None;
        }
        if self.is_too_early(role, limits.role_change_ms, settings, now) {
            return None;
        }
        let engines = choose_engines(members(), role, target.abs_diff(current_prefill));
        if engines.is_empty() {
            return None;
        }
        self.last_change = Some(LastChange { at: now, role });
        self.rescale(occupancy, role, engines.len());
        self.share = Some(target as f64 / occupancy.engines().max(1) as f64);
        Some(PoolStep { role, engines })
    }

    /// Updates the members and the newcomers. At the first update there are no newcomers.
    fn update(&mut self, members: &[Member<'_>]) {
        self.roles = RoleCount::of(members);
        let current: BTreeSet<BackendId> = members.iter().map(|m| m.id.clone()).collect();
        if let Some(previous) = self.members.replace(current) {
            let current = self.members.iter().flatten();
            let added = current.filter(|id| !previous.contains(*id));
            self.newcomers.extend(added.cloned());
        }
    }

    /// Updates the number of engines; returns since when it is unchanged.
    fn update_engine_count(&mut self, engines: usize, now: Millis) -> Millis {
        if self.engines != engines || self.unchanged_since.is_none() {
            self.engines = engines;
            self.unchanged_since = Some(now);
        }
        self.unchanged_since.unwrap_or(now)
    }

    /// Adds a sample to the averages. Their time constant is the duration of a role
    /// change, as shorter peaks end before a role change helps. Peaks have the half-life
    /// [`PEAK_HALF_LIFE`].
    fn add_sample(&mut self, sampled: &PhaseOccupancy, role_change: Millis, now: Millis) {
        self.loaded |= sampled.prefill > 0.0 || sampled.decode > 0.0;
        if !self.loaded {
            return;
        }
        let since = self.sampled_at.map_or(Millis::ZERO, |at| now.since(at));
        self.sampled_at = Some(now);
        let weight = 1.0 - (-since.as_secs_f64() / role_change.as_secs_f64()).exp();
        let decay = (-since.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64()).exp2();
        self.prefill.add_sample(sampled.prefill, weight, decay);
        self.decode.add_sample(sampled.decode, weight, decay);
    }

    /// The sampled occupancy with the recent peaks in place of the sample.
    fn occupancy(&self, sampled: &PhaseOccupancy) -> PhaseOccupancy {
        PhaseOccupancy {
            prefill: self.prefill.peak,
            decode: self.decode.peak,
            ..*sampled
        }
    }

    /// Number of prefill engines that the pool should have. The phase that would lose an
    /// engine counts with its reserved demand.
    fn prefill_target(&self, occupancy: &PhaseOccupancy, settings: &BalanceSettings) -> usize {
        let decode = self.decode.reserved().min(self.decode.max_swing());
        let more = PhaseOccupancy {
            decode,
            ..*occupancy
        };
        let prefill = self.prefill.reserved();
        let fewer = PhaseOccupancy {
            prefill,
            ..*occupancy
        };
        let target = target_prefill_engines(&more, settings);
        if target > occupancy.prefill_engines {
            return target;
        }
        target_prefill_engines(&fewer, settings).min(occupancy.prefill_engines)
    }

    /// Returns whether it is too early for another change to `role`.
    fn is_too_early(
        &self,
        role: EngineRole,
        role_change: Millis,
        settings: &BalanceSettings,
        now: Millis,
    ) -> bool {
        let Some(last) = self.last_change.filter(|_| self.loaded) else {
            return false;
        };
        let min_interval = if last.role == role {
            settings.min_dwell
        } else {
            Millis(role_change.0 * settings.reversal_delay_factor)
        };
        now.since(last.at) < min_interval
    }

    /// Adjusts the averages to the numbers of engines after a role change.
    fn rescale(&mut self, previous: &PhaseOccupancy, role: EngineRole, changed: usize) {
        let factor = |before: usize, after: usize| before.max(1) as f64 / after.max(1) as f64;
        let prefill_engines = match role {
            EngineRole::Prefill => previous.prefill_engines + changed,
            _ => previous.prefill_engines.saturating_sub(changed),
        };
        let decode_engines = previous.engines() - prefill_engines;
        self.prefill = self
            .prefill
            .scaled(factor(previous.prefill_engines, prefill_engines));
        self.decode = self
            .decode
            .scaled(factor(previous.decode_engines, decode_engines));
    }
}

/// Fraction of the engines that prefill.
fn share_of(occupancy: &PhaseOccupancy) -> f64 {
    occupancy.prefill_engines as f64 / occupancy.engines().max(1) as f64
}

/// The role that newcomers have to change to for the pool to keep its share of prefill
/// engines.
fn lacking_role(
    engines: usize,
    share: f64,
    current_prefill: usize,
    newcomers: &BTreeSet<BackendId>,
) -> Option<EngineRole> {
    if newcomers.is_empty() {
        return None;
    }
    let target = prefill_engines_for_share(engines, share);
    if target.abs_diff(current_prefill) * SHARE_TOLERANCE_DIVISOR < engines {
        return None;
    }
    match target.cmp(&current_prefill) {
        Ordering::Equal => None,
        Ordering::Greater => Some(EngineRole::Prefill),
        Ordering::Less => Some(EngineRole::Mixed),
    }
}

/// Number of prefill engines with which the pool keeps its share.
fn prefill_engines_for_share(engines: usize, share: f64) -> usize {
    (engines as f64 * share).round() as usize
}

/// Engines that were added have roles in another proportion. Some of them change to
/// `role`, so that the pool keeps its share; newcomers are chosen because they have cold
/// caches and little work.
fn restore_share(
    members: &[Member<'_>],
    newcomers: &BTreeSet<BackendId>,
    role: EngineRole,
    share: f64,
    current_prefill: usize,
) -> Option<PoolStep> {
    let target = prefill_engines_for_share(members.len(), share);
    let changes = |member: &&Member<'_>| {
        let is_prefill = member.role == EngineRole::Prefill;
        newcomers.contains(member.id) && is_prefill != (role == EngineRole::Prefill)
    };
    let engines: Vec<BackendId> = members
        .iter()
        .filter(changes)
        .take(target.abs_diff(current_prefill))
        .map(|member| member.id.clone())
        .collect();
    (!engines.is_empty()).then_some(PoolStep { role, engines })
}

/// Limits of one engine of a service.
fn limits(configuration: &Configuration, service: &ServiceId) -> EngineLimits {
    let table = configuration.routes.as_ref();
    let stated = table.and_then(|table| table.engine_limits(service));
    let limits = stated.unwrap_or(DEFAULT_LIMITS);
    EngineLimits {
        slots: limits.slots.max(1),
        cache_tokens: limits.cache_tokens.max(1),
        role_change_ms: limits.role_change_ms.max(Millis(1)),
        ..limits
    }
}

/// Fraction of an engine that is occupied: of its slots or of its KV cache.
fn occupied(backlog: &Backlog, limits: &EngineLimits) -> f64 {
    let slots = backlog.requests as f64 / limits.slots as f64;
    let memory = backlog.held_tokens as f64 / limits.cache_tokens as f64;
    slots.max(memory)
}

/// The occupancy of a pool, of which only engines that have work are examined.
fn sample(roles: RoleCount, busy: &[BusyEngine<'_>], limits: &EngineLimits) -> PhaseOccupancy {
    let mut prefilling = 0;
    let mut decoding = 0;
    let mut decode = 0.0;
    let mut busy_slots = 0.0;
    for BusyEngine { role, backlog } in busy {
        if *role == EngineRole::Prefill {
            prefilling += usize::from(backlog.uncached.total() > 0);
        } else {
            decoding += 1;
            decode += occupied(backlog, limits);
            busy_slots += limits.effective_slots(backlog.requests, backlog.held_tokens);
        }
    }
    let idle = roles.decode.saturating_sub(decoding);
    PhaseOccupancy {
        prefill_engines: roles.prefill,
        decode_engines: roles.decode,
        prefill: prefilling as f64 / roles.prefill.max(1) as f64,
        decode: decode / roles.decode.max(1) as f64,
        decode_slots: busy_slots + (idle as u64 * limits.slots) as f64,
    }
}

/// Chooses up to `count` engines that change to `role`.
fn choose_engines(members: Vec<Member<'_>>, role: EngineRole, count: usize) -> Vec<BackendId> {
    let prefills = |member: &Member<'_>| member.role == EngineRole::Prefill;
    let changes_to_prefill = role == EngineRole::Prefill;
    let candidates = members
        .into_iter()
        .filter(|member| prefills(member) != changes_to_prefill)
        .collect();
    let engines = take_from_fullest_zones(candidates, count, |member| member.zone);
    engines
        .into_iter()
        .map(|member| member.id.clone())
        .collect()
}
