//! The decision: at most one role change of a pool at a time.

use garnet_types::{BackendId, EngineRole, Millis};

use crate::average::{FastSlowAverage, Mix};
use crate::loss::{PoolCapacity, can_give, predicted_loss};
use crate::settings::PlannerSettings;
use crate::split::Split;

/// A phase that was given an engine has it after so long, or gets another.
const RESTORE_PAUSE: Millis = Millis::from_secs(15);

/// An engine of the pool as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub id: BackendId,
    /// Role that it has or is about to have.
    pub role: EngineRole,
    /// Whether it serves; else it is changing, leaving or lost.
    pub serving: bool,
    /// Requests that it works on: the least loaded one is changed.
    pub load: u64,
}

/// One change that the planner wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: BackendId,
    /// Its next role.
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
    /// A planner that has seen nothing yet.
    pub fn new(settings: PlannerSettings) -> Self {
        Planner {
            averages: FastSlowAverage::new(settings.fast_window, settings.slow_window),
            settings,
            changed_at: None,
            restored_at: None,
        }
    }

    /// Replaces the price of a role change, keeping the averages.
    pub fn set_price(&mut self, role_change_price: f64) {
        self.settings.role_change_price = role_change_price;
    }

    /// Takes the mix offered since the last call.
    pub fn observe(&mut self, mix: Mix, now: Millis) {
        self.averages.observe(mix, now);
    }

    /// The averages, for status pages.
    pub fn averages(&self) -> &FastSlowAverage {
        &self.averages
    }

    /// The change to make now, if one is worth its price.
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

    /// A phase that no engine serves gets one from the other phase at once,
    /// whatever the averages and the price say: without it the pool answers
    /// nothing.
    fn restore_phase(&self, engines: &[Engine], now: Millis) -> Option<RoleChange> {
        let under_way = self
            .restored_at
            .is_some_and(|at| now.since(at) < RESTORE_PAUSE);
        let serving: Vec<Engine> = engines
            .iter()
            .filter(|engine| engine.serving)
            .cloned()
            .collect();
        let missing = missing_phase(&serving)?;
        let giver = match missing {
            EngineRole::Prefill => EngineRole::Decode,
            _ => EngineRole::Prefill,
        };
        let spare = serving.iter().filter(|engine| engine.role == giver).count() > 1;
        if under_way || !spare {
            return None;
        }
        let engine = least_loaded(&serving, giver)?.id.clone();
        Some(RoleChange {
            engine,
            to: missing,
        })
    }

    /// One change at a time, not too soon after the last, on fresh figures.
    fn may_change(&self, engines: &[Engine], now: Millis) -> bool {
        let fresh = self
            .averages
            .updated_at()
            .is_some_and(|at| now.since(at) <= self.settings.stale_after);
        let rested = self
            .changed_at
            .is_none_or(|at| now.since(at) >= self.settings.minimum_dwell);
        let settled = engines.iter().all(|engine| engine.serving);
        fresh && rested && settled
    }

    /// The step with the largest gain over its price. Both averages must agree
    /// that it gains: a swing that turns back at once moves only the fast one.
    fn best_step(
        &self,
        split: &Split,
        capacity: &PoolCapacity,
    ) -> Option<(EngineRole, EngineRole)> {
        self.steps(split)
            .into_iter()
            .filter(|(from, _, next)| can_give(*from, next, &self.averages.fast, capacity))
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

    /// Answers gained over the horizon, less those lost while the engine is
    /// out of service, less the price.
    fn gain(&self, split: &Split, next: &Split, from: EngineRole, capacity: &PoolCapacity) -> f64 {
        let fast = self.gain_under(&self.averages.fast, split, next, from, capacity);
        let slow = self.gain_under(&self.averages.slow, split, next, from, capacity);
        // Where a change is dear, the slow average has to bear it out.
        let patience = self.settings.role_change_price / (self.settings.role_change_price + 50.0);
        let weighed = fast * (1.0 - patience) + slow * patience;
        weighed - self.settings.role_change_price
    }

    fn gain_under(
        &self,
        mix: &Mix,
        split: &Split,
        next: &Split,
        from: EngineRole,
        capacity: &PoolCapacity,
    ) -> f64 {
        let now_lost = predicted_loss(split, mix, capacity);
        let then_lost = predicted_loss(next, mix, capacity);
        let while_lost = predicted_loss(&split.without(from), mix, capacity);
        let change = self.settings.change_duration.as_secs_f64();
        let rest = self.settings.horizon.as_secs_f64() - change;
        (now_lost - then_lost) * rest - (while_lost - now_lost) * change
    }
}

/// The phase that no engine serves.
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
