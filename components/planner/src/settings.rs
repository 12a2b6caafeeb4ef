//! What a pool's planner is told.

use garnet_types::Millis;

/// Settings of one pool's planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Useful answers that one role change must gain to be worth it: low where
    /// goodput counts most, high where role changes count most.
    pub role_change_price: f64,
    /// How long a mix is expected to last when it is priced.
    pub horizon: Millis,
    /// Shortest time between two changes of a pool.
    pub minimum_dwell: Millis,
    /// Time that a changing engine is out of service.
    pub change_duration: Millis,
    /// Window of the fast average.
    pub fast_window: Millis,
    /// Window of the slow average.
    pub slow_window: Millis,
    /// Figures older than this count as missing: nothing is changed then.
    pub stale_after: Millis,
    /// Whether engines may be given the mixed role.
    pub allow_mixed: bool,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        PlannerSettings {
            role_change_price: 20.0,
            horizon: Millis::from_secs(60),
            minimum_dwell: Millis::from_secs(10),
            change_duration: Millis::from_secs(4),
            fast_window: Millis::from_secs(6),
            slow_window: Millis::from_secs(45),
            stale_after: Millis::from_secs(5),
            allow_mixed: false,
        }
    }
}
