//! Decides on role changes: at most one at a time in a pool.

use garnet_types::{BackendId, EngineRole, Millis};

use crate::average::{FastSlowAverage, Mix};
use crate::loss::{PoolCapacity, can_release_engine, predicted_loss};
use crate::settings::PlannerSettings;
use crate::split::Split;

/// Time to wait for an engine that was moved to a phase without engines, before another one
/// is moved.
const RESTORE_TIMEOUT: Millis = Millis::from_secs(15);

/// The state of one engine of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Identifier of the engine.
    pub id: BackendId,
    /// The current role, or the next one during a role change.
    pub role: EngineRole,
    /// Whether it serves requests; if not, it is changing its role, leaving or lost.
    pub serving: bool,
    /// Requests in flight; the least loaded engine is chosen for a role change.
    pub load: u64,
}

/// A role change of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Identifier of the engine.
    pub engine: BackendId,
    /// The new role.
    pub to: EngineRole,
}

/// The planner of one pool: engines of one service that hold one model.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlannerSettings,
    averages: FastSlowAverage,
    changed_at: Option<Millis>,
    restored_at: Option<Millis>,
}

impl Planner {
    /// Creates a planner without any load figures.
    pub fn new(settings: PlannerSettings) -> Self {
        Planner {
            averages: FastSlowAverage::new(settings.fast_window, settings.slow_window),
            settings,
            changed_at: None,
            restored_at: None,
        }
    }

    /// Sets the price of a role change and keeps the averages.
    pub fn set_price(&mut self, role_change_price: f64) {
        self.settings.role_change_price = role_change_price;
    }

    /// Adds the load that was offered since the last call.
    pub fn observe(&mut self, mix: Mix, now: Millis) {
        self.averages.observe(mix, now);
    }

    /// The load averages, for status pages.
    pub fn averages(&self) -> &FastSlowAverage {
        &self.averages
    }

    /// Returns the role change to make now, if one is worth its price.
    pub fn decide(
        &mut self,
        engines: &[Engine],
        capacity: &PoolCapacity,
        now: Millis,
    ) -> Option<RoleChange> {
        if let Some(change) = self.restore_phase(engines, now) {
            self.changed_at = Some(now);
            self.restored_at = Some(now);
            return Some(change);
        }
        if !self.may_change(engines, now) {
            return None;
        }
        let roles = engines.iter().filter(|engine| engine.serving);
        let split = Split::of(roles.map(|engine| engine.role));
        let (from, to) = self.best_step(&split, capacity)?;
        let engine = least_loaded(engines, from)?;
        self.changed_at = Some(now);
        Some(RoleChange {
            engine: engine.id.clone(),
            to,
        })
    }

    /// Moves an engine to a phase that has none, regardless of the averages and the price:
    /// without that phase the pool can't answer any request.
    fn restore_phase(&self, engines: &[Engine], now: Millis) -> Option<RoleChange> {
        let restoring = self
            .restored_at
            .is_some_and(|at| now.since(at) < RESTORE_TIMEOUT);
        let serving: Vec<Engine> = engines
            .iter()
            .filter(|engine| engine.serving)
            .cloned()
            .collect();
        let missing = missing_phase(&serving)?;
        let donor_role = match missing {
            EngineRole::Prefill => EngineRole::Decode,
            _ => EngineRole::Prefill,
        };
        let has_spare = serving
            .iter()
            .filter(|engine| engine.role == donor_role)
            .count()
            > 1;
        if restoring || !has_spare {
            return None;
        }
        let engine = least_loaded(&serving, donor_role)?.id.clone();
        Some(RoleChange {
            engine,
            to: missing,
        })
    }

    /// Whether a change is allowed: load figures are recent, the minimum time since the last
    /// change has passed, and no other change is in progress.
    fn may_change(&self, engines: &[Engine], now: Millis) -> bool {
        let fresh = self
            .averages
            .updated_at()
            .is_some_and(|at| now.since(at) <= self.settings.stale_after);
        let dwell_passed = self
            .changed_at
            .is_none_or(|at| now.since(at) >= self.settings.min_dwell);
        let all_serving = engines.iter().all(|engine| engine.serving);
        fresh && dwell_passed && all_serving
    }

    /// The role change with the largest positive gain. The gain weighs both averages, since a
    /// short swing of the load moves only the fast one.
    fn best_step(
        &self,
        split: &Split,
        capacity: &PoolCapacity,
    ) -> Option<(EngineRole, EngineRole)> {
        self.steps(split)
            .into_iter()
            .filter(|(from, _, next)| {
                can_release_engine(*from, next, &self.averages.fast, capacity)
            })
            .map(|(from, to, next)| (self.gain(split, &next, from, capacity), from, to))
            .filter(|(gain, _, _)| *gain > 0.0)
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, from, to)| (from, to))
    }

    fn steps(&self, split: &Split) -> Vec<(EngineRole, EngineRole, Split)> {
        let mut roles = vec![EngineRole::Prefill, EngineRole::Decode];
        if self.settings.allow_mixed || split.mixed > 0 {
            roles.push(EngineRole::Mixed);
        }
        let mut steps = Vec::new();
        for from in &roles {
            for to in &roles {
                let may_become = *to != EngineRole::Mixed || self.settings.allow_mixed;
                if from != to
                    && may_become
                    && let Some(next) = split.after(*from, *to)
                {
                    steps.push((*from, *to, next));
                }
            }
        }
        steps
    }

    /// Answers gained over the horizon, minus those lost while the engine is out of service,
    /// minus the price.
    fn gain(&self, split: &Split, next: &Split, from: EngineRole, capacity: &PoolCapacity) -> f64 {
        let fast = self.gain_under(&self.averages.fast, split, next, from, capacity);
        let slow = self.gain_under(&self.averages.slow, split, next, from, capacity);
        // The higher the price of a change, the more the slow average counts.
        let slow_weight =
            self.settings.role_change_price / (self.settings.role_change_price + 50.0);
        let weighted_gain = fast * (1.0 - slow_weight) + slow * slow_weight;
        weighted_gain - self.settings.role_change_price
    }

    fn gain_under(
        &self,
        mix: &Mix,
        split: &Split,
        next: &Split,
        from: EngineRole,
        capacity: &PoolCapacity,
    ) -> f64 {
        let loss_now = predicted_loss(split, mix, capacity);
        let loss_after = predicted_loss(next, mix, capacity);
        let loss_during = predicted_loss(&split.without(from), mix, capacity);
        let change = self.settings.change_duration.as_secs_f64();
        let remaining = self.settings.horizon.as_secs_f64() - change;
        (loss_now - loss_after) * remaining - (loss_during - loss_now) * change
    }
}

/// Returns the phase that has no serving engine, if there is one.
fn missing_phase(serving: &[Engine]) -> Option<EngineRole> {
    let served = Split::of(serving.iter().map(|engine| engine.role));
    if served.prefill + served.mixed == 0 {
        Some(EngineRole::Prefill)
    } else if served.decode + served.mixed == 0 {
        Some(EngineRole::Decode)
    } else {
        None
    }
}

fn least_loaded(engines: &[Engine], role: EngineRole) -> Option<&Engine> {
    engines
        .iter()
        .filter(|engine| engine.role == role)
        .min_by_key(|engine| (engine.load, engine.id.clone()))
}
