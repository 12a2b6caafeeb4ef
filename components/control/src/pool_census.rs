//! How many engines of each pool serve which phase, counted in one pass.
//!
//! Contract: whether an engine may be taken out for an order is decided by these
//! counts, so that many engines of a pool are decided at the cost of one pass.

use std::collections::BTreeMap;

use garnet_types::{EngineRole, ModelId, ServiceId};

use crate::configuration::BackendRecord;

/// Engines of a pool that may be out for orders at once: one of every
/// [`ENGINES_FOR_EACH_OUT`], at least one.
fn most_out(pool_size: usize) -> usize {
    (pool_size / ENGINES_FOR_EACH_OUT).max(1)
}

/// See [`most_out`].
const ENGINES_FOR_EACH_OUT: usize = 4;

/// Counts of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PoolCount {
    engines: usize,
    /// Out for an order.
    out: usize,
    /// Take work, and prefill.
    prefilling: usize,
    /// Take work, and generate.
    generating: usize,
}

impl PoolCount {
    /// What one engine adds.
    fn of(engine: &BackendRecord) -> Self {
        let assignment = engine.assignment().filter(|_| engine.takes_work());
        let role = assignment.map(|assignment| assignment.role);
        PoolCount {
            engines: 1,
            out: usize::from(engine.order.is_some()),
            prefilling: usize::from(role.is_some_and(EngineRole::reads_prompts)),
            generating: usize::from(role.is_some_and(EngineRole::generates)),
        }
    }

    fn plus(self, other: PoolCount) -> Self {
        PoolCount {
            engines: self.engines + other.engines,
            out: self.out + other.out,
            prefilling: self.prefilling + other.prefilling,
            generating: self.generating + other.generating,
        }
    }

    fn without(self, engine: PoolCount) -> Self {
        PoolCount {
            engines: self.engines - engine.engines,
            out: self.out - engine.out,
            prefilling: self.prefilling - engine.prefilling,
            generating: self.generating - engine.generating,
        }
    }

    /// Whether the rest serves every phase that the pool serves, and any.
    fn serves_all_of(self, pool: PoolCount) -> bool {
        let keeps_prefill = self.prefilling > 0 || pool.prefilling == 0;
        let keeps_decode = self.generating > 0 || pool.generating == 0;
        let serves = self.prefilling + self.generating > 0;
        keeps_prefill && keeps_decode && serves
    }
}

/// Counts of pools.
#[derive(Debug, Default)]
pub(crate) struct PoolCensus<'a> {
    pools: BTreeMap<(&'a ServiceId, &'a ModelId), PoolCount>,
}

impl<'a> PoolCensus<'a> {
    /// Counts these engines.
    pub(crate) fn of(engines: impl Iterator<Item = &'a BackendRecord>) -> Self {
        let mut census = PoolCensus::default();
        for engine in engines {
            if let Some(pool) = engine.pool() {
                let count = census.pools.entry(pool).or_default();
                *count = count.plus(PoolCount::of(engine));
            }
        }
        census
    }

    /// Whether an engine that was counted may be taken out for an order: few enough
    /// others of its pool are out, and the rest serves every phase that the pool
    /// serves now. A phase that nobody serves holds nothing up: it waits to be
    /// restored.
    pub(crate) fn can_spare(&self, engine: &BackendRecord) -> bool {
        self.without(engine).is_some_and(|(pool, rest)| {
            rest.out < most_out(pool.engines) && rest.serves_all_of(pool)
        })
    }

    /// The same for a pool without work: any number may be out.
    pub(crate) fn idle_can_spare(&self, engine: &BackendRecord) -> bool {
        let counts = self.without(engine);
        counts.is_some_and(|(pool, rest)| rest.serves_all_of(pool))
    }

    /// The pool of an engine, with it and without.
    fn without(&self, engine: &BackendRecord) -> Option<(PoolCount, PoolCount)> {
        let pool = *self.pools.get(&engine.pool()?)?;
        Some((pool, pool.without(PoolCount::of(engine))))
    }
}
