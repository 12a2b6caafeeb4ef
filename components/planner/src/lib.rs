//! The role planner: decides how many engines of a pool prefill, and when an engine should
//! change its role.
//!
//! [`Planner::observe`] takes the offered load; [`Planner::decide`] returns at most one role
//! change. The predicted loss of a split is a pure function of the offered load
//! ([`predicted_loss`]), so that baselines and tests can use it too. Without recent load figures
//! the planner changes nothing.

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
    BalanceSettings, PhaseOccupancy, initial_prefill_engines, target_prefill_engines,
};
pub use fleet_size::{EngineKind, FleetConstraints, ZoneFleet, target_fleet};
pub use loss::{PoolCapacity, Utilisation, can_release_engine, predicted_loss, utilisation};
pub use planner::{Engine, Planner, RoleChange};
pub use settings::PlannerSettings;
pub use split::Split;
pub use zone_spread::take_from_fullest_zones;
