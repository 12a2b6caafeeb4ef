//! The leader's use of the balance of phases: what gateways have under way at
//! each engine tells how occupied prefill engines and decode engines are.

mod members;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use garnet_planner::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, take_from_fullest_zones,
    target_prefill_engines,
};
use garnet_routes::EngineLimits;
use garnet_types::{BackendId, EngineAssignment, EngineRole, Millis, ServiceId};

use crate::configuration::{BackendRecord, Configuration};
use crate::messages::Backlog;

use members::{Busy, Member, Pool, RoleCount, busy_engines, members, pools};

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
/// A phase that lacks fewer than one engine of so many to the pool's share is left
/// as it is: it changes the work of the others by as little, and a change of roles
/// takes an engine out for seconds.
const ENGINES_FOR_EACH_LACKING: usize = 100;
/// Limits of an engine where the route table does not tell.
const UNSTATED_LIMITS: EngineLimits = EngineLimits {
    slots: 64,
    cache_tokens: u64::MAX,
    token_bytes: 0,
    link_mbps: 0,
    role_change_ms: Millis::from_secs(3),
    handover_ms: Millis::ZERO,
};

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
    /// Engines of each phase.
    roles: RoleCount,
    /// Engines when the configuration changed last.
    members: Option<BTreeSet<BackendId>>,
    /// Engines that came since the last look.
    newcomers: BTreeSet<BackendId>,
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
    /// Index of the configuration whose pools are known.
    followed_index: Option<u64>,
    /// Engines that take no part: they are about to be given back, or take only a
    /// few requests.
    aside: BTreeSet<BackendId>,
    /// Engines that were looked at since that was asked last.
    looked_at: u64,
}

/// An assignment that is to be made, and what was seen.
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
            followed_index: None,
            aside: BTreeSet::new(),
            looked_at: 0,
        }
    }

    /// Engines that were looked at since this was asked last.
    pub(crate) fn take_examined(&mut self) -> u64 {
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

    /// Takes a look, and gives the assignments that are to be made. Engines are
    /// looked at one by one only where the configuration has changed since, or a
    /// change is to be made.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        backlogs: &BTreeMap<BackendId, Backlog>,
        aside: BTreeSet<BackendId>,
        now: Millis,
    ) -> Vec<BalanceChange> {
        self.follow(configuration, aside);
        let busy = busy_engines(configuration, backlogs, &self.aside);
        let mut changes = Vec::new();
        for (pool, balance) in &mut self.pools {
            if balance.roles.engines() == 0 {
                continue;
            }
            let limits = limits(configuration, &pool.0);
            let busy = busy.get(&(&pool.0, &pool.1));
            let busy = busy.map_or(&[][..], Vec::as_slice);
            let seen = sample(balance.roles, busy, &limits);
            balance.take(&seen, limits.role_change_ms, now);
            let occupancy = balance.occupancy(&seen);
            let looked_at = &mut self.looked_at;
            let members = || {
                let members = members(configuration, &self.aside, pool);
                *looked_at += members.len() as u64;
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

    /// Notes who is in which pool, where that may have changed.
    fn follow(&mut self, configuration: &Configuration, aside: BTreeSet<BackendId>) {
        let is_same = self.followed_index == Some(configuration.index);
        if is_same && self.aside == aside {
            return;
        }
        self.followed_index = Some(configuration.index);
        self.aside = aside;
        // A pool whose engines are all gone remembers them: they may come back.
        for balance in self.pools.values_mut() {
            balance.roles = RoleCount::default();
        }
        for ((service, model), members) in pools(configuration, &self.aside) {
            self.looked_at += members.len() as u64;
            let pool = (service.clone(), model.clone());
            self.pools.entry(pool).or_default().follow(&members);
        }
    }
}

/// Engines of a pool that change to one role.
struct PoolStep {
    role: EngineRole,
    engines: Vec<BackendId>,
}

impl PoolBalance {
    /// What changes now, if anything.
    fn step<'a>(
        &mut self,
        members: impl FnOnce() -> Vec<Member<'a>>,
        occupancy: &PhaseOccupancy,
        limits: &EngineLimits,
        settings: &BalanceSettings,
        now: Millis,
    ) -> Option<PoolStep> {
        let engines = occupancy.engines();
        let unchanged_since = self.note_engines(engines, now);
        let newcomers = std::mem::take(&mut self.newcomers);
        let present = occupancy.prefill_engines;
        if self.loaded {
            let share = *self.share.get_or_insert(share_of(occupancy));
            if let Some(role) = role_that_lacks(engines, share, present, &newcomers) {
                let members = members();
                let step = keep_share(&members, &newcomers, role, share, present);
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
        } else if now.since(*self.looks_since.get_or_insert(now)) < FIRST_LOOK {
            // A new leader has yet to hear what is there and under way.
            return None;
        }
        self.step_by_load(members, occupancy, limits, settings, unchanged_since, now)
    }

    /// What changes by what was measured, or guessed before there was any load.
    fn step_by_load<'a>(
        &mut self,
        members: impl FnOnce() -> Vec<Member<'a>>,
        occupancy: &PhaseOccupancy,
        limits: &EngineLimits,
        settings: &BalanceSettings,
        unchanged_since: Millis,
        now: Millis,
    ) -> Option<PoolStep> {
        let present = occupancy.prefill_engines;
        self.was_looked_at = true;
        let wanted = if self.loaded {
            self.wanted_prefill_engines(occupancy, settings)
        } else {
            initial_prefill_engines(occupancy.engines(), present, settings)
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
        let engines = who_change(members(), role, wanted.abs_diff(present));
        if engines.is_empty() {
            return None;
        }
        self.last_change = Some(LastChange { at: now, role });
        self.spread(occupancy, role, engines.len());
        self.share = Some(wanted as f64 / occupancy.engines().max(1) as f64);
        Some(PoolStep { role, engines })
    }

    /// Notes who is there, and who came since the last look. At the first look
    /// nobody has come.
    fn follow(&mut self, members: &[Member<'_>]) {
        self.roles = RoleCount::of(members);
        let present: BTreeSet<BackendId> = members.iter().map(|m| m.id.clone()).collect();
        if let Some(before) = self.members.replace(present) {
            let present = self.members.iter().flatten();
            let came = present.filter(|id| !before.contains(*id));
            self.newcomers.extend(came.cloned());
        }
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
        let wanted = target_prefill_engines(&more, settings);
        if wanted > occupancy.prefill_engines {
            return wanted;
        }
        target_prefill_engines(&fewer, settings).min(occupancy.prefill_engines)
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
            settings.min_dwell
        } else {
            Millis(role_change.0 * settings.reversal_delay_factor)
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

/// The role that newcomers have too little of for the pool to keep its share.
fn role_that_lacks(
    engines: usize,
    share: f64,
    present: usize,
    newcomers: &BTreeSet<BackendId>,
) -> Option<EngineRole> {
    if newcomers.is_empty() {
        return None;
    }
    let wanted = kept_share(engines, share);
    if wanted.abs_diff(present) * ENGINES_FOR_EACH_LACKING < engines {
        return None;
    }
    match wanted.cmp(&present) {
        Ordering::Equal => None,
        Ordering::Greater => Some(EngineRole::Prefill),
        Ordering::Less => Some(EngineRole::Mixed),
    }
}

/// Prefill engines of a pool that keeps its share.
fn kept_share(engines: usize, share: f64) -> usize {
    (engines as f64 * share).round() as usize
}

/// Engines that came bring a split of their own: some of them change to `role`, so
/// that the pool keeps its share. They have cold caches and little work.
fn keep_share(
    members: &[Member<'_>],
    newcomers: &BTreeSet<BackendId>,
    role: EngineRole,
    share: f64,
    present: usize,
) -> Option<PoolStep> {
    let wanted = kept_share(members.len(), share);
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

/// How occupied a pool is: only engines that have work are looked at.
fn sample(roles: RoleCount, busy: &[Busy<'_>], limits: &EngineLimits) -> PhaseOccupancy {
    let mut prefilling = 0;
    let mut decoding = 0;
    let mut decode = 0.0;
    let mut places = 0.0;
    for Busy { role, backlog } in busy {
        if *role == EngineRole::Prefill {
            prefilling += usize::from(backlog.uncached.total() > 0);
        } else {
            decoding += 1;
            decode += taken(backlog, limits);
            places += limits.places(backlog.requests, backlog.held_tokens);
        }
    }
    let idle = roles.decode.saturating_sub(decoding);
    PhaseOccupancy {
        prefill_engines: roles.prefill,
        decode_engines: roles.decode,
        prefill: prefilling as f64 / roles.prefill.max(1) as f64,
        decode: decode / roles.decode.max(1) as f64,
        decode_slots: places + (idle as u64 * limits.slots) as f64,
    }
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
