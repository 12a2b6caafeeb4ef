//! The role planner: how many engines of a pool read prompts, and when one of
//! them should change its role.
//!
//! Contract: [`Planner::observe`] takes what arrived; [`Planner::decide`] gives
//! at most one role change. The loss of a split is a pure function
//! ([`predicted_loss`]) of the offered load, so that baselines and tests can
//! use it too. Without fresh figures the planner changes nothing.

mod average;
mod balance;
mod fleet_size;
mod loss;
mod planner;
mod settings;
mod split;
mod zone_spread;

pub use average::{FastSlowAverage, Mix};
pub use balance::{
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, wanted_prefill_engines,
};
pub use fleet_size::{EngineKind, FleetTerms, ZoneFleet, wanted_fleet};
pub use loss::{PoolCapacity, Utilisation, can_give, predicted_loss, utilisation};
pub use planner::{Engine, Planner, RoleChange};
pub use settings::PlannerSettings;
pub use split::Split;
pub use zone_spread::take_from_fullest_zones;
