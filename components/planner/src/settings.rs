//! Settings of the role planner.

use garnet_types::Millis;

/// Settings of one pool's planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Useful answers that a role change must gain to be made: low if goodput matters most,
    /// high if role changes should be rare.
    pub role_change_price: f64,
    /// How long the current load is expected to last when the gain of a change is computed.
    pub horizon: Millis,
    /// Minimum time between two changes of a pool.
    pub min_dwell: Millis,
    /// Time for which a role change takes an engine out of service.
    pub change_duration: Millis,
    /// Window of the fast average.
    pub fast_window: Millis,
    /// Window of the slow average.
    pub slow_window: Millis,
    /// Load figures older than this are ignored, and nothing is changed.
    pub stale_after: Millis,
    /// Whether engines may be assigned the mixed role.
    pub allow_mixed: bool,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        PlannerSettings {
            role_change_price: 20.0,
            horizon: Millis::from_secs(60),
            min_dwell: Millis::from_secs(10),
            change_duration: Millis::from_secs(4),
            fast_window: Millis::from_secs(6),
            slow_window: Millis::from_secs(45),
            stale_after: Millis::from_secs(5),
            allow_mixed: false,
        }
    }
}
