//! The leader's role planning, with one planner for each pool.

use std::collections::BTreeMap;

use garnet_planner::{Engine, Mix, Planner, PlannerSettings, PoolCapacity};
use garnet_policy::{Policy, PolicySet};
use garnet_types::{BackendId, EngineAssignment, EngineCapacity, Millis, ModelId, ServiceId};

use crate::configuration::Configuration;
use crate::messages::PoolMix;

/// How often the planner examines a pool.
const PLANNING_INTERVAL: Millis = Millis::from_secs(1);

/// A pool: the engines of one service that have one model.
type Pool = (ServiceId, ModelId);

/// Planners of all pools, and the load that gateways reported since the last planning.
#[derive(Debug, Default)]
pub(crate) struct Planning {
    settings: PlannerSettings,
    planners: BTreeMap<Pool, Planner>,
    offered: BTreeMap<Pool, Mix>,
    planned_at: Option<Millis>,
    /// Price of a role change as stated by the policies, and the index of the
    /// configuration that it was read from.
    price: Option<f64>,
    price_index: u64,
}

/// A role change that a planner decided.
pub(crate) struct PlannedChange {
    pub(crate) engine: BackendId,
    pub(crate) assignment: EngineAssignment,
}

impl Planning {
    pub(crate) fn new(settings: PlannerSettings) -> Self {
        Planning {
            settings,
            ..Planning::default()
        }
    }

    /// Adds the load that a gateway reported.
    pub(crate) fn add(&mut self, mixes: &[PoolMix]) {
        for reported in mixes {
            let pool = (reported.service.clone(), reported.model.clone());
            let offered = self.offered.entry(pool).or_default();
            offered.requests += reported.requests as f64;
            offered.prompt_bound += reported.prompt_bound as f64;
            offered.prompt_tokens += reported.prompt_tokens as f64;
            offered.output_tokens += reported.output_tokens as f64;
        }
    }

    /// Decides the role changes to make now.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        load_of: impl Fn(&BackendId) -> Option<EngineLoad>,
        now: Millis,
    ) -> Vec<PlannedChange> {
        let previous = *self.planned_at.get_or_insert(now);
        let elapsed = now.since(previous);
        if elapsed < PLANNING_INTERVAL {
            return Vec::new();
        }
        self.planned_at = Some(now);
        let offered = std::mem::take(&mut self.offered);
        self.read_price(configuration);
        let price = self.price;
        let pools = pools(configuration, &load_of);
        let mut changes = Vec::new();
        for (pool, members) in pools {
            let planner = self
                .planners
                .entry(pool.clone())
                .or_insert_with(|| Planner::new(self.settings));
            if let Some(price) = price {
                planner.set_price(price);
            }
            let mix = offered.get(&pool).copied().unwrap_or_default();
            planner.observe(per_second(mix, elapsed), now);
            let capacity = PoolCapacity::of(&members.capacity);
            if let Some(change) = planner.decide(&members.engines, &capacity, now) {
                let assignment = EngineAssignment {
                    role: change.to,
                    model: pool.1.clone(),
                };
                let engine = change.engine;
                changes.push(PlannedChange { engine, assignment });
            }
        }
        changes
    }
}

impl Planning {
    fn read_price(&mut self, configuration: &Configuration) {
        if self.price_index != configuration.index {
            self.price_index = configuration.index;
            self.price = role_change_price(configuration);
        }
    }
}

/// Load and capacity of an engine from its latest status, if that is recent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineLoad {
    pub(crate) running: u64,
    pub(crate) capacity: EngineCapacity,
}

#[derive(Default)]
struct PoolMembers {
    engines: Vec<Engine>,
    capacity: EngineCapacity,
}

fn pools(
    configuration: &Configuration,
    load_of: impl Fn(&BackendId) -> Option<EngineLoad>,
) -> BTreeMap<Pool, PoolMembers> {
    let mut pools: BTreeMap<Pool, PoolMembers> = BTreeMap::new();
    for (id, record) in &configuration.backends {
        let Some(assignment) = record.assignment() else {
            continue;
        };
        let pool = (
            record.registration.service.clone(),
            assignment.model.clone(),
        );
        let members = pools.entry(pool).or_default();
        let engine_load = load_of(id);
        if let Some(engine_load) = engine_load {
            members.capacity = engine_load.capacity;
        }
        members.engines.push(Engine {
            id: id.clone(),
            role: assignment.role,
            serving: record.takes_work() && engine_load.is_some(),
            load: engine_load.map_or(0, |engine_load| engine_load.running),
        });
    }
    pools
}

fn per_second(mix: Mix, elapsed: Millis) -> Mix {
    let seconds = elapsed.as_secs_f64().max(0.001);
    Mix {
        requests: mix.requests / seconds,
        prompt_bound: mix.prompt_bound / seconds,
        prompt_tokens: mix.prompt_tokens / seconds,
        output_tokens: mix.output_tokens / seconds,
    }
}

/// The price of a role change, if a policy states one.
fn role_change_price(configuration: &Configuration) -> Option<f64> {
    let mut set = PolicySet::default();
    for (name, record) in &configuration.policies {
        if let Ok(policy) = Policy::compile(name, &record.document) {
            set.put(name, policy);
        }
    }
    set.planner_weights()
        .map(|weights| weights.role_change_price)
}
