//! Counts of engines by pool and phase.
//!
//! Contract: whether an engine may be taken out of routing for an order is decided by
//! these counts, so that one pass over the back ends serves for all engines of a pool.

use std::collections::BTreeMap;

use garnet_types::{EngineRole, ModelId, ServiceId};

use crate::configuration::BackendRecord;

/// Maximum number of engines of a pool that may be out of routing at once: one of every
/// [`ENGINES_PER_ONE_OUT`], but at least one.
fn max_out(pool_size: usize) -> usize {
    (pool_size / ENGINES_PER_ONE_OUT).max(1)
}

/// See [`max_out`].
const ENGINES_PER_ONE_OUT: usize = 4;

/// Counts of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PoolCount {
    engines: usize,
    /// Engines that are out of routing for an order.
    out: usize,
    /// Engines that take work and prefill.
    prefilling: usize,
    /// Engines that take work and decode.
    decoding: usize,
}

impl PoolCount {
    /// The counts of one engine.
    fn of(engine: &BackendRecord) -> Self {
        let assignment = engine.assignment().filter(|_| engine.takes_work());
        let role = assignment.map(|assignment| assignment.role);
        PoolCount {
            engines: 1,
            out: usize::from(engine.order.is_some()),
            prefilling: usize::from(role.is_some_and(EngineRole::prefills)),
            decoding: usize::from(role.is_some_and(EngineRole::generates)),
        }
    }

    fn plus(self, other: PoolCount) -> Self {
        PoolCount {
            engines: self.engines + other.engines,
            out: self.out + other.out,
            prefilling: self.prefilling + other.prefilling,
            decoding: self.decoding + other.decoding,
        }
    }

    fn without(self, engine: PoolCount) -> Self {
        PoolCount {
            engines: self.engines - engine.engines,
            out: self.out - engine.out,
            prefilling: self.prefilling - engine.prefilling,
            decoding: self.decoding - engine.decoding,
        }
    }

    /// Returns whether these engines serve at least one phase and every phase that `pool`
    /// serves.
    fn serves_all_of(self, pool: PoolCount) -> bool {
        let keeps_prefill = self.prefilling > 0 || pool.prefilling == 0;
        let keeps_decode = self.decoding > 0 || pool.decoding == 0;
        let serves = self.prefilling + self.decoding > 0;
        keeps_prefill && keeps_decode && serves
    }
}

/// Counts of all pools.
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

    /// Returns whether a counted engine may be taken out of routing for an order: few
    /// enough other engines of its pool are out, and the rest serves every phase that the
    /// pool serves now. A phase that no engine serves does not prevent an order, as an
    /// order may be needed to restore it.
    pub(crate) fn can_spare(&self, engine: &BackendRecord) -> bool {
        self.without(engine).is_some_and(|(pool, rest)| {
            rest.out < max_out(pool.engines) && rest.serves_all_of(pool)
        })
    }

    /// The same for a pool without work, of which any number may be out of routing.
    pub(crate) fn idle_can_spare(&self, engine: &BackendRecord) -> bool {
        let counts = self.without(engine);
        counts.is_some_and(|(pool, rest)| rest.serves_all_of(pool))
    }

    /// The counts of an engine's pool, with the engine and without it.
    fn without(&self, engine: &BackendRecord) -> Option<(PoolCount, PoolCount)> {
        let pool = *self.pools.get(&engine.pool()?)?;
        Some((pool, pool.without(PoolCount::of(engine))))
    }
}
