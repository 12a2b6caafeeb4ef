//! Who decides the engines' roles in an experiment.
//!
//! The planner is the replicas' own. The other strategies act from outside, as
//! an operator would, through the same orders: they are what the planner is
//! compared with.

use garnet_control::{BackendRecord, Command, Configuration};
use garnet_planner::{
    Mix, PoolCapacity, Split, Utilisation, can_release_engine, predicted_loss, utilisation,
};
use garnet_types::{BackendId, EngineAssignment, EngineRole, Millis};

use super::demand::Demand;
use super::deployment::Deployment;

/// How often a strategy looks.
pub(crate) const STEERING_INTERVAL: Millis = Millis::from_secs(1);
/// The reactive strategy looks back so far.
pub(crate) const REACTIVE_WINDOW: Millis = Millis::from_secs(5);
/// Utilisation above which the reactive strategy takes an engine from a phase
/// that is below the other one.
const BUSY: f64 = 0.9;
const IDLE: f64 = 0.7;
/// Foresight looks ahead so far.
const FORESIGHT_HORIZON: Millis = Millis::from_secs(45);
/// Time out of service that foresight reckons with: drain and change.
const FORESIGHT_CHANGE: Millis = Millis::from_secs(6);
/// Answers that a change must gain under foresight.
const FORESIGHT_PRICE: f64 = 2.0;

/// Who decides the engines' roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The planner of the control group.
    Planner,
    /// Nobody: the split of the start stays.
    Fixed,
    /// Thresholds on the last seconds, without a price.
    Reactive,
    /// The coming mix is known.
    Foresight,
}

impl Strategy {
    /// Every strategy.
    pub const ALL: [Strategy; 4] = [
        Strategy::Planner,
        Strategy::Fixed,
        Strategy::Reactive,
        Strategy::Foresight,
    ];

    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Strategy::Planner => "planner",
            Strategy::Fixed => "fixed",
            Strategy::Reactive => "reactive",
            Strategy::Foresight => "foresight",
        }
    }
}

/// A strategy at work.
#[derive(Debug)]
pub(crate) struct Steering {
    strategy: Strategy,
    deployment: Deployment,
    demand: Demand,
    looked_at: Millis,
}

/// A step of one engine from a role to another.
type Step = (EngineRole, EngineRole);

impl Steering {
    pub(crate) fn new(strategy: Strategy, deployment: Deployment, demand: Demand) -> Self {
        Steering {
            strategy,
            deployment,
            demand,
            looked_at: Millis::ZERO,
        }
    }

    /// The assignment to make now, if any. `observed` is what arrived within
    /// [`REACTIVE_WINDOW`]; `load` gives the requests that an engine works on.
    pub(crate) fn decide(
        &mut self,
        configuration: &Configuration,
        observed: &Mix,
        load: impl Fn(&BackendId) -> usize,
        now: Millis,
    ) -> Option<Command> {
        if now.since(self.looked_at) < STEERING_INTERVAL {
            return None;
        }
        self.looked_at = now;
        let engines = engines(configuration);
        let all_serve = engines.iter().all(|(_, record)| record.takes_work());
        if !all_serve {
            return None;
        }
        let split = Split::of(engines.iter().filter_map(|(_, record)| role(record)));
        let (from, to) = match self.strategy {
            Strategy::Planner | Strategy::Fixed => None,
            Strategy::Reactive => self.react(&split, observed),
            Strategy::Foresight => self.foresee(&split, now),
        }?;
        let (engine, record) = engines
            .into_iter()
            .filter(|(_, record)| role(record) == Some(from))
            .min_by_key(|(id, _)| (load(id), (*id).clone()))?;
        Some(Command::Assign {
            engine: engine.clone(),
            assignment: EngineAssignment {
                role: to,
                model: record.assignment()?.model.clone(),
            },
        })
    }

    /// One phase is over its threshold and the other one has room.
    fn react(&self, split: &Split, observed: &Mix) -> Option<Step> {
        let Utilisation { prefill, decode } = utilisation(split, observed, &self.capacity());
        let step = if prefill > BUSY && decode < IDLE {
            (EngineRole::Decode, EngineRole::Prefill)
        } else if decode > BUSY && prefill < IDLE {
            (EngineRole::Prefill, EngineRole::Decode)
        } else {
            return None;
        };
        split.after(step.0, step.1).map(|_| step)
    }

    /// The step that gains most over the coming mix.
    fn foresee(&self, split: &Split, now: Millis) -> Option<Step> {
        let steps = [
            (EngineRole::Prefill, EngineRole::Decode),
            (EngineRole::Decode, EngineRole::Prefill),
        ];
        steps
            .into_iter()
            .filter_map(|step| {
                let next = split.after(step.0, step.1)?;
                let mix = self.demand.mix(&self.deployment, now + FORESIGHT_CHANGE);
                if !can_release_engine(step.0, &next, &mix, &self.capacity()) {
                    return None;
                }
                let gain = self.gain(split, &next, step.0, now);
                (gain > FORESIGHT_PRICE).then_some((gain, step))
            })
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, step)| step)
    }

    fn gain(&self, split: &Split, next: &Split, from: EngineRole, now: Millis) -> f64 {
        let capacity = self.capacity();
        let away = split.without(from);
        let mut gain = 0.0;
        let mut ahead = Millis::ZERO;
        while ahead < FORESIGHT_HORIZON {
            let mix = self.demand.mix(&self.deployment, now + ahead);
            let then = if ahead < FORESIGHT_CHANGE {
                &away
            } else {
                next
            };
            gain += predicted_loss(split, &mix, &capacity) - predicted_loss(then, &mix, &capacity);
            ahead = ahead + Millis::from_secs(1);
        }
        gain
    }

    fn capacity(&self) -> PoolCapacity {
        PoolCapacity::of(&self.deployment.capacity)
    }
}

fn engines(configuration: &Configuration) -> Vec<(&BackendId, &BackendRecord)> {
    configuration
        .backends
        .iter()
        .filter(|(_, record)| role(record).is_some())
        .collect()
}

fn role(record: &BackendRecord) -> Option<EngineRole> {
    record.assignment().map(|assignment| assignment.role)
}
